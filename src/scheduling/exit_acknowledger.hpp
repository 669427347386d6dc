/// Acknowledges the exits of attempts whose end is committed.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "scheduling/open_attempt.hpp"
#include "workers/command_sender.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

/// A worker forgets an attempt with the acknowledgement, and a duplicate of the attempt's start would then
/// run it again. An exit is therefore acknowledged only under a fencing token above those of all its starts:
/// the exit of an attempt that was started in this epoch waits for the next one. Until then the worker lists
/// it.
///
/// Kept in memory only; CommandDispatcher::reconcile_orphans() acknowledges what a controller that has ended
/// left behind.
class ExitAcknowledger {
  public:
    ExitAcknowledger(const WorkerStatus& workers, CommandSender& commands)
        : workers_(workers), commands_(commands) {}

    /// Queues the acknowledgement of the exit of an attempt whose end is committed.
    void queue(TaskAttempt closed);
    /// Sends acknowledgements that are due, to a limited number of machines. Called after each scheduling
    /// pass.
    void send_due();
    /// Makes the exits that have waited for this epoch due.
    void start_epoch();

  private:
    using ExitsByMachine = std::map<std::string, std::vector<TaskAttempt>>;

    /// Returns true if the acknowledgement was sent now.
    bool acknowledge_or_defer(TaskAttempt closed);

    const WorkerStatus& workers_;
    CommandSender& commands_;
    ExitsByMachine due_;
    ExitsByMachine deferred_;  // to the next epoch
};

}  // namespace hatchwind::controller
