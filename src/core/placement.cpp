#include "core/placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <tuple>

namespace hatchwind::core {

Micros due_time(const Job& j, const std::vector<Objective>& objectives, Micros wall) {
    // Estimates are often wrong by half: what might still be met counts as such.
    const Micros run{static_cast<std::int64_t>(j.estimate_s * 0.5e6)};
    // Nothing wanted, or all of it missed: some time, but behind what can still be met. Serving the latest
    // first under overload makes every job late in turn.
    Micros due = std::max(j.accepted, wall) + Micros{600'000'000};
    const auto consider = [&](double within_s) {
        const Micros at = j.accepted + Micros{static_cast<std::int64_t>(within_s * 1e6)};
        if (at >= wall + run) due = std::min(due, at);
    };
    if (j.deadline_s) consider(*j.deadline_s);
    for (const auto& o : objectives) {
        if (o.job_class == j.job_class && o.within_s > 0) consider(o.within_s);
    }
    return due;
}

std::vector<const JobEntry*> queue_order(const Ledger& l, const std::set<std::string>& teams,
                                         const std::vector<Objective>& objectives, Micros wall) {
    struct Key {
        int priority;
        Micros due;
        const JobEntry* e;
    };
    std::vector<Key> keys;
    for (const auto& [id, e] : l.jobs()) {
        if (e.job.cancelled || e.unstarted() == 0 || !teams.contains(e.job.team)) continue;
        keys.push_back({-static_cast<int>(e.job.priority), due_time(e.job, objectives, wall), &e});
    }
    std::sort(keys.begin(), keys.end(), [](const Key& a, const Key& b) {
        return std::tie(a.priority, a.due, a.e->job.id) < std::tie(b.priority, b.due, b.e->job.id);
    });
    std::vector<const JobEntry*> out;
    out.reserve(keys.size());
    for (const auto& k : keys) out.push_back(k.e);
    return out;
}

namespace {

class Pass {
  public:
    Pass(const PlacementInput& in, Room& room) : in_(in), room_(room) {
        for (const auto& [ref, r] : in.reservations) {
            if (r.until <= in.now) continue;
            out_.reservations.emplace(ref, r);
            for (std::size_t i = 0; i < room_.machines().size(); ++i) {
                if (room_.machines()[i].id == r.machine) room_.take(i, r.need);
            }
        }
        for (const auto& [name, team] : *in.teams) used_[name] = in.ledger->team_use(name);
    }

    PlacementResult run() {
        for (const JobEntry* e : queue_order(*in_.ledger, in_.own_teams, *in_.objectives, in_.wall)) {
            if (out_.starts.size() >= in_.most_starts) break;
            if (const auto b = in_.job_backoff.find(e->job.id); b != in_.job_backoff.end() && b->second > in_.now) {
                continue;
            }
            if (e->job.kind == JobKind::gang) {
                place_gang(*e);
            } else {
                place_tasks(*e);
            }
        }
        return std::move(out_);
    }

  private:
    bool within_limit(const Job& j, std::uint32_t more = 1) const {
        const auto t = in_.teams->find(j.team);
        if (t == in_.teams->end()) return false;
        const Amount& u = used_.at(j.team);
        return u.cpus + j.need.cpus * more <= t->second.cpus_max + kSlack &&
               u.gpus + j.need.gpus * more <= t->second.gpus_max + kSlack;
    }
    // In the sense of the promise to teams: this job and the team's earlier unfinished ones fit into the
    // guarantee together. A team with a longer queue than that has no claim on others' running work.
    bool within_guarantee(const Job& j) {
        const auto [it, fresh] = guaranteed_.try_emplace(j.id, false);
        if (!fresh) return it->second;
        Amount sum;
        for (const auto& [id, e] : in_.ledger->jobs()) {
            if (e.job.team != j.team || e.job.cancelled) continue;
            if (e.job.accepted < j.accepted || id == j.id) sum += e.job.need * static_cast<double>(e.job.tasks - e.done);
        }
        const auto& t = in_.teams->at(j.team);
        it->second = sum.cpus <= t.cpus + kSlack && sum.gpus <= t.gpus + kSlack;
        return it->second;
    }

