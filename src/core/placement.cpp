#include "core/placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <unordered_set>

namespace hatchwind::core {

namespace {

constexpr Micros kOwedFor{60'000'000};

Micros seconds(double s) { return Micros{static_cast<std::int64_t>(s * 1e6)}; }

// Once all wishes are missed: behind what can still be met, since serving the latest first under overload
// makes every job late in turn; but by a time of its own, so that newcomers do not pass it for ever.
Micros late_due(const Job& j, double last_wish_s) {
    return j.accepted + seconds(std::max(240.0, 2 * last_wish_s));
}

// When the job would have to be done for this objective. A wait is over with the start: counted to the end,
// as the others are, a class with a wish for its wait looked as if it were late before its time, and machines
// were rented for that.
double done_within(const Job& j, const Objective& o) {
    return o.kind == "wait" ? o.within_s + j.estimate_s : o.within_s;
}

double last_wish(const Job& j, const std::vector<Objective>& objectives) {
    double last = j.deadline_s.value_or(0);
    for (const auto& o : objectives) {
        if (o.job_class == j.job_class) last = std::max(last, done_within(j, o));
    }
    return last;
}

}  // namespace

Micros due_time(const Job& j, const std::vector<Objective>& objectives, Micros wall) {
    // Estimates are often wrong by half: what might still be met counts as such.
    const Micros run = seconds(j.estimate_s * 0.5);
    Micros due = late_due(j, last_wish(j, objectives));
    const auto consider = [&](double within_s) {
        const Micros at = j.accepted + seconds(within_s);
        if (at >= wall + run) due = std::min(due, at);
    };
    if (j.deadline_s) consider(*j.deadline_s);
    for (const auto& o : objectives) {
        if (o.job_class == j.job_class && o.within_s > 0) consider(done_within(j, o));
    }
    return due;
}

namespace {
bool waited_too_long(const JobEntry& e, Micros wall) {
    return e.done == 0 && wall - e.job.accepted >= kBeginWithin;
}
}  // namespace

bool must_begin(const JobEntry& e, Micros wall) { return e.open == 0 && waited_too_long(e, wall); }

std::vector<const JobEntry*> queue_order(const Ledger& l, const std::set<std::string>& teams,
                                         const std::vector<Objective>& objectives, Micros wall) {
    struct Key {
        int rank;
        Micros due;
        const JobEntry* e;
    };
    std::vector<Key> keys;
    for (const auto& [id, e] : l.jobs()) {
        if (e.job.cancelled || e.unstarted() == 0 || !teams.contains(e.job.team)) continue;
        const Micros due = due_time(e.job, objectives, wall);
        // What is late even by its last due time goes before other arrays of any priority.
        int rank = -static_cast<int>(e.job.priority);
        if (wall > due) rank = std::min(rank, -static_cast<int>(Priority::high));
        keys.push_back({rank, due, &e});
    }
    std::sort(keys.begin(), keys.end(), [](const Key& a, const Key& b) {
        return std::tie(a.rank, a.due, a.e->job.id) < std::tie(b.rank, b.due, b.e->job.id);
    });
    std::vector<const JobEntry*> out;
    out.reserve(keys.size());
    for (const auto& k : keys) out.push_back(k.e);
    return out;
}

namespace {

class Pass {
  public:
    Pass(const PlacementInput& in, FreeCapacity& room) : in_(in), room_(room) {
        for (const auto& [ref, r] : in.reservations) {
            if (r.until <= in.now || r.waiting) continue;
            out_.reservations.emplace(ref, r);
            hold(r, 1.0);
        }
        for (const auto& r : in.foreign) {
            if (!r.waiting) hold(r, 1.0);
        }
        for (const auto& [name, team] : *in.teams) used_[name] = in.ledger->team_use(name);
        for (const auto& o : *in.objectives) {
            if (o.kind == "guarantee") patience_ = seconds(o.within_s / 2);
        }
        for (const auto& m : room.machines()) {
            if (m.usable && !m.draining) (m.spot ? free_spot_ : free_ordinary_) += std::max(0.0, m.free.cpus);
        }
    }

