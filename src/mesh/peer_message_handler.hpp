/// What each message of a peer changes.
#pragma once

#include <string>

#include "cluster/leadership.hpp"
#include "cluster/membership.hpp"
#include "cluster/peer_directory.hpp"
#include "cluster/peer_links.hpp"
#include "cluster/peer_reservations.hpp"
#include "mesh/write_share.hpp"
#include "store/replica.hpp"
#include "store/replicated_state.hpp"
#include "wire/peer_protocol.hpp"
#include "workers/reachability_probes.hpp"
#include "workers/start_fence.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

/// What the handler reads, and what it changes.
struct PeerMessageContext {
    const ReplicatedState& replicated;
    const Leadership& leadership;
    Replica& replica;
    PeerDirectory& peers;
    PeerLinks& links;
    PeerReservations& reservations;
    Membership& membership;
    WorkerStatus& workers;
    ReachabilityProbes& probes;
    WriteShare& write_share;
    StartFence& start_fence;
};

/// Applies each message to the state that it concerns. Only messages that come after a valid handshake get
/// here.
class PeerMessageHandler {
  public:
    explicit PeerMessageHandler(const PeerMessageContext& context) : context_(context) {}

    /// `from`: label of the peer whose handshake opened the connection.
    void handle(const std::string& from, wire::PeerMessage& message);

  private:
    void handle_heartbeat(const std::string& from, wire::PeerHeartbeat& heartbeat);
    void handle_lease_extension_request(const std::string& from, const wire::LeaseExtensionRequest& request);
    void handle_reservation(const wire::CapacityReservationNotice& notice);

    const PeerMessageContext context_;
};

}  // namespace hatchwind::controller
