#include "core/scale_out_planner.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <unordered_map>

namespace hatchwind::core {

namespace {

// The estimate is the shard shard owner's and may be missing; a task of unknown length counts as a minute.
double task_seconds(const Job& j) { return j.estimate_s > 0 ? j.estimate_s : 60; }

class Planner {
  public:
    Planner(const ScaleOutSettings& s, const ScaleOutInput& in, FreeCapacity& capacity)
        : settings_(s), in_(in), capacity_(capacity) {
        for (const auto& b : in.booting) {
            const auto t = in.catalog->find(b.type);
            if (t == in.catalog->end()) continue;
            MachineCapacity m;
            m.id = b.machine;
            m.type = &t->second;
            m.zone = b.zone;
            m.spot = b.spot;
            m.free = t->second.size;
            capacity_.add(std::move(m));
        }
        for (const auto& [name, team] : *in.teams) used_[name] = in.job_table->team_use(name);
        for (const auto& m : capacity_.machines()) ++in_zone_[m.zone];
    }

    std::map<InstancePool, std::uint32_t> run() {
        std::set<std::string> teams;
        for (const auto& [name, team] : *in_.teams) teams.insert(name);
        const auto queue =
            queue_order(*in_.job_table, teams, *in_.objectives, in_.wall_clock_now, in_.pipelines);
        // Tasks that never end, and gangs, need capacity of their own now.
        for (const JobEntry* e : queue) {
            if (e->job.kind != JobKind::array) place_all(*e);
        }
        // Arrays share capacity over time: so much as empties their backlog in the wanted time. What their
        // running tasks will leave within that time is capacity for the queue too.
        lend_running();
        searched_.clear();  // there is capacity again
        for (const JobEntry* e : queue) {
            if (e->job.kind == JobKind::array) place_share(*e);
        }
        rent_ahead();
        return std::move(rent_);
    }

  private:
    bool within_limit(const Job& j) const {
        const auto& t = in_.teams->at(j.team);
        const Resources& u = used_.at(j.team);
        return u.cpus + j.resources.cpus <= t.cpus_max + kResourceTolerance &&
               u.gpus + j.resources.gpus <= t.gpus_max + kResourceTolerance;
    }

    bool open_for(const JobEntry& e, const ZoneUse& zones, const MachineCapacity& m) const {
        return has_capacity_for(e.job, m) && zones.allows(e.job, m.zone);
    }

    // As many of n tasks as this machine takes.
    std::uint32_t fill(const JobEntry& e, ZoneUse& zones, std::size_t i, std::uint32_t n) {
        std::uint32_t taken = 0;
        while (taken < n && within_limit(e.job) && open_for(e, zones, capacity_.machines()[i])) {
            capacity_.take(i, e.job.resources);
            used_[e.job.team] += e.job.resources;
            zones.add(capacity_.machines()[i].zone);
            ++taken;
        }
        return taken;
    }

    // FreeCapacity for n more tasks: what there is, then machines to rent. Returns how many found some.
    std::uint32_t some(const JobEntry& e, ZoneUse& zones, std::uint32_t n) {
        std::uint32_t got = 0;
        // FreeCapacity only shrinks: a job of the same shape goes on where the last one stopped.
        std::size_t& from = searched_[shape(e.job)];
        const bool zoned = e.job.spread || e.job.one_zone;
        std::size_t i = from;
        for (; i < capacity_.machines().size() && got < n; ++i) {
            got += fill(e, zones, i, n - got);
            if (!within_limit(e.job)) return got;
        }
        if (!zoned) from = i == 0 ? 0 : i - 1;
        while (got < n && within_limit(e.job) && total_ < settings_.most_per_round) {
            const auto pool = choose(e, zones, (n - got) * e.job.resources.cpus);
            if (!pool) break;
            ++rent_[*pool];
            ++total_;
            MachineCapacity m;
            m.id = "planned-" + std::to_string(total_);
            m.type = &in_.catalog->at(pool->type);
            m.zone = pool->zone;
            m.spot = pool->spot;
            m.free = m.type->size;
            ++in_zone_[m.zone];
            const auto at = capacity_.add(std::move(m));
            const std::uint32_t taken = fill(e, zones, at, n - got);
            if (taken == 0) break;
            got += taken;
        }
        return got;
    }

    // Not split yet: compares pools by one measure after the other.
    // NOLINTNEXTLINE(readability-function-cognitive-complexity)
    std::optional<InstancePool> choose(const JobEntry& e, const ZoneUse& zones, double cpus_wanted) const {
        std::optional<InstancePool> best;
        std::tuple<double, std::size_t> best_cost;
        for (const auto& [name, t] : *in_.catalog) {
            if (!e.job.allows_type(name) || !e.job.resources.fits_in(t.size)) continue;
            for (const auto& zone : t.zones) {
                if ((e.job.zone && *e.job.zone != zone) || !zones.allows(e.job, zone)) continue;
                for (const bool spot : {true, false}) {
                    if (spot && !e.job.spot) continue;
                    const InstancePool pool{name, zone, spot};
                    const auto r = in_.refused_until.find(pool);
                    if (r != in_.refused_until.end() && r->second > in_.now) continue;
                    // Money for the capacity that the queue would really use on it.
                    const double price = spot ? t.spot_price : t.price;
                    const double used = std::min(t.size.cpus, std::max(cpus_wanted, e.job.resources.cpus));
                    const std::tuple<double, std::size_t> cost{price / std::max(used, 1e-3),
                                                               machines_in(zone)};
                    if (!best || cost < best_cost) {
                        best = pool;
                        best_cost = cost;
                    }
                }
            }
        }
        return best;
    }

