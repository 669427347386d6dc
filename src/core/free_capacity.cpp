#include "core/free_capacity.hpp"

#include <algorithm>
#include <utility>

namespace hatchwind::core {

namespace {

// Sums the resources of the recorded attempts. An attempt counts unless the worker has reported its end.
Resources used_on(const MachineView& view, const RecordedAttempts& recorded_attempts) {
    Resources used;
    for (const auto& [ref, recorded] : recorded_attempts) {
        const auto seen = view_attempt(view, ref.job, ref.task, recorded.number, recorded.incarnation);
        const bool ended = seen.status == AttemptStatus::exited || seen.status == AttemptStatus::lost;
        if (!ended) used += recorded.entry->job.resources;
    }
    return used;
}

bool is_usable(const MachineView& view, const Availability& availability) {
    return view.confirmed && !view.notice_until &&
           availability.now - view.last_heartbeat_at < availability.unresponsive_after &&
           view.last_answered_at >= availability.answered_since;
}

MachineCapacity empty_machine(const std::string& id, const MachineView& view, const MachineType& type,
                              const Availability& availability) {
    MachineCapacity machine;
    machine.id = id;
    machine.type = &type;
    machine.view = &view;
    machine.zone = view.last_heartbeat.zone;
    machine.spot = view.last_heartbeat.spot;
    machine.incarnation = view.last_heartbeat.incarnation;
    machine.free = type.size;
    machine.usable = is_usable(view, availability);
    return machine;
}

// Resources that recorded attempts use on each machine, taken from the cache for machines that have not
// changed. Machines must be requested in ascending order of ids, so that the cache is traversed once.
class UsedCapacity {
  public:
    // `cache` may be null; then all sums are computed.
    UsedCapacity(FreeCapacityCache* cache, std::size_t machine_count) : cache_(cache) {
        if (cache_ == nullptr) return;
        uses_ = std::move(cache_->uses_buffer);
        uses_.clear();
        uses_.reserve(machine_count);
        next_known_ = cache_->uses.cbegin();
    }

    Resources of(const std::string& id, const MachineView& view, const MachineTasks& recorded) {
        if (cache_ == nullptr) return used_on(view, recorded.tasks);
        const FreeCapacityCache::Use* known = find_known(id, view, recorded.version);
        const Resources used = known != nullptr ? known->amount : used_on(view, recorded.tasks);
        uses_.push_back({id, view.last_heartbeat.incarnation, view.content_sequence, recorded.version, used});
        return used;
    }

    // Stores the computed sums for the next pass.
    void store() {
        if (cache_ == nullptr) return;
        cache_->uses_buffer = std::move(cache_->uses);
        cache_->uses = std::move(uses_);
    }

  private:
    const FreeCapacityCache::Use* find_known(const std::string& id, const MachineView& view,
                                             std::uint64_t version) {
        const auto end = cache_->uses.cend();
        while (next_known_ != end && next_known_->machine < id) ++next_known_;
        if (next_known_ == end || next_known_->machine != id) return nullptr;
        const bool unchanged = next_known_->incarnation == view.last_heartbeat.incarnation &&
                               next_known_->content_sequence == view.content_sequence &&
                               next_known_->version == version;
        return unchanged ? &*next_known_ : nullptr;
    }