    // Seconds until the image would be there.
    double fetch_s(const Job& j, const RoomMachine& m) const {
        if (m.has_image(j.image)) return 0;
        const double alone = j.image_gb / m.type->fetch_gb_per_s;
        if (m.view == nullptr) return alone;
        for (const auto& t : m.view->last.tasks) {
            if (t.state != TaskState::fetching) continue;
            const JobEntry* other = in_.ledger->find(t.job);
            // One fetch serves all tasks that need it, and this one is under way.
            if (other != nullptr && other->job.image == j.image) return alone / 2;
        }
        return alone;
    }

    // Lower is better. Candidates of the drain planner last; then the fetch, which is the longest part of a
    // start; then the kind of machine that fewer jobs may use, then the tightest fit.
    using Score = std::tuple<bool, int, bool, double, std::size_t>;
    Score score(const Job& j, std::size_t at) const {
        const RoomMachine& m = room_.machines()[at];
        const int image = static_cast<int>(std::lround(fetch_s(j, m)));
        return {m.candidate, image, m.spot != j.spot, m.free.cpus - j.need.cpus, at};
    }

    std::optional<std::size_t> best(const JobEntry& e, const ZoneUse& zones, std::uint32_t task) const {
        std::optional<std::size_t> best;
        Score best_score;
        for (std::size_t i = 0; i < room_.machines().size(); ++i) {
            const RoomMachine& m = room_.machines()[i];
            if (!m.usable || m.draining || !e.job.need.fits_in(m.free) || !may_run_on(e.job, m) ||
                !zones.allows(e.job, m.zone)) {
                continue;
            }
            // An attempt of this task that is still listed there would make the worker refuse the start.
            if (m.view != nullptr && m.view->task(e.job.id, task) != nullptr) continue;
            const Score s = score(e.job, i);
            if (!best || s < best_score) {
                best = i;
                best_score = s;
            }
        }
        return best;
    }

    void start(const JobEntry& e, std::uint32_t task, std::uint64_t number, std::size_t at) {
        const RoomMachine& m = room_.machines()[at];
        room_.take(at, e.job.need);
        used_[e.job.team] += e.job.need;
        out_.starts.push_back({e.job.id, task, {number, m.id, m.session}});
    }

    void place_tasks(const JobEntry& e) {
        ZoneUse zones = ZoneUse::of(e, room_);
        std::optional<double> wait_s;
        for (const auto& o : *in_.objectives) {
            if (o.kind == "wait" && o.job_class == e.job.job_class) wait_s = o.within_s;
        }
        for (const std::uint32_t task : unstarted_tasks(e, in_.most_starts)) {
            if (out_.starts.size() >= in_.most_starts || !within_limit(e.job)) return;
            const TaskRef ref{e.job.id, task};
            // Its own reservation is room for it.
            const auto held = out_.reservations.find(ref);
            if (held != out_.reservations.end()) release_hold(held->second);
            auto at = best(e, zones, task);
            if (!at) {
                if (held != out_.reservations.end()) {
                    retake_hold(held->second);
                    continue;
                }
                if (preempt(e, zones, task)) continue;
                return;  // the job's other tasks have the same shape
            }
            if (held != out_.reservations.end()) {
                out_.reservations.erase(held);
            } else if (wait_s && fetch_s(e.job, room_.machines()[*at]) > *wait_s && preempt(e, zones, task, true)) {
                // Its users wait no longer than this: room beside the image is worth another task's place.
                continue;
            }
            const auto c = e.chunks.find(task / kChunkTasks);
            const std::uint64_t last = c == e.chunks.end() ? 0 : c->second.last_attempt;
            zones.add(room_.machines()[*at].zone);
            start(e, task, last + 1, *at);
        }
    }

