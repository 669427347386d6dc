/// Requests the status of workers that have not yet answered this controller, and of a few workers if none
/// has contacted it for a while.
///
/// The only writer of `LocalHealth`.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "cluster/local_health.hpp"
#include "config/settings.hpp"
#include "io/http_client.hpp"
#include "io/loop.hpp"
#include "io/task.hpp"
#include "store/change_signals.hpp"
#include "store/replicated_state.hpp"
#include "workers/reachability_probes.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

/// The modules that ReachabilityMonitor reads and changes.
struct ReachabilityContext {
    io::Loop& loop;
    io::Scope& scope;
    const Settings& settings;
    const ReplicatedState& replicated;
    WorkerStatus& workers;
    ReachabilityProbes& probes;
    LocalHealth& health;
    ChangeSignals& signals;
    io::HttpClient& worker_http;
};

/// Runs two coroutines, which last as long as the controller.
class ReachabilityMonitor {
  public:
    explicit ReachabilityMonitor(const ReachabilityContext& context) : context_(context) {}

    /// Probes machines whose heartbeats don't prove that they receive requests: new ones, unresponsive ones
    /// that send heartbeats again, and those that send heartbeats but did not answer a command. Without
    /// probes, a machine that only sends would be given tasks indefinitely.
    io::Task<void> probe_unconfirmed_workers();
    /// Checks that this controller reaches workers. A controller that reaches its peers but no worker can't
    /// schedule: it reports itself as unhealthy, and its shards move to other controllers.
    io::Task<void> monitor_worker_connectivity();

  private:
    /// Returns the number of further probes that may be sent now.
    std::size_t probes_allowed() const;
    io::Task<void> probe(std::string machine);
    io::Task<io::HttpResult> request_status(io::Address worker, io::Micros timeout);
    /// Returns the addresses of workers whose last heartbeat, received by any controller, is at most
    /// `max_age` old.
    std::vector<io::Address> workers_with_recent_heartbeat(io::Micros max_age) const;
    /// Requests the status of a few of the workers, one by one, and returns true as soon as one answers.
    /// `addresses` must not be empty.
    io::Task<bool> reaches_any_worker(std::vector<io::Address> addresses);

    const ReachabilityContext context_;
    std::size_t probes_in_flight_ = 0;
    std::size_t next_worker_index_ = 0;  // round-robin over the workers in reaches_any_worker()
};

}  // namespace hatchwind::controller
