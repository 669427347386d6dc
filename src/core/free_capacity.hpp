/// Free capacity of the machines as this controller sees it: a working copy in which placements are tried,
/// kept or reverted.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "core/cluster_view.hpp"
#include "core/job_table.hpp"
#include "core/machine.hpp"

namespace hatchwind::core {

/// One machine in the working copy. Pointers are to the cluster view, job table and catalog that it was built
/// from, which have to outlive it.
struct MachineCapacity {
    std::string id;
    const MachineType* type = nullptr;
    const MachineView* view = nullptr;  ///< null for a machine that is still booting or only planned
    std::string zone;
    bool spot = false;
    bool usable = true;      ///< takes new tasks at all
    bool draining = false;   ///< never a destination
    bool candidate = false;  ///< of the drain planner: a destination of last resort
    Resources free;          ///< negative where reservations exceed what there is
    std::uint64_t incarnation = 0;
    const RecordedAttempts* recorded_attempts = nullptr;  ///< on this machine; null when there are none

    /// Used part of its CPUs.
    double use() const { return type->size.cpus <= 0 ? 0 : 1 - free.cpus / type->size.cpus; }
    /// Price of the machine, in the unit of MachineType::price.
    double price() const { return spot ? type->spot_price : type->price; }
    /// The machine has reported that its cache holds the image.
    bool has_image(const std::string& image) const { return view != nullptr && view->images.contains(image); }
};

/// What keeps machines from taking tasks now; filled in by whoever builds the free capacity.
struct Availability {
    Micros now{};           ///< monotonic clock
    Micros silent_after{};  ///< a machine without a heartbeat for this long takes nothing new
    /// Wall clock: a machine with no heartbeat answered since then takes nothing new either.
    Micros answered_since = Micros::min();
    std::set<std::string> draining;
    std::set<std::string> candidates;            ///< of the drain planner
    std::map<std::string, Micros> banned_until;  ///< monotonic clock: where tasks failed or were refused
};

/// What recorded attempts use on each machine, as it was last built. A placement pass builds the free
/// capacity anew, and most machines are as they were in the pass before.
struct FreeCapacityCache {
    /// What recorded attempts use on one machine, with the versions of what it was computed from.
    struct Use {
        std::string machine;
        std::uint64_t incarnation = 0;
        std::uint64_t content_sequence = 0;
        std::uint64_t version = 0;  ///< MachineTasks::version
        Resources amount;
    };
    std::vector<Use> uses;  ///< in ascending order of machines
    /// Memory for the next pass: large blocks that come and go with every pass are costly for the allocator.
    std::vector<Use> spare_uses;
    std::vector<MachineCapacity> spare_machines;
};

/// The working copy: machines with what is free on them, and a log of changes by which trials are reverted.
class FreeCapacity {
  public:
    /// The position of a machine that is not there.
    static constexpr std::size_t npos = static_cast<std::size_t>(-1);

    /// Machines of the cluster view whose type is in the catalog, in order of their ids. `cache` may be null;
    /// otherwise it is read and brought up to date.
    static FreeCapacity build(const ClusterView& cluster_view, const JobTable& job_table,
                              const Catalog& catalog, const Availability& availability,
                              FreeCapacityCache* cache = nullptr);

    /// To be changed by take and give only, as far as `free` goes: changes made directly cannot be reverted.
    std::vector<MachineCapacity>& machines() { return machines_; }
    /// In order of their ids, but for those that `add` put behind.
    const std::vector<MachineCapacity>& machines() const { return machines_; }
    /// Position of the machine in machines(); npos when it is not there.
    std::size_t at(const std::string& id) const;
    /// Null when it is not there.
    const MachineCapacity* find(const std::string& id) const;
    /// Adds a machine behind all others; returns its position.
    std::size_t add(MachineCapacity machine);

    /// Leaves its memory to the next pass; it is empty afterwards.
    void recycle(FreeCapacityCache& cache);

    /// Subtracts the resources from what is free on the machine at that position of machines().
    void take(std::size_t position, const Resources& resources);
    /// Adds the resources to what is free on the machine at that position of machines().
    void give(std::size_t position, const Resources& resources);
    /// Trials nest: revert(mark()) undoes all that was taken or given since. Added machines stay.
    std::size_t mark() const { return changes_.size(); }
    /// Undoes all changes since that mark().
    void revert(std::size_t mark);

  private:
    struct Change {
        std::size_t position;
        Resources taken;
    };
    void mark_restrictions(const Availability& availability);
    MachineCapacity* find_mutable(const std::string& id);

    std::vector<MachineCapacity> machines_;
    std::size_t sorted_ = 0;  // so many at the front are in order of their ids
    std::vector<Change> changes_;
};

/// Where the tasks of one job are, for its zone rules. Tasks on machines that this controller does not know
/// count in every zone: the rules hold wherever they are.
struct ZoneUse {
    std::map<std::string, std::uint32_t> by_zone;
    std::uint32_t unknown = 0;
    std::uint32_t total = 0;

    /// Empty for a job without zone rules.
    static ZoneUse of(const JobEntry& entry, const FreeCapacity& capacity);
    /// One more task of the job may run in the zone.
    bool allows(const Job& job, const std::string& zone) const;
    /// One more task runs in the zone.
    void add(const std::string& zone) {
        ++by_zone[zone];
        ++total;
    }
    /// One task less runs in the zone.
    void remove(const std::string& zone) {
        --by_zone[zone];
        --total;
    }
};

/// Type, zone and kind of the machine suit the job; free capacity and the job's other tasks are separate
/// questions.
bool may_run_on(const Job& job, const MachineCapacity& machine);
/// The machine takes one more task of the job now, its zone rules apart.
inline bool has_capacity_for(const Job& job, const MachineCapacity& machine) {
    return machine.usable && !machine.draining && job.resources.fits_in(machine.free) &&
           may_run_on(job, machine);
}

/// What decides where a job's tasks may go, the zones of its other tasks apart.
using Shape = std::tuple<double, double, double, bool, std::optional<std::string>,
                         std::optional<std::vector<std::string>>>;
/// The job's shape.
inline Shape shape(const Job& job) {
    return {job.resources.cpus, job.resources.gpus, job.resources.memory_gb, job.spot, job.zone, job.types};
}

}  // namespace hatchwind::core
