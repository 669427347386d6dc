#include "core/scale_out_planner.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace hatchwind::core {

namespace {

// Assumed run time of a task without an estimate.
constexpr double kUnknownTaskSeconds = 60;
// Lower bound of the assumed run time of an array's task.
constexpr double kMinTaskSeconds = 1;
// Keeps the price per used CPU finite for tasks that request no CPUs.
constexpr double kMinUsedCpus = 1e-3;

// The user's estimate may be missing.
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

// Returns the entry that the waiting job will have once it is released at `released_at` (wall clock).
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
        // Services run until they are cancelled, and gangs start all tasks at once, so both need their full
        // capacity now.
        for (const JobEntry* entry : queue) {
            if (entry->job.kind != JobKind::array) place_all(*entry);
        }
        // Arrays share capacity over time: they get as much as starts their queue within the target time.
        // Capacity that running array tasks free within that time is available to the queue too.
        free_shares_of_running_tasks();
        first_with_capacity_.clear();  // capacity has been added, so earlier machines may have some again
        for (const JobEntry* entry : queue) {
            if (entry->job.kind == JobKind::array) place_array(*entry);
        }
        scale_out_for_upcoming_releases();
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

    // Places up to `limit` tasks on this machine and returns how many were placed.
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

    // Places up to `wanted` tasks, first on known machines, then on instances to request. Returns how many
    // were placed.
    std::uint32_t place_up_to(const JobEntry& entry, ZoneUse& zones, std::uint32_t wanted) {
        const std::uint32_t placed = place_on_known(entry, zones, wanted);
        if (!within_limit(entry.job)) return placed;
        return placed + place_on_requested(entry, zones, wanted - placed);
    }

    std::uint32_t place_on_known(const JobEntry& entry, ZoneUse& zones, std::uint32_t wanted) {
        // Capacity only shrinks, so a job of the same shape continues at the machine where the last one
        // stopped.
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
        while (placed < wanted && within_limit(entry.job) && requested_ < settings_.max_instances_per_round) {
            const auto pool = cheapest_pool(entry.job, zones, (wanted - placed) * entry.job.resources.cpus);
            if (!pool) break;
            const std::uint32_t more = fill(entry, zones, request_instance(*pool), wanted - placed);
            if (more == 0) break;
            placed += more;
        }
        return placed;
    }

    // Returns the position of the requested machine in the free capacity.
    std::size_t request_instance(const InstancePool& pool) {
        ++requests_[pool];
        ++requested_;
        ++machines_by_zone_[pool.zone];
        const MachineType& type = input_.catalog->at(pool.type);
        return capacity_.add(
            new_machine("planned-" + std::to_string(requested_), type, pool.zone, pool.spot));
    }

    // Returns the pool with the lowest price per CPU that the queue would use on one instance.
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

    // Among pools with equal costs the one considered first is kept.
    void consider(const InstancePool& pool, double price, double cpus_used,
                  std::optional<PoolChoice>& best) const {
        const auto refused = input_.refused_until.find(pool);
        if (refused != input_.refused_until.end() && refused->second > input_.monotonic_now) return;
        const PoolCost cost{price / std::max(cpus_used, kMinUsedCpus), machines_in(pool.zone)};
        if (!best || cost < best->cost) best = PoolChoice{pool, cost};
    }

    // Returns true if some machine could take a task of the job when empty.
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
        place_up_to(entry, zones, entry.unstarted());
    }

    // Returns the fraction of the time until the job is due for which a task that runs `run_s` seconds needs
    // a slot.
    double slot_share(const Job& job, double run_s) const {
        const Micros due = due_time(job, *input_.objectives, input_.wall_clock_now, input_.pipelines);
        const double slack_s = to_seconds(due - input_.wall_clock_now) - run_s;
        return std::min(1.0, run_s / std::max(slack_s * settings_.slack_share, settings_.min_queue_s));
    }

    // Adds to the free capacity the fraction of the target time that remains for the queue after running
    // array tasks end.
    void free_shares_of_running_tasks() {
        std::unordered_map<const JobEntry*, double> freed_shares;
        for (std::size_t position = 0; position < capacity_.machines().size(); ++position) {
            const MachineCapacity& machine = capacity_.machines()[position];
            if (machine.recorded_attempts == nullptr || !machine.usable || machine.draining) continue;
            for (const auto& [ref, recorded] : *machine.recorded_attempts) {
                const Job& job = recorded.entry->job;
                if (job.kind != JobKind::array) continue;
                const auto [share, is_new] = freed_shares.try_emplace(recorded.entry, 0);
                // A running task is assumed to have half of its run time left.
                if (is_new) share->second = 1 - slot_share(job, task_seconds(job) / 2);
                capacity_.give(position, job.resources * share->second);
            }
        }
    }

    void place_array(const JobEntry& entry) {
        // A task that runs longer than the target time needs its own slot at once; short tasks use a slot one
        // after the other.
        const double share = slot_share(entry.job, std::max(task_seconds(entry.job), kMinTaskSeconds));
        ZoneUse zones = ZoneUse::of(entry, capacity_);
        if (!has_suitable_machine(entry.job)) {
            // One task is placed however short the queue is: without any suitable machine it would wait for
            // ever.
            place_up_to(entry, zones, 1);
            return;
        }
        const double slots = share * entry.unstarted();
        // An overdue job needs a slot now, even if its share is less than one.
        carried_slots_ += is_overdue(entry, input_.wall_clock_now) ? std::max(1.0, slots) : slots;
        const auto whole_slots = static_cast<std::uint32_t>(carried_slots_);
        if (whole_slots == 0) return;
        const auto placed = place_up_to(entry, zones, std::min(whole_slots, entry.unstarted()));
        carried_slots_ -= placed;
        if (placed < whole_slots) carried_slots_ = std::min(carried_slots_, 1.0);
    }

    // Requests capacity for jobs that will be released soon, after all released jobs are served.
    void scale_out_for_upcoming_releases() {
        if (input_.pipelines == nullptr || settings_.release_ahead_s <= 0) return;
        const Micros until = input_.wall_clock_now + from_seconds(settings_.release_ahead_s);
        for (const auto& release : input_.pipelines->upcoming()) {
            const Job& job = release.entry->job;
            if (release.earliest_release > until || !input_.teams->contains(job.team_once_released)) continue;
            const JobEntry released = as_released(job, release.earliest_release);
            if (job.kind == JobKind::array) {
                place_array(released);
            } else {
                place_all(released);
            }
        }
    }

    const ScaleOutSettings& settings_;
    const ScaleOutInput& input_;
    FreeCapacity& capacity_;
    std::map<InstancePool, std::uint32_t> requests_;
    std::size_t requested_ = 0;                            // number of instances requested from all pools
    std::map<std::string, Resources> team_use_;            // including tasks placed in this round
    std::map<std::string, std::size_t> machines_by_zone_;  // including instances requested in this round
    // Machines before this position have no capacity for the shape.
    std::map<Shape, std::size_t> first_with_capacity_;
    // Slots that arrays need beyond those they got: the fractions of many short queues add up to whole slots.
    double carried_slots_ = 0;
};

}  // namespace

std::map<InstancePool, std::uint32_t> plan_scale_out(const ScaleOutSettings& settings,
                                                     const ScaleOutInput& input, FreeCapacity capacity) {
    return ScaleOutPlanner{settings, input, capacity}.run();
}

}  // namespace hatchwind::core