    PlacementResult run() {
        const auto queue = queue_order(*in_.ledger, in_.own_teams, *in_.objectives, in_.wall);
        // What has waited too long begins first, each with one task, the longest wait first; room that it
        // does not find is held for it, so that neither small nor urgent work takes what is set free.
        std::vector<const JobEntry*> overdue;
        for (const JobEntry* e : queue) {
            if (must_begin(*e, in_.wall)) overdue.push_back(e);
        }
        std::stable_sort(overdue.begin(), overdue.end(), [](const JobEntry* a, const JobEntry* b) {
            return a->job.accepted < b->job.accepted;
        });
        for (const JobEntry* e : overdue) {
            if (full()) break;
            if (!backed_off(*e)) begin(*e);
        }
        // Overdue jobs of different owners may try for the same room; only others keep away from it.
        for (const auto& r : in_.foreign) {
            if (r.waiting) hold(r, 1.0);
        }
        for (const JobEntry* e : queue) {
            if (full()) {
                ++out_.deferred;
                continue;
            }
            if (backed_off(*e)) continue;
            if (e->job.kind == JobKind::gang) {
                if (!begun_.contains(e)) place_gang(*e);
            } else {
                place_tasks(*e);
            }
        }
        return std::move(out_);
    }

  private:
    bool full() const { return out_.starts.size() >= in_.most_starts || records_.size() >= in_.most_records; }
    bool backed_off(const JobEntry& e) const {
        const auto b = in_.job_backoff.find(e.job.id);
        return b != in_.job_backoff.end() && b->second > in_.now;
    }

    // First task of an overdue job, or all of an overdue gang.
    void begin(const JobEntry& e) {
        begun_.insert(&e);
        const std::uint32_t n = e.job.kind == JobKind::gang ? e.job.tasks : 1;
        if (!within_limit(e.job, n)) {
            // The team's later jobs would take what its limit leaves, for ever. Where its services alone keep
            // this one out, waiting with it serves nobody.
            if (within_limit_beside_services(e.job, n))
                used_[e.job.team] += e.job.need * static_cast<double>(n);
            return;
        }
        const auto before = out_.starts.size();
        if (e.job.kind == JobKind::gang) {
            place_gang(e);
        } else {
            place_tasks(e, true);
        }
        if (out_.starts.size() != before || out_.reservations.contains({e.job.id, 0})) return;
        // Holds room where most of it is free: nobody else takes it, so it grows until the task fits.
        std::vector<std::size_t> order;
        for (std::size_t i = 0; i < room_.machines().size(); ++i) {
            const MachineCapacity& m = room_.machines()[i];
            if (m.usable && !m.draining && may_run_on(e.job, m) && e.job.need.fits_in(m.type->size))
                order.push_back(i);
        }
        std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
            return std::pair{-room_.machines()[a].free.cpus, a} <
                   std::pair{-room_.machines()[b].free.cpus, b};
        });
        if (e.job.one_zone && !order.empty()) {
            std::map<std::string, double> free;
            for (const auto i : order)
                free[room_.machines()[i].zone] += std::max(0.0, room_.machines()[i].free.cpus);
            const auto zone = std::max_element(free.begin(), free.end(), [](const auto& a, const auto& b) {
                                  return a.second < b.second;
                              })->first;
            std::erase_if(order, [&](std::size_t i) { return room_.machines()[i].zone != zone; });
        }
        std::size_t next = 0;
        for (std::uint32_t t = 0; t < n && next < order.size();) {
            // What is held already, for an older job, is full beyond its size.
            if (room_.machines()[order[next]].free.cpus < 0) {
                ++next;
                continue;
            }
            const Reservation r{room_.machines()[order[next]].id, e.job.need, in_.now + Micros{5'000'000},
                                true};
            out_.reservations[{e.job.id, t++}] = r;
            hold(r, 1.0);
        }
    }

