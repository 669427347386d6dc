#include "core/scale_out_planner.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace hatchwind::core {

namespace {

// A task of unknown length counts as this long.
constexpr double kUnknownTaskSeconds = 60;
// An array's task never counts as shorter than this.
constexpr double kLeastTaskSeconds = 1;
// Keeps the price for each used CPU finite for tasks that request none.
constexpr double kLeastUsedCpus = 1e-3;

// The estimate is the user's and may be missing.
double task_seconds(const Job& job) { return job.estimate_s > 0 ? job.estimate_s : kUnknownTaskSeconds; }

MachineCapacity new_machine(std::string id, const MachineType& type, const std::string& zone, bool spot) {
    MachineCapacity machine;
    machine.id = std::move(id);
    machine.type = &type;
    machine.zone = zone;
    machine.spot = spot;
    machine.free = type.size;
    return machine;
}

// The waiting job as it will be once it is released at that time of the wall clock.
JobEntry as_released(const Job& waiting, Micros released_at) {
    JobEntry entry;
    entry.job = waiting;
    entry.job.team = waiting.team_once_released;
    entry.job.accepted = released_at;
    if (waiting.deadline_s) {
        const Micros deadline = waiting.accepted + from_seconds(*waiting.deadline_s);
        entry.job.deadline_s = to_seconds(deadline - released_at);
    }
    return entry;
}

class ScaleOutPlanner {
  public:
    ScaleOutPlanner(const ScaleOutSettings& settings, const ScaleOutInput& input, FreeCapacity& capacity)
        : settings_(settings), input_(input), capacity_(capacity) {
        for (const auto& instance : input.booting) add_booting(instance);
        for (const auto& [name, team] : *input.teams) team_use_[name] = input.job_table->team_use(name);
        for (const auto& machine : capacity_.machines()) ++machines_by_zone_[machine.zone];
    }

    std::map<InstancePool, std::uint32_t> run() {
        std::set<std::string> teams;
        for (const auto& [name, team] : *input_.teams) teams.insert(name);
        const auto queue = queue_order(*input_.job_table, teams, *input_.objectives, input_.wall_clock_now,
                                       input_.pipelines);
        // Tasks that never end, and gangs, need capacity of their own now.
        for (const JobEntry* entry : queue) {
            if (entry->job.kind != JobKind::array) place_all(*entry);
        }
        // Arrays share capacity over time: as much as empties their backlog in the wanted time. What their
        // running tasks will free within that time is capacity for the queue too.
        free_shares_of_running();
        first_with_capacity_.clear();  // there is capacity again
        for (const JobEntry* entry : queue) {
            if (entry->job.kind == JobKind::array) place_share(*entry);
        }
        scale_out_ahead();
        return std::move(requests_);
    }

  private:
    // Lower is better.
    struct PoolCost {
        double price_per_used_cpu = 0;
        std::size_t machines_in_zone = 0;
        friend auto operator<=>(const PoolCost&, const PoolCost&) = default;
    };
    struct PoolChoice {
        InstancePool pool;
        PoolCost cost;
    };

    void add_booting(const Instance& instance) {
        const auto type = input_.catalog->find(instance.type);
        if (type == input_.catalog->end()) return;
        capacity_.add(new_machine(instance.machine, type->second, instance.zone, instance.spot));
    }

    bool within_limit(const Job& job) const {
        const Team& team = input_.teams->at(job.team);
        const Resources& use = team_use_.at(job.team);
        return use.cpus + job.resources.cpus <= team.cpus_max + kResourceTolerance &&
               use.gpus + job.resources.gpus <= team.gpus_max + kResourceTolerance;
    }

    // Places up to `limit` tasks on this machine; returns how many.
    std::uint32_t fill(const JobEntry& entry, ZoneUse& zones, std::size_t position, std::uint32_t limit) {
        const Job& job = entry.job;
        std::uint32_t placed = 0;
        while (placed < limit && within_limit(job)) {
            const MachineCapacity& machine = capacity_.machines()[position];
            if (!has_capacity_for(job, machine) || !zones.allows(job, machine.zone)) break;
            capacity_.take(position, job.resources);
            team_use_[job.team] += job.resources;
            zones.add(machine.zone);
            ++placed;
        }
        return placed;
    }

