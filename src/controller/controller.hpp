/// One controller: the composition root. Its members stand in the order of the layers, so that each is built
/// from those above it; the state objects come first, then the duties that read and change them.
#pragma once

#include <optional>

#include "api/http_router.hpp"
#include "api/user_api.hpp"
#include "cluster/epoch_renewal.hpp"
#include "cluster/leadership.hpp"
#include "cluster/local_health.hpp"
#include "cluster/membership.hpp"
#include "cluster/peer_directory.hpp"
#include "cluster/peer_links.hpp"
#include "cluster/peer_reservations.hpp"
#include "config/settings.hpp"
#include "config/tunables.hpp"
#include "core/free_capacity.hpp"
#include "io/http_client.hpp"
#include "io/http_server.hpp"
#include "io/loop.hpp"
#include "mesh/peer_heartbeats.hpp"
#include "mesh/peer_mesh.hpp"
#include "mesh/peer_message_handler.hpp"
#include "mesh/write_share.hpp"
#include "scaling/scaling_controller.hpp"
#include "scheduling/cancellation_enforcer.hpp"
#include "scheduling/dependency_reconciler.hpp"
#include "scheduling/shard_scheduler.hpp"
#include "store/change_signals.hpp"
#include "store/final_state_reader.hpp"
#include "store/replica.hpp"
#include "store/replicated_state.hpp"
#include "store/store_client.hpp"
#include "workers/command_sender.hpp"
#include "workers/heartbeat_handler.hpp"
#include "workers/reachability_monitor.hpp"
#include "workers/reachability_probes.hpp"
#include "workers/start_fence.hpp"
#include "workers/start_holds.hpp"
#include "workers/worker_leases.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

/// One process has one; the simulator and the tests run several in one loop. It owns all its state and
/// duties, and ends them in reverse order when it is destroyed.
class Controller {
  public:
    Controller(io::Loop& loop, Settings settings, const Tunables& tunables);
    /// Starts every duty. They run until the controller is destroyed.
    void start();

  private:
    const Settings settings_;
    const Tunables tunables_;

    // State; each names its writer.
    ChangeSignals signals_;
    StoreClient store_;
    ReplicatedState replicated_;
    Leadership leadership_;
    PeerDirectory peers_;
    PeerLinks links_;
    PeerReservations reservations_;
    LocalHealth health_;
    EpochRenewal epoch_renewal_;
    std::optional<core::Catalog>
        catalog_;  // written by ScalingController; none before the cloud's first answer
    core::FreeCapacityCache free_capacity_cache_;  // shared by the planners
    io::HttpClient worker_http_;
    io::HttpClient cloud_http_;
    StartHolds holds_;
    WorkerLeases leases_;
    ReachabilityProbes probes_;
    WorkerStatus workers_;

    // Duties.
    io::Scope scope_;
    Replica replica_;
    Membership membership_;
    WriteShare write_share_;
    CommandSender commands_;
    StartFence start_fence_;
    PeerMessageHandler peer_messages_;
    PeerHeartbeats peer_heartbeats_;
    PeerMesh peer_mesh_;
    HeartbeatHandler heartbeats_;
    ReachabilityMonitor reachability_;
    FinalStateReader final_states_;
    UserApi user_api_;
    DependencyReconciler dependency_reconciler_;
    ShardScheduler shard_scheduler_;
    ScalingController scaling_;
    CancellationEnforcer cancellation_enforcer_;
    HttpRouter router_;
    io::HttpServer server_;
};

}  // namespace hatchwind::controller
