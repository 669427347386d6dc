/// Sends this controller's heartbeats to its peers.
#pragma once

#include <vector>

#include "cluster/leadership.hpp"
#include "cluster/local_health.hpp"
#include "cluster/peer_directory.hpp"
#include "cluster/peer_links.hpp"
#include "io/loop.hpp"
#include "io/task.hpp"
#include "mesh/write_share.hpp"
#include "store/replicated_state.hpp"
#include "store/store_client.hpp"
#include "workers/reachability_probes.hpp"
#include "workers/worker_leases.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

/// What a heartbeat tells, and what sending one changes.
struct PeerHeartbeatContext {
    io::Loop& loop;
    const ReplicatedState& replicated;
    const Leadership& leadership;
    const PeerDirectory& peers;
    const LocalHealth& health;
    const WorkerStatus& workers;
    const ReachabilityProbes& probes;
    const StoreClient& store;
    WorkerLeases& leases;
    PeerLinks& links;
    WriteShare& write_share;
};

/// The duty that reports to every connected peer, about twice a second.
class PeerHeartbeats {
  public:
    explicit PeerHeartbeats(const PeerHeartbeatContext& context) : context_(context) {}

    /// Runs as long as the controller.
    io::Task<void> run();

  private:
    /// What a heartbeat says to all peers alike.
    wire::PeerHeartbeat common_heartbeat() const;
    std::vector<std::string> unanswering_machines() const;
    /// Adds what this peer has not been told yet, and sends it.
    void send(PeerLink& link, wire::PeerHeartbeat& heartbeat,
              const std::vector<wire::CancellationNotice>& cancellations);

    const PeerHeartbeatContext context_;
};

}  // namespace hatchwind::controller