    bool has_home(const Job& j) const {
        return std::any_of(
            capacity_.machines().begin(), capacity_.machines().end(), [&](const MachineCapacity& m) {
                return m.usable && !m.draining && may_run_on(j, m) && j.resources.fits_in(m.type->size);
            });
    }

    std::size_t machines_in(const std::string& zone) const {
        const auto it = in_zone_.find(zone);
        return it == in_zone_.end() ? 0 : it->second;
    }

    void place_all(const JobEntry& e) {
        ZoneUse zones = ZoneUse::of(e, capacity_);
        some(e, zones, e.unstarted());
    }

    // The part of the wanted time for which a task of this job needs its place.
    double time_share(const Job& j, double run) const {
        const Micros due = due_time(j, *in_.objectives, in_.wall_clock_now, in_.pipelines);
        const double left = static_cast<double>((due - in_.wall_clock_now).count()) / 1e6 - run;
        return std::min(1.0, run / std::max(left * settings_.slack_share, settings_.least_queue_s));
    }

    void lend_running() {
        std::unordered_map<const JobEntry*, double> shares;
        for (std::size_t i = 0; i < capacity_.machines().size(); ++i) {
            const MachineCapacity& m = capacity_.machines()[i];
            if (m.recorded_attempts == nullptr || !m.usable || m.draining) continue;
            for (const auto& [ref, recorded_attempts] : *m.recorded_attempts) {
                const JobEntry* e = recorded_attempts.entry;
                if (e->job.kind != JobKind::array) continue;
                const auto [share, fresh] = shares.try_emplace(e, 0);
                // Half of its run is still to come, as far as anyone knows.
                if (fresh) share->second = 1 - time_share(e->job, task_seconds(e->job) / 2);
                capacity_.give(i, e->job.resources * share->second);
            }
        }
    }

    void place_share(const JobEntry& e) {
        // A task that runs longer than the wanted time needs a place of its own at once; short ones queue.
        const double share = time_share(e.job, std::max(task_seconds(e.job), 1.0));
        ZoneUse zones = ZoneUse::of(e, capacity_);
        if (!has_home(e.job)) {
            // However short the queue: without any machine that could take it, it would wait for ever.
            some(e, zones, 1);
            return;
        }
        // What has waited too long needs a place now, whatever the queue would leave it.
        reserved_ +=
            must_begin(e, in_.wall_clock_now) ? std::max(1.0, share * e.unstarted()) : share * e.unstarted();
        const auto whole = static_cast<std::uint32_t>(reserved_);
        if (whole == 0) return;
        const auto got = some(e, zones, std::min(whole, e.unstarted()));
        reserved_ = got < whole ? std::min(reserved_ - got, 1.0) : reserved_ - got;
    }

    // Jobs that will be released soon, after all that is released already.
    void rent_ahead() {
        if (in_.pipelines == nullptr || settings_.release_ahead_s <= 0) return;
        const Micros until = in_.wall_clock_now + from_seconds(settings_.release_ahead_s);
        for (const auto& release : in_.pipelines->upcoming()) {
            const Job& job = release.entry->job;
            if (release.soonest > until || !in_.teams->contains(job.team_once_released)) continue;
            const JobEntry released = as_released(job, release.soonest);
            if (job.kind == JobKind::array) {
                place_share(released);
            } else {
                place_all(released);
            }
        }
    }

    static JobEntry as_released(const Job& waiting, Micros at) {
        JobEntry entry;
        entry.job = waiting;
        entry.job.team = waiting.team_once_released;
        entry.job.accepted = at;
        if (waiting.deadline_s) {
            const Micros deadline = waiting.accepted + from_seconds(*waiting.deadline_s);
            entry.job.deadline_s = static_cast<double>((deadline - at).count()) / 1e6;
        }
        return entry;
    }

    const ScaleOutSettings& settings_;
    const ScaleOutInput& in_;
    FreeCapacity& capacity_;
    std::map<InstancePool, std::uint32_t> rent_;
    std::map<std::string, Resources> used_;
    std::map<std::string, std::size_t> in_zone_;
    std::map<Shape, std::size_t> searched_;
    double reserved_ = 0;
    std::size_t total_ = 0;
};

}  // namespace

std::map<InstancePool, std::uint32_t> plan_scale_out(const ScaleOutSettings& s, const ScaleOutInput& in,
                                                     FreeCapacity capacity) {
    return Planner{s, in, capacity}.run();
}

}  // namespace hatchwind::core
