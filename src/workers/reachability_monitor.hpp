/// Requests the status of workers: of those that have yet to show that they hear this controller, and of a
/// few when no worker has been in contact with it.
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

/// What the monitor reads, and what it changes.
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

/// Two duties, each a coroutine that runs as long as the controller.
class ReachabilityMonitor {
  public:
    explicit ReachabilityMonitor(const ReachabilityContext& context) : context_(context) {}

    /// Probes machines whose heartbeats alone prove nothing: new ones, silent ones that are back, and those
    /// that send heartbeats but did not answer a command. One that only sends would otherwise be given tasks
    /// for ever.
    io::Task<void> probe_unconfirmed_workers();
    /// A controller that is partitioned from the workers alone can't schedule: it says so to its peers, and
    /// its shards move.
    io::Task<void> monitor_worker_connectivity();

  private:
    /// How many more probes may be sent now.
    std::size_t probes_allowed() const;
    io::Task<void> probe(std::string machine);
    io::Task<io::HttpResult> request_status(io::Address worker, io::Micros timeout);
    /// Workers of whom a heartbeat came within `max_age`, by way of any controller.
    std::vector<io::Address> recently_heard(io::Micros max_age) const;
    /// True when one of a few of these workers, which must not be empty, has answered.
    io::Task<bool> reaches_any(std::vector<io::Address> addresses);

    const ReachabilityContext context_;
    std::size_t probes_in_flight_ = 0;
    std::size_t next_turn_ = 0;  // among the workers that connectivity is tried with
};

}  // namespace hatchwind::controller
