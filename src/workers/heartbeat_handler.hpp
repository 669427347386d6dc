/// Answers workers' heartbeats: renews the lease, or redirects the worker to another controller.
///
/// Owns only the state of the load balancing; leases and statuses are written through their modules.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/leadership.hpp"
#include "cluster/peer_directory.hpp"
#include "io/http_message.hpp"
#include "store/replicated_state.hpp"
#include "workers/worker_leases.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

/// Spreads the workers over the controllers. They stay where they are answered, so after a restart or a
/// partition one controller would bear the heartbeats of the whole fleet for good: a few a second are
/// redirected.
class HeartbeatBalancer {
  public:
    HeartbeatBalancer(const ReplicatedState& replicated, const Leadership& leadership,
                      const PeerDirectory& peers, WorkerLeases& leases)
        : replicated_(replicated), leadership_(leadership), peers_(peers), leases_(leases) {}

    /// Members that can serve workers, this controller apart.
    std::vector<std::string> healthy_members() const;
    /// One of them, in turn: when a controller fails, the first of the list would otherwise bear all of its
    /// workers. Nothing when there is none.
    std::optional<std::string> next_healthy_member();
    /// The member that a worker should be redirected to, when this controller bears far more workers than its
    /// even share; nothing when the worker should stay. Each call that names one counts as a redirect.
    std::optional<std::string> less_loaded_member();

  private:
    /// Reads the loads anew, at most once in a while: redirects in between are counted in.
    void refresh_loads(core::Micros monotonic_now);

    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    const PeerDirectory& peers_;
    WorkerLeases& leases_;
    std::size_t next_turn_ = 0;
    core::Micros loads_read_at_{0};                  // monotonic
    core::Micros next_redirect_at_{0};               // monotonic
    std::size_t own_load_ = 0;                       // workers of this controller
    std::map<std::string, std::size_t> peer_loads_;  // workers of the other healthy members
};

/// The `/hello` request of a worker.
class HeartbeatHandler {
  public:
    HeartbeatHandler(const ReplicatedState& replicated, const Leadership& leadership,
                     const PeerDirectory& peers, WorkerLeases& leases, WorkerStatus& workers)
        : replicated_(replicated),
          leadership_(leadership),
          leases_(leases),
          workers_(workers),
          balancer_(replicated, leadership, peers, leases) {}

    /// 200 renews the lease; 421 names another controller; 400 for a body that can't be decoded.
    io::HttpResponse handle(const std::string& body);

  private:
    /// Whichever controller renews a worker's lease stops its cancelled tasks: their shard owner may be out
    /// of reach. Stops need no record, and unlike starts they do no harm when they are repeated or late.
    std::vector<core::WorkerCommand> stops_for_cancelled(const core::WorkerHeartbeat& heartbeat) const;
    /// Without a member the worker chooses another controller itself.
    static io::HttpResponse redirect_to(const std::optional<std::string>& member);

    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    WorkerLeases& leases_;
    WorkerStatus& workers_;
    HeartbeatBalancer balancer_;
    std::uint64_t malformed_heartbeats_ = 0;
};

}  // namespace hatchwind::controller