    bool within_limit(const Job& j, std::uint32_t more = 1) const {
        // What this pass stops is on its machine until the worker says that it is gone.
        const auto known = used_.find(j.team);
        Amount used = known == used_.end() ? Amount{} : known->second;
        if (const auto stopped = stopped_.find(j.team); stopped != stopped_.end()) used += stopped->second;
        return fits_limit(j, used, more);
    }
    bool fits_limit(const Job& j, const Amount& used, std::uint32_t more) const {
        const auto found = in_.teams->find(j.team);
        if (found == in_.teams->end()) return false;
        const Team& team = found->second;
        return used.cpus + j.need.cpus * more <= team.cpus_max + kSlack &&
               used.gpus + j.need.gpus * more <= team.gpus_max + kSlack;
    }
    // Whether it would be, with nothing but the team's services, which run until somebody cancels them.
    bool within_limit_beside_services(const Job& j, std::uint32_t more) const {
        Amount used;
        for (const auto& [id, e] : in_.ledger->jobs()) {
            if (e.job.team == j.team && e.job.kind == JobKind::service && !e.job.cancelled)
                used += e.job.need * static_cast<double>(e.open);
        }
        return fits_limit(j, used, more);
    }
    // In the sense of the promise to teams: this job and the team's earlier unfinished ones fit into the
    // guarantee together. A team with a longer queue than that has no claim on others' running work.
    bool within_guarantee(const Job& j) {
        if (!guarantees_known_) {
            guarantees_known_ = true;
            std::vector<const JobEntry*> by_age;
            for (const auto& [id, e] : in_.ledger->jobs()) {
                if (!e.job.cancelled && in_.teams->contains(e.job.team)) by_age.push_back(&e);
            }
            std::sort(by_age.begin(), by_age.end(), [](const JobEntry* a, const JobEntry* b) {
                return std::tie(a->job.accepted, a->job.id) < std::tie(b->job.accepted, b->job.id);
            });
            std::map<std::string, Amount> sums;
            for (const JobEntry* e : by_age) {
                Amount& sum = sums[e->job.team];
                sum += e->job.need * static_cast<double>(e->job.tasks - e->done);
                const auto& t = in_.teams->at(e->job.team);
                if (sum.cpus <= t.cpus + kSlack && sum.gpus <= t.gpus + kSlack) guaranteed_.insert(e->job.id);
            }
        }
        return guaranteed_.contains(j.id);
    }

    // FreeCapacity that other teams wait for within their guarantees: CPUs on any machine, and the part of
    // them for which only ordinary machines will do. Services take room by stops, and at once.
    struct Owed {
        double any = 0;
        double ordinary = 0;
    };
    Owed owed_to_others(const std::string& team) {
        if (!owed_known_) {
            owed_known_ = true;
            for (const auto& [id, e] : in_.ledger->jobs()) {
                // What waits long all the same waits for something else, and must not keep the fleet idle.
                if (e.job.kind != JobKind::array || e.job.cancelled || e.unstarted() == 0 ||
                    in_.wall - e.job.accepted > kOwedFor || !in_.teams->contains(e.job.team) ||
                    !within_guarantee(e.job))
                    continue;
                Owed& o = owed_[e.job.team];
                const double waiting = e.job.need.cpus * e.unstarted();
                o.any += waiting;
                if (!e.job.spot) o.ordinary += waiting;
            }
            for (auto& [name, o] : owed_) {
                const double due = std::max(0.0, in_.teams->at(name).cpus - used_.at(name).cpus);
                o = {std::min(o.any, due), std::min(o.ordinary, due)};
            }
        }
        Owed sum;
        for (const auto& [name, o] : owed_) {
            if (name == team) continue;
            sum.any += o.any;
            sum.ordinary += o.ordinary;
        }
        return sum;
    }
    // Work beyond its team's guarantee leaves room that others are owed. Each owner filled what was set free
    // with its own queue, and the others stopped that again within seconds: on a full fleet a fifth of all
    // starts was lost so.
    bool leaves_owed(const Job& j, std::size_t at) {
        if (j.kind != JobKind::array || j.priority == Priority::production || within_guarantee(j))
            return true;
        const Owed owed = owed_to_others(j.team);
        if (owed.any <= kSlack) return true;
        const bool spot = room_.machines()[at].spot;
        const double ordinary = free_ordinary_ - (spot ? 0 : j.need.cpus);
        const double left = free_spot_ - (spot ? j.need.cpus : 0) + std::max(0.0, ordinary - owed.ordinary);
        return (spot || ordinary >= owed.ordinary) && left >= owed.any - owed.ordinary;
    }

    // Seconds until the image would be there.
    double fetch_s(const Job& j, const MachineCapacity& m) const {
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
        const MachineCapacity& m = room_.machines()[at];
        const int image = static_cast<int>(std::lround(fetch_s(j, m)));
        return {m.candidate, image, m.spot != j.spot, m.free.cpus - j.need.cpus, at};
    }

