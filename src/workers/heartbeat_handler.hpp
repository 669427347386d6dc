/// Answers workers' heartbeats: renews the lease, or redirects the worker to another controller.
///
/// Owns only the state of load balancing; leases and worker statuses are updated through their own modules.
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

/// Balances the workers over the controllers by redirecting a few of them per second. A worker stays with the
/// controller that answers it, so without redirects one controller would serve the whole fleet indefinitely
/// after a restart or a partition.
class HeartbeatBalancer {
  public:
    HeartbeatBalancer(const ReplicatedState& replicated, const Leadership& leadership,
                      const PeerDirectory& peers, WorkerLeases& leases)
        : replicated_(replicated), leadership_(leadership), peers_(peers), leases_(leases) {}

    /// Returns the labels of the other members that can serve workers.
    std::vector<std::string> healthy_members() const;
    /// Returns the healthy members round-robin, so that the first one doesn't receive all workers of a
    /// controller that fails. Returns nothing if there is no healthy member.
    std::optional<std::string> next_healthy_member();
    /// Returns the least loaded member as the target of a redirect if this controller serves far more workers
    /// than its even share, and nothing if the worker should stay. Each call that returns a member counts as
    /// a redirect.
    std::optional<std::string> less_loaded_member();

  private:
    /// Reads the loads again if they are older than a bound. Until then less_loaded_member() adjusts them
    /// with each redirect.
    void refresh_loads(core::Micros monotonic_now);

    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    const PeerDirectory& peers_;
    WorkerLeases& leases_;
    std::size_t next_member_index_ = 0;
    core::Micros loads_read_at_{0};                  // monotonic
    core::Micros next_redirect_at_{0};               // monotonic
    std::size_t own_load_ = 0;                       // workers served by this controller
    std::map<std::string, std::size_t> peer_loads_;  // workers served by other healthy members
};

/// Handles the `/hello` request of a worker.
class HeartbeatHandler {
  public:
    HeartbeatHandler(const ReplicatedState& replicated, const Leadership& leadership,
                     const PeerDirectory& peers, WorkerLeases& leases, WorkerStatus& workers)
        : replicated_(replicated),
          leadership_(leadership),
          leases_(leases),
          workers_(workers),
          balancer_(replicated, leadership, peers, leases) {}

    /// Returns status 200 and renews the lease, 421 with the label of another controller, or 400 if the body
    /// can't be decoded.
    io::HttpResponse handle(const std::string& body);

  private:
    /// Returns stops for the worker's tasks of cancelled jobs. The controller that renews the worker's lease
    /// sends them, because the shard owner may be unreachable. Unlike starts, stops need no record in the
    /// store and do no harm when they are repeated or late.
    std::vector<core::WorkerCommand> stops_for_cancelled(const core::WorkerHeartbeat& heartbeat) const;
    /// Returns status 421. If no member is given, the worker chooses another controller itself.
    static io::HttpResponse redirect_to(const std::optional<std::string>& member);

    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    WorkerLeases& leases_;
    WorkerStatus& workers_;
    HeartbeatBalancer balancer_;
    std::uint64_t malformed_heartbeats_ = 0;
};

}  // namespace hatchwind::controller
