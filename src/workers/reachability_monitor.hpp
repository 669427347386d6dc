/// Asks workers for their status: those that have yet to show that they hear this controller, and a few when
/// it hears nobody.
#pragma once

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

class ReachabilityMonitor {
  public:
    explicit ReachabilityMonitor(const ReachabilityContext& context) : context_(context) {}

    /// Probes machines whose heartbeats alone prove nothing: new ones, silent ones that are back, and those
    /// that report but did not answer a command. One that only sends would otherwise be given tasks for ever.
    /// Runs as long as the controller.
    io::Task<void> probe_unconfirmed_workers();
    /// A controller that is cut from the workers only can't schedule: it says so, and its shards move. Runs
    /// as long as the controller.
    io::Task<void> monitor_worker_connectivity();

  private:
    std::vector<std::string> due_probes(io::Micros now) const;
    io::Task<void> probe(std::string machine);
    /// Machines that other controllers hear.
    std::vector<io::Address> recently_heard(io::Micros within) const;
    io::Task<bool> reaches_any(std::vector<io::Address> addresses);

    const ReachabilityContext context_;
    std::size_t probes_in_flight_ = 0;
    std::size_t next_turn_ = 0;  // of the machines that connectivity is tried with
};

}  // namespace hatchwind::controller