    std::optional<std::size_t> best(const JobEntry& e, const ZoneUse& zones, std::uint32_t task) const {
        std::optional<std::size_t> best;
        Score best_score;
        for (std::size_t i = 0; i < room_.machines().size(); ++i) {
            const MachineCapacity& m = room_.machines()[i];
            if (!has_room_for(e.job, m) || !zones.allows(e.job, m.zone) || listed_on(i, e, task)) continue;
            const Score s = score(e.job, i);
            if (!best || s < best_score) {
                best = i;
                best_score = s;
            }
        }
        return best;
    }

    void start(const JobEntry& e, std::uint32_t task, std::uint64_t number, std::size_t at) {
        const MachineCapacity& m = room_.machines()[at];
        room_.take(at, e.job.need);
        (m.spot ? free_spot_ : free_ordinary_) -= e.job.need.cpus;
        used_[e.job.team] += e.job.need;
        out_.starts.push_back({e.job.id, task, {number, m.id, m.session}});
        started_.insert({e.job.id, task});
        records_.insert({&e, task / kChunkTasks});
    }

    bool listed_on(std::size_t at, const JobEntry& e, std::uint32_t task) const {
        // An attempt of this task that is still on the machine would make the worker refuse the start. One
        // that has exited is listed until its reap, which may take long when a copy of its start is under
        // way.
        const MachineCapacity& m = room_.machines()[at];
        const TaskReport* listed = m.view == nullptr ? nullptr : m.view->task(e.job.id, task);
        if (listed == nullptr) return false;
        // A gang's replacement bears the attempt number that its worker knows as exited.
        return listed->state != TaskState::exited || e.job.kind == JobKind::gang;
    }