    // Places up to `wanted` tasks: on what there is, then on instances to request. Returns how many.
    std::uint32_t place_some(const JobEntry& entry, ZoneUse& zones, std::uint32_t wanted) {
        const std::uint32_t placed = place_on_known(entry, zones, wanted);
        if (!within_limit(entry.job)) return placed;
        return placed + place_on_requested(entry, zones, wanted - placed);
    }

    std::uint32_t place_on_known(const JobEntry& entry, ZoneUse& zones, std::uint32_t wanted) {
        // Capacity only shrinks: a job of the same shape goes on where the last one stopped.
        std::size_t& first = first_with_capacity_[shape(entry.job)];
        std::uint32_t placed = 0;
        std::size_t position = first;
        for (; position < capacity_.machines().size() && placed < wanted; ++position) {
            placed += fill(entry, zones, position, wanted - placed);
            if (!within_limit(entry.job)) return placed;
        }
        const bool has_zone_rules = entry.job.spread || entry.job.one_zone;
        if (!has_zone_rules) first = position == 0 ? 0 : position - 1;
        return placed;
    }

    std::uint32_t place_on_requested(const JobEntry& entry, ZoneUse& zones, std::uint32_t wanted) {
        std::uint32_t placed = 0;
        while (placed < wanted && within_limit(entry.job) && requested_ < settings_.most_per_round) {
            const auto pool = cheapest_pool(entry.job, zones, (wanted - placed) * entry.job.resources.cpus);
            if (!pool) break;
            const std::uint32_t more = fill(entry, zones, request_instance(*pool), wanted - placed);
            if (more == 0) break;
            placed += more;
        }
        return placed;
    }

    // Returns the position of the machine that the instance will be.
    std::size_t request_instance(const InstancePool& pool) {
        ++requests_[pool];
        ++requested_;
        ++machines_by_zone_[pool.zone];
        const MachineType& type = input_.catalog->at(pool.type);
        return capacity_.add(
            new_machine("planned-" + std::to_string(requested_), type, pool.zone, pool.spot));
    }

    // The pool with the lowest price for each CPU that the queue would use of an instance.
    std::optional<InstancePool> cheapest_pool(const Job& job, const ZoneUse& zones,
                                              double cpus_wanted) const {
        std::optional<PoolChoice> best;
        for (const auto& [name, type] : *input_.catalog) {
            if (!job.allows_type(name) || !job.resources.fits_in(type.size)) continue;
            const double cpus_used = std::min(type.size.cpus, std::max(cpus_wanted, job.resources.cpus));
            for (const auto& zone : type.zones) {
                if ((job.zone && *job.zone != zone) || !zones.allows(job, zone)) continue;
                if (job.spot) consider({name, zone, true}, type.spot_price, cpus_used, best);
                consider({name, zone, false}, type.price, cpus_used, best);
            }
        }
        if (!best) return std::nullopt;
        return best->pool;
    }

    // Of pools with equal costs the one that was considered first stays the choice.
    void consider(const InstancePool& pool, double price, double cpus_used,
                  std::optional<PoolChoice>& best) const {
        const auto refused = input_.refused_until.find(pool);
        if (refused != input_.refused_until.end() && refused->second > input_.monotonic_now) return;
        const PoolCost cost{price / std::max(cpus_used, kLeastUsedCpus), machines_in(pool.zone)};
        if (!best || cost < best->cost) best = PoolChoice{pool, cost};
    }

    // A machine that could take a task of the job if it were empty.
    bool has_suitable_machine(const Job& job) const {
        const auto& machines = capacity_.machines();
        return std::any_of(machines.begin(), machines.end(), [&](const MachineCapacity& machine) {
            return machine.usable && !machine.draining && may_run_on(job, machine) &&
                   job.resources.fits_in(machine.type->size);
        });
    }

    std::size_t machines_in(const std::string& zone) const {
        const auto known = machines_by_zone_.find(zone);
        return known == machines_by_zone_.end() ? 0 : known->second;
    }