    FreeCapacityCache* cache_;
    std::vector<FreeCapacityCache::Use> uses_;
    std::vector<FreeCapacityCache::Use>::const_iterator next_known_;
};

}  // namespace

FreeCapacity FreeCapacity::build(const ClusterView& cluster_view, const JobTable& job_table,
                                 const Catalog& catalog, const Availability& availability,
                                 FreeCapacityCache* cache) {
    FreeCapacity capacity;
    if (cache != nullptr) capacity.machines_ = std::move(cache->machines_buffer);
    capacity.machines_.clear();
    capacity.machines_.reserve(cluster_view.machines().size());
    UsedCapacity used_capacity{cache, cluster_view.machines().size()};
    // Both containers are ordered by machine id, so each is traversed once.
    auto recorded = job_table.by_machine().begin();
    const auto recorded_end = job_table.by_machine().end();
    for (const auto& [id, view] : cluster_view.machines()) {
        const auto type = catalog.find(view.last_heartbeat.type);
        if (type == catalog.end()) continue;
        MachineCapacity machine = empty_machine(id, view, type->second, availability);
        while (recorded != recorded_end && recorded->first < id) ++recorded;
        if (recorded != recorded_end && recorded->first == id) {
            machine.recorded_attempts = &recorded->second.tasks;
            machine.free -= used_capacity.of(id, view, recorded->second);
        }
        capacity.machines_.push_back(std::move(machine));
    }
    used_capacity.store();
    capacity.sorted_count_ = capacity.machines_.size();
    capacity.mark_restrictions(availability);
    return capacity;
}

void FreeCapacity::mark_restrictions(const Availability& availability) {
    // These sets are small compared with the number of machines, so each id is looked up.
    for (const auto& id : availability.draining) {
        if (MachineCapacity* machine = find_mutable(id)) {
            machine->draining = true;
            machine->usable = false;
        }
    }
    for (const auto& id : availability.drain_candidates) {
        if (MachineCapacity* machine = find_mutable(id)) machine->drain_candidate = true;
    }
    for (const auto& [id, until] : availability.banned_until) {
        if (until <= availability.now) continue;
        if (MachineCapacity* machine = find_mutable(id)) machine->usable = false;
    }
}

void FreeCapacity::recycle(FreeCapacityCache& cache) {
    cache.machines_buffer = std::move(machines_);
    machines_.clear();
    sorted_count_ = 0;
    changes_.clear();
}

std::size_t FreeCapacity::position_of(const std::string& id) const {
    const auto sorted_end = machines_.begin() + static_cast<std::ptrdiff_t>(sorted_count_);
    const auto found = std::lower_bound(
        machines_.begin(), sorted_end, id,
        [](const MachineCapacity& machine, const std::string& wanted) { return machine.id < wanted; });
    if (found != sorted_end && found->id == id) return static_cast<std::size_t>(found - machines_.begin());
    for (std::size_t position = sorted_count_; position < machines_.size(); ++position) {
        if (machines_[position].id == id) return position;
    }
    return npos;
}

const MachineCapacity* FreeCapacity::find(const std::string& id) const {
    const auto position = position_of(id);
    return position == npos ? nullptr : &machines_[position];
}

MachineCapacity* FreeCapacity::find_mutable(const std::string& id) {
    const auto position = position_of(id);
    return position == npos ? nullptr : &machines_[position];
}

std::size_t FreeCapacity::add(MachineCapacity machine) {
    machines_.push_back(std::move(machine));
    return machines_.size() - 1;
}

void FreeCapacity::take(std::size_t position, const Resources& resources) {
    machines_[position].free -= resources;
    changes_.push_back({position, resources});
}

void FreeCapacity::give(std::size_t position, const Resources& resources) {
    take(position, resources * -1.0);
}

void FreeCapacity::revert(std::size_t mark) {
    while (changes_.size() > mark) {
        machines_[changes_.back().position].free += changes_.back().taken;
        changes_.pop_back();
    }
}

ZoneUse ZoneUse::of(const JobEntry& entry, const FreeCapacity& capacity) {
    ZoneUse use;
    // The counts are needed for zone rules only.
    if (!entry.job.spread && !entry.job.one_zone) return use;
    for (const auto& [index, chunk] : entry.chunks) {
        for (const auto& [task, attempt] : chunk.open) {
            const MachineCapacity* machine = capacity.find(attempt.machine);
            ++use.total;
            if (machine == nullptr) {
                ++use.unknown;
            } else {
                ++use.by_zone[machine->zone];
            }
        }
    }
    return use;
}

bool ZoneUse::allows(const Job& job, const std::string& zone) const {
    if (!job.spread && !job.one_zone) return true;
    const auto known = by_zone.find(zone);
    const std::uint32_t here = known == by_zone.end() ? 0 : known->second;
    if (job.one_zone && total != here) return false;
    return !job.spread || here + unknown < job.max_tasks_per_zone();
}

bool may_run_on(const Job& job, const MachineCapacity& machine) {
    if (machine.spot && !job.spot) return false;
    if (job.zone && *job.zone != machine.zone) return false;
    return job.allows_type(machine.type->name);
}

}  // namespace hatchwind::core
