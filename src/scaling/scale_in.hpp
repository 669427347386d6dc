/// Scaling in: which machines to release to the cloud (those that are drained, those that never booted, and
/// unresponsive ones), and which cordons have become needless.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "cluster/leadership.hpp"
#include "cluster/local_health.hpp"
#include "config/settings.hpp"
#include "config/tunables.hpp"
#include "scaling/cordon_record.hpp"
#include "scaling/instance_inventory.hpp"
#include "scaling/leader_term.hpp"
#include "store/replicated_state.hpp"
#include "store/store_client.hpp"
#include "workers/reachability_probes.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

/// What scaling in reads, and what it changes.
struct ScaleInContext {
    const Settings& settings;
    const Tunables& tunables;
    const StoreClient& store;
    const ReplicatedState& replicated;
    const Leadership& leadership;
    const WorkerStatus& workers;
    const ReachabilityProbes& probes;
    const LocalHealth& health;
    const InstanceInventory& inventory;
    CordonRecord& cordons;
};

/// Decides only; ScalingController releases what is due. Times are monotonic.
class ScaleIn {
  public:
    explicit ScaleIn(const ScaleInContext& context) : context_(context) {}

    /// Returns the machines to release now, in ascending order, at most as many as one request to the cloud
    /// may list. Requires the catalog.
    std::vector<std::string> machines_to_release(io::Micros monotonic_now, const LeaderTerm& term);
    /// Removes the cordons of released machines, if there are enough of them to justify a write.
    io::Task<void> remove_stale_cordons(io::Micros monotonic_now, LeaderTerm term);
    /// Discards the times since when machines are empty, because this controller does not lead any more.
    void pause() { empty_since_.clear(); }

  private:
    void add_drained(std::vector<std::string>& due, io::Micros monotonic_now);
    void add_unresponsive(std::vector<std::string>& due, io::Micros monotonic_now, const LeaderTerm& term);
    io::Micros unresponsive_for(const std::string& machine, const core::MachineView& view,
                                io::Micros monotonic_now) const;
    std::set<std::string> cordons_still_needed(io::Micros monotonic_now, const LeaderTerm& term) const;

    const ScaleInContext context_;
    std::map<std::string, io::Micros> empty_since_;     // cordoned machines without recorded attempts
    std::vector<io::Micros> unresponsive_released_at_;  // one for each machine, within the last minute
    io::Micros cordons_removed_at_{0};                  // the last write that removed any
};

}  // namespace hatchwind::controller