    void place_tasks(const JobEntry& e, bool first_only = false) {
        std::optional<double> wait_s;
        for (const auto& o : *in_.objectives) {
            if (o.kind == "wait" && o.job_class == e.job.job_class) wait_s = o.within_s;
        }
        // Kept for the whole pass: a job that had to begin is tried twice.
        const auto [known, fresh] = zones_.try_emplace(&e);
        if (fresh) known->second = ZoneUse::of(e, room_);
        ZoneUse& zones = known->second;
        const Shape form = shape(e.job);
        // FreeCapacity only shrinks within a pass: what had none for this shape has none now.
        const bool hopeless = full_for_.contains(form);
        std::vector<std::pair<Score, std::size_t>> order;
        if (!hopeless) {
            for (std::size_t i = 0; i < room_.machines().size(); ++i) {
                const MachineCapacity& m = room_.machines()[i];
                if (has_room_for(e.job, m)) order.emplace_back(score(e.job, i), i);
            }
            std::sort(order.begin(), order.end());
            if (order.empty()) full_for_.insert(form);
        }
        std::size_t next = 0;  // everything before it is full, or in a zone that the job may not use any more
        const auto fits = [&](std::size_t at) {
            const MachineCapacity& m = room_.machines()[at];
            return e.job.need.fits_in(m.free) && zones.allows(e.job, m.zone);
        };
        for (const std::uint32_t task : unstarted_tasks(e, in_.most_starts)) {
            if (full() || !within_limit(e.job)) return;
            const TaskRef ref{e.job.id, task};
            if (started_.contains(ref)) continue;  // as the first task of a job that had to begin
            // Its own reservation is room for it.
            const auto held = out_.reservations.find(ref);
            std::optional<std::size_t> at;
            if (held != out_.reservations.end()) {
                hold(held->second, -1.0);
                const auto own = room_.at(held->second.machine);
                if (own != FreeCapacity::npos && room_.machines()[own].usable && fits(own) &&
                    !listed_on(own, e, task))
                    at = own;
            }
            while (next < order.size() && !fits(order[next].second)) ++next;
            for (std::size_t k = next; k < order.size() && !at; ++k) {
                if (fits(order[k].second) && !listed_on(order[k].second, e, task)) at = order[k].second;
            }
            if (!at) {
                if (held != out_.reservations.end()) {
                    hold(held->second, 1.0);
                    continue;
                }
                if (preempt(e, zones, task)) continue;
                return;  // the job's other tasks have the same shape
            }
            // The first task of an overdue job waits for nobody.
            if (held == out_.reservations.end() && !first_only && !leaves_owed(e.job, *at)) return;
            if (held != out_.reservations.end()) {
                out_.reservations.erase(held);
            } else if (wait_s && fetch_s(e.job, room_.machines()[*at]) > *wait_s &&
                       preempt(e, zones, task, true)) {
                // Its users wait no longer than this: room beside the image is worth another task's place.
                continue;
            }
            const auto c = e.chunks.find(task / kChunkTasks);
            const std::uint64_t last = c == e.chunks.end() ? 0 : c->second.last_attempt;
            zones.add(room_.machines()[*at].zone);
            start(e, task, last + 1, *at);
            if (first_only) return;
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

    void hold(const Reservation& r, double sign) {
        const auto i = room_.at(r.machine);
        if (i != FreeCapacity::npos) room_.take(i, r.need * sign);
    }

    struct Victim {
        const JobEntry* entry;
        std::uint32_t task;
        std::uint64_t number;
        std::tuple<int, int, double> cost;
        std::pair<int, Priority> claim;
        const Amount* team_use;  // what its team uses in this pass, and what it is guaranteed
        const Team* team;
        bool stopping = false;
    };

    // Claims in order: production, then what a guarantee covers, then the rest; by priority among equals.
    // A stop always goes down this order. Priority alone and guarantee alone each allow a stop, and two teams
    // with one each would stop one another's tasks for ever.
    std::pair<int, Priority> claim(const Job& j) {
        if (j.priority == Priority::production) return {2, j.priority};
        return {within_guarantee(j) ? 1 : 0, j.priority};
    }
    // `own` is the claim of the job that wants the room.
    static bool may_stop(const Job& j, const std::pair<int, Priority>& own, const Victim& v) {
        if (own <= v.claim) return false;
        if (j.priority > v.entry->job.priority) return true;
        if (j.team == v.entry->job.team || own.first == 0) return false;
        return v.team_use->cpus > v.team->cpus + kSlack || v.team_use->gpus > v.team->gpus + kSlack;
    }

    // What runs on the machine and might be stopped for somebody: the same for every job of a pass.
    std::vector<Victim>& stoppable(std::size_t at) {
        if (victims_.empty()) victims_.resize(room_.machines().size());
        if (victims_[at]) return *victims_[at];
        std::vector<Victim>& out = victims_[at].emplace();
        const MachineCapacity& m = room_.machines()[at];
        if (!m.usable || m.draining || m.held == nullptr) return out;
        const JobEntry* last = nullptr;
        std::pair<int, Priority> own;
        for (const auto& [ref, h] : *m.held) {
            const Job& j = h.entry->job;
            // A gang loses far more than one task's room.
            if (j.priority == Priority::production || j.kind == JobKind::gang ||
                !in_.teams->contains(j.team) || in_.stopping.contains(ref))
                continue;
            const auto v = view_attempt(*m.view, ref.job, ref.task, h.number, h.session);
            if (v.fate != Fate::live || v.state == TaskState::saving) continue;
            if (h.entry != last) {
                last = h.entry;
                own = claim(j);
            }
            // Least lost first: tasks without their image, then those that save as they go.
            const int state = v.state == TaskState::fetching ? 0 : j.checkpoint_s > 0 ? 1 : 2;
            // The first task of a job that had to begin comes last of all: stopped, the job has not begun,
            // and on a full fleet that went on for minutes.
            const bool begun_late = h.entry->open == 1 && waited_too_long(*h.entry, in_.wall);
            out.push_back({h.entry,
                           ref.task,
                           h.number,
                           {static_cast<int>(j.priority) + (begun_late ? 8 : 0), state, j.need.cpus},
                           own,
                           &used_.at(j.team),
                           &in_.teams->at(j.team)});
        }
        std::sort(out.begin(), out.end(), [](const Victim& a, const Victim& b) { return a.cost < b.cost; });
        return out;
    }

    bool preempt(const JobEntry& e, const ZoneUse& zones, std::uint32_t task, bool with_image = false) {
        if (out_.stops.size() >= in_.most_stops) return false;
        // Tasks of arrays end all the time, and the queue's order gives what they leave to whom a stop would
        // serve. Only who has waited for half the time that a guarantee allows stops others' work.
        if (e.job.kind == JobKind::array && in_.wall - e.job.accepted < patience_) return false;
        // A search that found nothing finds nothing for the next job of that shape and claim.
        const auto own = claim(e.job);
        const std::tuple key{shape(e.job), own, e.job.team, with_image ? e.job.image : std::string{}};
        if (no_victims_.contains(key)) return false;
        std::vector<Victim*> chosen;
        std::vector<Victim*> victims;
        std::size_t chosen_at = 0;
        std::tuple<bool, int, int, double> chosen_cost;
        for (std::size_t i = 0; i < room_.machines().size(); ++i) {
            const MachineCapacity& m = room_.machines()[i];
            if (m.held == nullptr || (with_image && !m.has_image(e.job.image)) || !may_run_on(e.job, m) ||
                !zones.allows(e.job, m.zone))
                continue;
            victims.clear();
            Amount free = m.free;
            for (Victim& v : stoppable(i)) {
                if (e.job.need.fits_in(free)) break;
                if (v.stopping || !may_stop(e.job, own, v)) continue;
                victims.push_back(&v);
                free += v.entry->job.need;
            }
            const std::size_t n = victims.size();
            if (n == 0 || !e.job.need.fits_in(free) || listed_on(i, e, task)) continue;
            const auto& worst = victims.back()->cost;
            const std::tuple<bool, int, int, double> cost{!m.has_image(e.job.image), std::get<0>(worst),
                                                          static_cast<int>(n) + std::get<1>(worst),
                                                          free.cpus};
            if (chosen.empty() || cost < chosen_cost) {
                std::swap(chosen, victims);
                chosen_at = i;
                chosen_cost = cost;
            }
        }
        if (chosen.empty() && !e.job.spread && !e.job.one_zone) no_victims_.insert(key);
        if (chosen.empty()) return false;
        // The victims' room is not free before they have gone: a start into it now would be refused.
        double slowest = 0;
        const MachineCapacity& at = room_.machines()[chosen_at];
        for (Victim* p : chosen) {
            Victim& v = *p;
            used_[v.entry->job.team] -= v.entry->job.need;
            stopped_[v.entry->job.team] += v.entry->job.need;
            v.stopping = true;
            // A service's users wait now; anything else can wait until the victim has saved.
            const bool saves = e.job.kind != JobKind::service && v.entry->job.checkpoint_s > 0;
            out_.stops.push_back({v.entry->job.id,
                                  v.task,
                                  {v.number, at.id, at.session},
                                  saves ? v.entry->job.save_s + 0.5 : 0});
            slowest = std::max(slowest, out_.stops.back().grace_s);
        }
        room_.take(chosen_at, e.job.need);
        used_[e.job.team] += e.job.need;
        out_.reservations[{e.job.id, task}] = {
            at.id, e.job.need, in_.now + Micros{4'000'000 + static_cast<std::int64_t>(slowest * 1e6)}};
        return true;
    }

    const PlacementInput& in_;
    FreeCapacity& room_;
    PlacementResult out_;
    std::map<std::string, Amount> used_;     // by team, less what this pass stops
    std::map<std::string, Amount> stopped_;  // by team: told to stop in this pass, and not gone yet
    std::unordered_set<std::string> guaranteed_;
    bool guarantees_known_ = false;
    std::map<std::string, Owed> owed_;  // by team
    bool owed_known_ = false;
    double free_spot_ = 0;  // CPUs that this pass has not given away yet
    double free_ordinary_ = 0;
    Micros patience_{};
    std::set<TaskRef> started_;
    std::set<std::pair<const JobEntry*, std::uint32_t>> records_;
    std::set<const JobEntry*> begun_;
    std::unordered_map<const JobEntry*, ZoneUse> zones_;
    std::set<Shape> full_for_;
    std::set<std::tuple<Shape, std::pair<int, Priority>, std::string, std::string>> no_victims_;
    std::vector<std::optional<std::vector<Victim>>> victims_;  // by machine; none: not looked for yet
    std::vector<std::pair<MachineCapacity*, bool>> closed_;
};

}  // namespace

PlacementResult place(const PlacementInput& in, FreeCapacity& room) { return Pass{in, room}.run(); }

}  // namespace hatchwind::core
