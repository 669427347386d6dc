// Giving machines back to the cloud: those that are drained, those that never came up, and those that are
// silent.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cluster/leadership.hpp"
#include "cluster/local_health.hpp"
#include "config/settings.hpp"
#include "scaling/cordon_record.hpp"
#include "scaling/instance_inventory.hpp"
#include "store/replicated_state.hpp"
#include "store/store_client.hpp"
#include "workers/reachability_probes.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

class ScaleIn {
  public:
    ScaleIn(const Settings& settings, const Tunables& tunables, const StoreClient& store,
            const ReplicatedState& replicated, const Leadership& leadership, const WorkerStatus& workers,
            const ReachabilityProbes& probes, const LocalHealth& health, const InstanceInventory& inventory,
            CordonRecord& cordons)
        : settings_(settings),
          tunables_(tunables),
          store_(store),
          replicated_(replicated),
          leadership_(leadership),
          workers_(workers),
          probes_(probes),
          health_(health),
          inventory_(inventory),
          cordons_(cordons) {}

    // What is to be given back now; `term_began`: since when this node leads.
    std::vector<std::string> due(io::Micros now, io::Micros term_began);
    // Takes away the marks of machines that are gone. `list_fresh`: the cloud's list was read in this term.
    io::Task<void> clear_marks(io::Micros now, io::Micros term_began, bool list_fresh);
    void pause() { emptied_.clear(); }

  private:
    void add_drained(std::vector<std::string>& due, io::Micros now);
    void add_silent(std::vector<std::string>& due, io::Micros now, io::Micros term_began);
    io::Micros silent_for(const std::string& machine, const core::MachineView& view, io::Micros now) const;

    const Settings& settings_;
    const Tunables& tunables_;
    const StoreClient& store_;
    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    const WorkerStatus& workers_;
    const ReachabilityProbes& probes_;
    const LocalHealth& health_;
    const InstanceInventory& inventory_;
    CordonRecord& cordons_;
    std::map<std::string, io::Micros> emptied_;  // draining machines without tasks: since when; steady
    std::vector<io::Micros> silent_released_;    // when, within the last minute; steady
    io::Micros marks_cleared_{0};                // steady: when that was last done
};

}  // namespace hatchwind::controller
