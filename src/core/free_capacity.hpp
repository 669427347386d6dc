/// Free capacity of the machines as this controller knows it: a working copy in which placements are tried,
/// then kept or reverted.
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

/// One machine in the working copy. Pointers refer to the cluster view, job table and catalog from which the
/// copy was built; these must outlive it.
struct MachineCapacity {
    std::string id;
    const MachineType* type = nullptr;
    const MachineView* view = nullptr;  ///< null for a machine that is booting or only planned
    std::string zone;
    bool spot = false;
    bool usable = true;            ///< accepts new tasks
    bool draining = false;         ///< never gets new tasks
    bool drain_candidate = false;  ///< chosen by the drain planner: gets new tasks only as a last resort
    Resources free;                ///< negative if reservations exceed the machine's capacity
    std::uint64_t incarnation = 0;
    /// Recorded attempts on this machine; null if there are none.
    const RecordedAttempts* recorded_attempts = nullptr;

    /// Returns the fraction of the machine's CPUs that is in use.
    double cpu_utilization() const { return type->size.cpus <= 0 ? 0 : 1 - free.cpus / type->size.cpus; }
    /// Returns the price of the machine, in the unit of MachineType::price.
    double price() const { return spot ? type->spot_price : type->price; }
    /// Returns true if the machine has reported that its cache holds the image.
    bool has_image(const std::string& image) const { return view != nullptr && view->images.contains(image); }
};

/// Conditions that keep machines from accepting new tasks; filled in by the caller of FreeCapacity::build.
struct Availability {
    Micros now{};                 ///< monotonic clock
    Micros unresponsive_after{};  ///< a machine without a heartbeat for this long gets no new tasks
    /// Wall clock: a machine with no answered heartbeat since this time gets no new tasks.
    Micros answered_since = Micros::min();
    std::set<std::string> draining;
    std::set<std::string> drain_candidates;  ///< chosen by the drain planner
    /// Machines on which tasks failed or were refused get no new tasks before this time (monotonic clock).
    std::map<std::string, Micros> banned_until;
};

/// Resources that recorded attempts use on each machine, as computed by the last build. Each placement pass
/// builds the free capacity again, and most machines have not changed since the previous pass.
struct FreeCapacityCache {
    /// Resources that recorded attempts use on one machine, with the versions of the data from which they
    /// were computed.
    struct Use {
        std::string machine;
        std::uint64_t incarnation = 0;
        std::uint64_t content_sequence = 0;
        std::uint64_t version = 0;  ///< MachineTasks::version
        Resources amount;
    };
    std::vector<Use> uses;  ///< in ascending order of machine ids
    /// Buffers that the next pass reuses: allocating and freeing large blocks in every pass is costly.
    std::vector<Use> uses_buffer;
    std::vector<MachineCapacity> machines_buffer;
};

/// The working copy: the machines with their free resources, and a log of changes by which trials are
/// reverted.
class FreeCapacity {
  public:
    /// Position returned for a machine that is not present.
    static constexpr std::size_t npos = static_cast<std::size_t>(-1);

    /// Builds the working copy from the machines of the cluster view whose type is in the catalog, in order
    /// of their ids. `cache` may be null; otherwise it is read and updated.
    static FreeCapacity build(const ClusterView& cluster_view, const JobTable& job_table,
                              const Catalog& catalog, const Availability& availability,
                              FreeCapacityCache* cache = nullptr);

    /// `free` must be changed with take() and give() only, since direct changes cannot be reverted.
    std::vector<MachineCapacity>& machines() { return machines_; }
    /// In order of machine ids, except for machines that add() appended.
    const std::vector<MachineCapacity>& machines() const { return machines_; }
    /// Returns the position of the machine in machines(), or npos if it is not present.
    std::size_t position_of(const std::string& id) const;
    /// Returns null if the machine is not present.
    const MachineCapacity* find(const std::string& id) const;
    /// Appends a machine and returns its position.
    std::size_t add(MachineCapacity machine);

    /// Moves the buffers of this object to the cache for the next pass. The object is empty afterwards.
    void recycle(FreeCapacityCache& cache);

    /// Subtracts the resources from the free resources of the machine at `position`.
    void take(std::size_t position, const Resources& resources);
    /// Adds the resources to the free resources of the machine at `position`.
    void give(std::size_t position, const Resources& resources);
    /// Returns a mark for revert(). Trials nest. Machines added since the mark are not removed by revert().
    std::size_t mark() const { return changes_.size(); }
    /// Undoes all take() and give() calls since that mark().
    void revert(std::size_t mark);

  private:
    struct Change {
        std::size_t position;
        Resources taken;
    };
    void mark_restrictions(const Availability& availability);
    MachineCapacity* find_mutable(const std::string& id);

    std::vector<MachineCapacity> machines_;
    std::size_t sorted_count_ = 0;  // number of machines at the front that are in order of their ids
    std::vector<Change> changes_;
};

/// Number of tasks of one job in each zone, for its zone rules. Tasks on machines that this controller does
/// not know count in every zone, so that the rules hold wherever they run.
struct ZoneUse {
    std::map<std::string, std::uint32_t> by_zone;
    std::uint32_t unknown = 0;
    std::uint32_t total = 0;

    /// Counts the job's open tasks. Returns an empty object for a job without zone rules.
    static ZoneUse of(const JobEntry& entry, const FreeCapacity& capacity);
    /// Returns true if one more task of the job may run in the zone.
    bool allows(const Job& job, const std::string& zone) const;
    /// Counts one more task in the zone.
    void add(const std::string& zone) {
        ++by_zone[zone];
        ++total;
    }
    /// Counts one task less in the zone.
    void remove(const std::string& zone) {
        --by_zone[zone];
        --total;
    }
};

/// Returns true if type, zone and kind (spot or on-demand) of the machine suit the job. Does not check free
/// capacity or the zones of the job's other tasks.
bool may_run_on(const Job& job, const MachineCapacity& machine);
/// Returns true if the machine accepts one more task of the job now. Does not check the job's zone rules.
inline bool has_capacity_for(const Job& job, const MachineCapacity& machine) {
    return machine.usable && !machine.draining && job.resources.fits_in(machine.free) &&
           may_run_on(job, machine);
}

/// The properties of a job that decide which machines suit its tasks, except for the zones of its other
/// tasks.
using Shape = std::tuple<double, double, double, bool, std::optional<std::string>,
                         std::optional<std::vector<std::string>>>;
/// Returns the job's shape.
inline Shape shape(const Job& job) {
    return {job.resources.cpus, job.resources.gpus, job.resources.memory_gb, job.spot, job.zone, job.types};
}

}  // namespace hatchwind::core
