/// Failures of jobs and machines, and the backoff that follows from them. Owns both; memory only, and each
/// shard owner counts what it sees itself.
#pragma once

#include <map>
#include <set>
#include <string>

#include "scheduling/open_attempt.hpp"
#include "store/replicated_state.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

/// Written by AttemptReconciler, read by PlacementRound.
class FailureBackoff {
  public:
    FailureBackoff(const ReplicatedState& replicated, const WorkerStatus& workers)
        : replicated_(replicated), workers_(workers) {}

    /// An attempt has exited, and why.
    void record_exit(const OpenAttempt& open, core::ExitCause cause);
    /// By job: until when its tasks are not tried. Monotonic clock; may be over.
    std::map<std::string, io::Micros> job_backoff() const;
    /// By machine: until when it takes no tasks of this shard. Monotonic clock; only what is still to come.
    std::map<std::string, io::Micros> machine_backoff(io::Micros monotonic_now) const;
    /// Drops jobs that are over and machines that are gone.
    void forget_gone();

  private:
    struct BackoffState {
        int errors = 0;
        io::Micros until{0};                // monotonic clock
        std::set<std::string> failed_with;  // a job's machines, a machine's jobs
    };
    void record_error(const OpenAttempt& open, BackoffState& machine, io::Micros monotonic_now);

    const ReplicatedState& replicated_;
    const WorkerStatus& workers_;
    std::map<std::string, BackoffState> machines_;
    std::map<std::string, BackoffState> jobs_;
};

}  // namespace hatchwind::controller
