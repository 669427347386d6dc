/// The cluster leader's work with the cloud: the loops that read its catalog and its list of instances, scale
/// out, drain and scale in. What each loop does in a round is a module of its own.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cluster/leadership.hpp"
#include "cluster/local_health.hpp"
#include "config/settings.hpp"
#include "config/tunables.hpp"
#include "io/http_client.hpp"
#include "scaling/cloud_client.hpp"
#include "scaling/cordon_record.hpp"
#include "scaling/eviction_controller.hpp"
#include "scaling/instance_inventory.hpp"
#include "scaling/leader_term.hpp"
#include "scaling/scale_in.hpp"
#include "scaling/scale_out.hpp"
#include "store/change_signals.hpp"
#include "store/replica.hpp"
#include "store/replicated_state.hpp"
#include "workers/reachability_probes.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

/// What scaling reads, and what it changes.
struct ScalingContext {
    io::Loop& loop;
    const Settings& settings;
    const Tunables& tunables;
    const ReplicatedState& replicated;
    const Leadership& leadership;
    const ReachabilityProbes& probes;
    const LocalHealth& health;
    StoreClient& store;     // commits cordons
    Replica& replica;       // is brought up to date by these commits
    WorkerStatus& workers;  // drain candidates, and machines that were released
    std::optional<core::Catalog>& catalog;
    core::FreeCapacityCache& free_capacity_cache;
    ChangeSignals& signals;
    io::HttpClient& cloud_http;
};

/// Owns the inventory, the cordons' record and this controller's term as a leader; the only writer of the
/// catalog. Times are monotonic.
class ScalingController {
  public:
    explicit ScalingController(const ScalingContext& context);

    /// Starts the loops in that scope. All but the catalog's rest while another controller leads.
    void start(io::Scope& scope);
    /// Releases machines to the cloud; true once it has confirmed that they are gone. Any controller may call
    /// it. False: no confirmation came, and they may be gone all the same.
    io::Task<bool> release(std::vector<std::string> machines);

  private:
    io::Task<void> run_catalog_refresh();
    io::Task<void> run_inventory_refresh();
    io::Task<void> run_scale_out();
    io::Task<void> run_drains();
    io::Task<void> run_scale_in();

    io::Task<void> refresh_catalog();
    /// Returns how many instances the cloud listed.
    io::Task<std::size_t> refresh_inventory();
    void start_term();
    void record_epoch();
    std::vector<std::string> vanished_machines() const;
    io::Task<void> release_in_batches(std::vector<std::string> machines);
    io::Task<void> scale_in_once();

    const ScalingContext context_;
    CloudClient cloud_;
    InstanceInventory inventory_;
    ScaleOut scale_out_;
    CordonRecord cordons_;
    EvictionController evictions_;
    ScaleIn scale_in_;
    LeaderTerm term_;
};

}  // namespace hatchwind::controller
