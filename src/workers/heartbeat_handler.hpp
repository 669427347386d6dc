/// Answers workers' heartbeats: renews the lease, or names another controller that the worker should go to.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cluster/leadership.hpp"
#include "cluster/peer_directory.hpp"
#include "io/http_message.hpp"
#include "store/replicated_state.hpp"
#include "workers/worker_leases.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

/// Spreads the workers over the controllers. They stay where they are answered, so after a restart or a cut
/// one controller would bear the fleet's heartbeats for good: a few a second move, and the rest never notice.
class HeartbeatBalancer {
  public:
    HeartbeatBalancer(const ReplicatedState& replicated, const Leadership& leadership,
                      const PeerDirectory& peers, WorkerLeases& leases)
        : replicated_(replicated), leadership_(leadership), peers_(peers), leases_(leases) {}

    /// Members that can serve workers, this controller apart.
    std::vector<std::string> healthy_members() const;
    /// One of them, in turn: when a controller falls silent, whoever comes first in the list would bear all
    /// its workers. Empty when there is none.
    std::string next_healthy_member();
    /// Where a worker should report instead, when this controller bears far more of them than its share;
    /// empty when it should stay.
    std::string less_loaded_member();

  private:
    void refresh_loads(core::Micros now);

    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    const PeerDirectory& peers_;
    WorkerLeases& leases_;
    std::size_t next_turn_ = 0;
    core::Micros loads_read_at_{0};             // monotonic
    core::Micros next_redirect_{0};             // monotonic: when the next worker may be sent away
    std::size_t own_load_ = 0;                  // workers of this controller
    std::map<std::string, std::size_t> loads_;  // of the other members
};

class HeartbeatHandler {
  public:
    HeartbeatHandler(const ReplicatedState& replicated, const Leadership& leadership,
                     const PeerDirectory& peers, WorkerLeases& leases, WorkerStatus& workers)
        : replicated_(replicated),
          leadership_(leadership),
          leases_(leases),
          workers_(workers),
          balancer_(replicated, leadership, peers, leases) {}

    /// 200 renews the lease; 421 names another controller; 400 for a body that can't be read.
    io::HttpResponse handle(const std::string& body);

  private:
    /// Whoever renews a worker's lease stops its cancelled tasks: their shard owner may be out of reach.
    /// Stops need no record, and unlike starts they do no harm when they are repeated or late.
    std::vector<core::WorkerCommand> stops_for_cancelled(const core::WorkerHeartbeat& heartbeat) const;
    static io::HttpResponse redirect_to(const std::string& label);

    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    WorkerLeases& leases_;
    WorkerStatus& workers_;
    HeartbeatBalancer balancer_;
    std::uint64_t malformed_ = 0;
};

}  // namespace hatchwind::controller