    void place_all(const JobEntry& entry) {
        ZoneUse zones = ZoneUse::of(entry, capacity_);
        place_some(entry, zones, entry.unstarted());
    }

    // The part of the time until the job is due for which a task that runs `run_s` needs its place.
    double time_share(const Job& job, double run_s) const {
        const Micros due = due_time(job, *input_.objectives, input_.wall_clock_now, input_.pipelines);
        const double slack_s = to_seconds(due - input_.wall_clock_now) - run_s;
        return std::min(1.0, run_s / std::max(slack_s * settings_.slack_share, settings_.least_queue_s));
    }

    // Gives back the part of the wanted time that running tasks of arrays leave to the queue.
    void free_shares_of_running() {
        std::unordered_map<const JobEntry*, double> freed_shares;
        for (std::size_t position = 0; position < capacity_.machines().size(); ++position) {
            const MachineCapacity& machine = capacity_.machines()[position];
            if (machine.recorded_attempts == nullptr || !machine.usable || machine.draining) continue;
            for (const auto& [ref, recorded] : *machine.recorded_attempts) {
                const Job& job = recorded.entry->job;
                if (job.kind != JobKind::array) continue;
                const auto [share, is_new] = freed_shares.try_emplace(recorded.entry, 0);
                // Half of its run is still to come, as far as anyone knows.
                if (is_new) share->second = 1 - time_share(job, task_seconds(job) / 2);
                capacity_.give(position, job.resources * share->second);
            }
        }
    }

    void place_share(const JobEntry& entry) {
        // A task that runs longer than the wanted time needs a place of its own at once; short ones queue.
        const double share = time_share(entry.job, std::max(task_seconds(entry.job), kLeastTaskSeconds));
        ZoneUse zones = ZoneUse::of(entry, capacity_);
        if (!has_suitable_machine(entry.job)) {
            // However short the queue: without any machine that could take it, it would wait for ever.
            place_some(entry, zones, 1);
            return;
        }
        const double places = share * entry.unstarted();
        // What has waited too long needs a place now, whatever the queue would leave it.
        carried_places_ += must_begin(entry, input_.wall_clock_now) ? std::max(1.0, places) : places;
        const auto whole_places = static_cast<std::uint32_t>(carried_places_);
        if (whole_places == 0) return;
        const auto placed = place_some(entry, zones, std::min(whole_places, entry.unstarted()));
        carried_places_ -= placed;
        if (placed < whole_places) carried_places_ = std::min(carried_places_, 1.0);
    }

    // Jobs that will be released soon, after all that is released already.
    void scale_out_ahead() {
        if (input_.pipelines == nullptr || settings_.release_ahead_s <= 0) return;
        const Micros until = input_.wall_clock_now + from_seconds(settings_.release_ahead_s);
        for (const auto& release : input_.pipelines->upcoming()) {
            const Job& job = release.entry->job;
            if (release.soonest > until || !input_.teams->contains(job.team_once_released)) continue;
            const JobEntry released = as_released(job, release.soonest);
            if (job.kind == JobKind::array) {
                place_share(released);
            } else {
                place_all(released);
            }
        }
    }

    const ScaleOutSettings& settings_;
    const ScaleOutInput& input_;
    FreeCapacity& capacity_;
    std::map<InstancePool, std::uint32_t> requests_;
    std::size_t requested_ = 0;                            // instances of all pools
    std::map<std::string, Resources> team_use_;            // with what this round has placed
    std::map<std::string, std::size_t> machines_by_zone_;  // with what this round requests
    std::map<Shape, std::size_t> first_with_capacity_;     // all machines before it have none for the shape
    // Places that arrays need beyond those they got: the fractions of many short queues add up to whole ones.
    double carried_places_ = 0;
};

}  // namespace

std::map<InstancePool, std::uint32_t> plan_scale_out(const ScaleOutSettings& settings,
                                                     const ScaleOutInput& input, FreeCapacity capacity) {
    return ScaleOutPlanner{settings, input, capacity}.run();
}

}  // namespace hatchwind::core
