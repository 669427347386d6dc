// FreeCapacity on the machines as this node sees it: the replica in which placements are tried, kept or taken
// back.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "core/cluster_view.hpp"
#include "core/job_table.hpp"
#include "core/model.hpp"

namespace hatchwind::core {

struct MachineCapacity {
    std::string id;
    const MachineType* type = nullptr;
    const MachineView* view = nullptr;  // null for a machine that is still booting or only planned
    std::string zone;
    bool spot = false;
    bool usable = true;      // takes new tasks at all
    bool draining = false;   // never a destination
    bool candidate = false;  // a destination of last resort
    Resources free;
    std::uint64_t incarnation = 0;
    const RecordedAttempts* recorded_attempts = nullptr;  // recorded on it; null when there are none

    double use() const { return type->size.cpus <= 0 ? 0 : 1 - free.cpus / type->size.cpus; }
    double price() const { return spot ? type->spot_price : type->price; }
    bool has_image(const std::string& image) const { return view != nullptr && view->images.contains(image); }
};

// What makes a machine unhealthy to take tasks now; filled in by whoever builds the capacity.
struct Availability {
    Micros now{};           // steady
    Micros silent_after{};  // a machine without news for this long takes nothing new
    // Time of day: a machine of which no report was answered since then takes nothing new either.
    Micros heard_since = Micros::min();
    std::set<std::string> draining;
    std::set<std::string> candidates;
    std::map<std::string, Micros> banned_until;  // steady: machines on which tasks failed or were refused
};

// What recorded attempts use on each machine, as it was last built. A pass builds the free capacity anew, and
// most machines are as they were in the one before.
struct FreeCapacityCache {
    struct Use {
        std::string machine;
        std::uint64_t incarnation = 0;
        std::uint64_t content_sequence = 0;
        std::uint64_t version = 0;  // of the job table's record
        Resources amount;
    };
    std::vector<Use> uses;  // in the machines' order
    // Memory for the next one: large blocks that come and go with every pass make the allocator tidy up.
    std::vector<Use> spare_uses;
    std::vector<MachineCapacity> spare_machines;
};

class FreeCapacity {
  public:
    static FreeCapacity build(const ClusterView& p, const JobTable& l, const Catalog& c,
                              const Availability& a, FreeCapacityCache* memory = nullptr);

    std::vector<MachineCapacity>& machines() { return machines_; }
    const std::vector<MachineCapacity>& machines() const { return machines_; }
    static constexpr std::size_t npos = static_cast<std::size_t>(-1);
    std::size_t at(const std::string& id) const;  // npos when it is not there
    const MachineCapacity* find(const std::string& id) const;
    std::size_t add(MachineCapacity m);

    // Leaves its memory to the next one; it is empty afterwards.
    void recycle(FreeCapacityCache& memory);

    void take(std::size_t at, const Resources& resources);
    void give(std::size_t at, const Resources& resources);
    // Trials nest by position: revert(mark()) takes back all that came after.
    std::size_t mark() const { return trail_.size(); }
    void revert(std::size_t to);

  private:
    std::vector<MachineCapacity> machines_;
    std::size_t sorted_ = 0;  // so many at the front are in order of their names
    std::vector<std::pair<std::size_t, Resources>> trail_;
};

// Where the tasks of one job are, for its zone rules. Tasks on machines that this node does not know
// count in every zone: the rules hold wherever they are.
struct ZoneUse {
    std::map<std::string, std::uint32_t> by_zone;
    std::uint32_t unknown = 0;
    std::uint32_t total = 0;

    static ZoneUse of(const JobEntry& e, const FreeCapacity& capacity);
    bool allows(const Job& j, const std::string& zone) const;
    void add(const std::string& zone) {
        ++by_zone[zone];
        ++total;
    }
    void remove(const std::string& zone) {
        --by_zone[zone];
        --total;
    }
};

// Type, zone and kind of machine; free capacity and the job's other tasks are separate questions.
bool may_run_on(const Job& j, const MachineCapacity& m);
// Takes one more task of it now, its zone rules apart.
inline bool has_capacity_for(const Job& j, const MachineCapacity& m) {
    return m.usable && !m.draining && j.resources.fits_in(m.free) && may_run_on(j, m);
}

// What decides where a job's tasks may go, the zones of its other tasks apart.
using Shape = std::tuple<double, double, double, bool, std::optional<std::string>,
                         std::optional<std::vector<std::string>>>;
inline Shape shape(const Job& j) {
    return {j.resources.cpus, j.resources.gpus, j.resources.memory_gb, j.spot, j.zone, j.types};
}

}  // namespace hatchwind::core