    // All tasks of a gang under one attempt number, or none.
    void place_gang(const JobEntry& e) {
        if (e.done != 0) {
            // One is done, so all are: what was lost before it could say so ends as soon as it is started.
            place_tasks(e);
            return;
        }
        if (e.open != 0) {
            replace_gang_tasks(e);
            return;
        }
        if (!within_limit(e.job, e.job.tasks)) return;
        const auto room_mark = room_.mark();
        const auto starts_mark = out_.starts.size();
        const Amount used_mark = used_[e.job.team];
        ZoneUse zones;
        const std::uint64_t number = e.last_attempt() + 1;
        std::set<std::string> tried;
        for (std::uint32_t task = 0; task < e.job.tasks; ++task) {
            auto at = best(e, zones, task);
            if (!at && e.job.one_zone && !zones.by_zone.empty()) {
                // The zone of the first task is too small: begin again without it.
                tried.insert(zones.by_zone.begin()->first);
                room_.revert(room_mark);
                out_.starts.resize(starts_mark);
                used_[e.job.team] = used_mark;
                for (auto& m : room_.machines()) {
                    if (tried.contains(m.zone)) closed_.push_back({&m, std::exchange(m.usable, false)});
                }
                zones = ZoneUse{};
                task = UINT32_MAX;  // the loop's increment makes it 0
                continue;
            }
            if (!at) {
                room_.revert(room_mark);
                out_.starts.resize(starts_mark);
                used_[e.job.team] = used_mark;
                break;
            }
            zones.add(room_.machines()[*at].zone);
            start(e, task, number, *at);
        }
        while (!closed_.empty()) {
            closed_.back().first->usable = closed_.back().second;
            closed_.pop_back();
        }
    }

    // A gang that lost tasks before it began takes replacements under the same attempt number. Once it has
    // run, its other tasks end by themselves ("peers") and it starts afresh when all are gone.
    void replace_gang_tasks(const JobEntry& e) {
        std::uint64_t number = 0;
        for (const auto& [i, c] : e.chunks) {
            for (const auto& [task, a] : c.open) {
                number = a.number;
                const auto v = view_attempt(*in_.picture, e.job.id, task, a);
                const bool waits = (v.fate == Fate::live || v.fate == Fate::unlisted) &&
                                   (v.state == TaskState::fetching || v.state == TaskState::waiting);
                if (!waits) return;
            }
        }
        ZoneUse zones = ZoneUse::of(e, room_);
        for (const std::uint32_t task : unstarted_tasks(e, e.job.tasks)) {
            if (!within_limit(e.job)) return;
            const auto at = best(e, zones, task);
            if (!at) return;
            zones.add(room_.machines()[*at].zone);
            start(e, task, number, *at);
        }
    }

    void release_hold(const Reservation& r) { hold(r, -1.0); }
    void retake_hold(const Reservation& r) { hold(r, 1.0); }
    void hold(const Reservation& r, double sign) {
        for (std::size_t i = 0; i < room_.machines().size(); ++i) {
            if (room_.machines()[i].id == r.machine) room_.take(i, r.need * sign);
        }
    }

    struct Victim {
        const JobEntry* entry;
        std::uint32_t task;
        const Attempt* attempt;
        std::tuple<int, int, double> cost;
    };

    // Claims in order: production, then what a guarantee covers, then the rest; by priority among equals.
    // A stop always goes down this order. Priority alone and guarantee alone each allow a stop, and two teams
    // with one each would stop one another's tasks for ever.
    std::pair<int, Priority> claim(const Job& j) {
        if (j.priority == Priority::production) return {2, j.priority};
        return {within_guarantee(j) ? 1 : 0, j.priority};
    }
    bool may_stop(const Job& j, const Job& victim) {
        if (victim.kind == JobKind::gang) return false;  // a gang loses far more than one task's room
        if (claim(j) <= claim(victim)) return false;
        if (j.priority > victim.priority) return true;
        if (j.team == victim.team || !within_guarantee(j)) return false;
        const auto& t = in_.teams->at(victim.team);
        return used_.at(victim.team).cpus > t.cpus + kSlack || used_.at(victim.team).gpus > t.gpus + kSlack;
    }

    bool preempt(const JobEntry& e, const ZoneUse& zones, std::uint32_t task, bool with_image = false) {
        if (out_.stops.size() >= in_.most_stops) return false;
        std::vector<Victim> chosen;
        std::size_t chosen_at = 0;
        std::tuple<bool, int, int, double> chosen_cost;
        for (std::size_t i = 0; i < room_.machines().size(); ++i) {
            const RoomMachine& m = room_.machines()[i];
            if (!m.usable || m.draining || !may_run_on(e.job, m) || !zones.allows(e.job, m.zone) ||
                m.view->task(e.job.id, task) != nullptr || (with_image && !m.has_image(e.job.image))) {
                continue;
            }
            std::vector<Victim> victims;
            for (const auto& ref : in_.ledger->on_machine(m.id)) {
                const JobEntry* o = in_.ledger->find(ref.job);
                const Attempt* a = in_.ledger->open_attempt(ref.job, ref.task);
                if (stopping_.contains(ref) || in_.stopping.contains(ref) || !may_stop(e.job, o->job)) continue;
                const auto v = view_attempt(*in_.picture, ref.job, ref.task, *a);
                if (v.fate != Fate::live || v.state == TaskState::saving) continue;
                // Least lost first: tasks without their image, then those that save as they go.
                const int state = v.state == TaskState::fetching ? 0 : o->job.checkpoint_s > 0 ? 1 : 2;
                victims.push_back({o, ref.task, a, {static_cast<int>(o->job.priority), state, o->job.need.cpus}});
            }
            std::sort(victims.begin(), victims.end(),
                      [](const Victim& a, const Victim& b) { return a.cost < b.cost; });
            Amount free = m.free;
            std::size_t n = 0;
            while (n < victims.size() && !e.job.need.fits_in(free)) free += victims[n++].entry->job.need;
            if (n == 0 || !e.job.need.fits_in(free)) continue;
            victims.resize(n);
            const auto& worst = victims.back().cost;
            const std::tuple<bool, int, int, double> cost{!m.has_image(e.job.image), std::get<0>(worst),
                                                          static_cast<int>(n) + std::get<1>(worst), free.cpus};
            if (chosen.empty() || cost < chosen_cost) {
                chosen = std::move(victims);
                chosen_at = i;
                chosen_cost = cost;
            }
        }
        if (chosen.empty()) return false;
        // The victims' room is not free before they have gone: a start into it now would be refused.
        double slowest = 0;
        for (const auto& v : chosen) {
            used_[v.entry->job.team] -= v.entry->job.need;
            stopping_.insert({v.entry->job.id, v.task});
            // A service's users wait now; anything else can wait until the victim has saved.
            const bool saves = e.job.kind != JobKind::service && v.entry->job.checkpoint_s > 0;
            out_.stops.push_back({v.entry->job.id, v.task, *v.attempt, saves ? v.entry->job.save_s + 0.5 : 0});
            slowest = std::max(slowest, out_.stops.back().grace_s);
        }
        room_.take(chosen_at, e.job.need);
        used_[e.job.team] += e.job.need;
        out_.reservations[{e.job.id, task}] = {room_.machines()[chosen_at].id, e.job.need,
                                               in_.now + Micros{4'000'000 + static_cast<std::int64_t>(slowest * 1e6)}};
        return true;
    }

    const PlacementInput& in_;
    Room& room_;
    PlacementResult out_;
    std::map<std::string, Amount> used_;
    std::map<std::string, bool> guaranteed_;
    std::set<TaskRef> stopping_;
    std::vector<std::pair<RoomMachine*, bool>> closed_;
};

}  // namespace

PlacementResult place(const PlacementInput& in, Room& room) { return Pass{in, room}.run(); }

}  // namespace hatchwind::core
