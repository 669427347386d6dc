/// Tracks failures of jobs and machines and the resulting backoff. Kept in memory only: each shard owner
/// counts the failures that it observes itself.
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

    /// Updates the backoff of the attempt's job and machine after the attempt has exited with `cause`.
    void record_exit(const OpenAttempt& open, core::ExitCause cause);
    /// Returns for each job the time until which its tasks are not started; monotonic clock. Includes times
    /// in the past.
    std::map<std::string, io::Micros> job_backoff() const;
    /// Returns for each machine the time until which no tasks of this shard are placed on it; monotonic
    /// clock. Excludes times in the past.
    std::map<std::string, io::Micros> machine_backoff(io::Micros monotonic_now) const;
    /// Drops finished jobs and machines that are no longer in the cluster view.
    void remove_obsolete();

  private:
    struct BackoffState {
        int errors = 0;
        io::Micros until{0};                // monotonic clock
        std::set<std::string> failed_with;  // the machines on which a job failed, or a machine's failed jobs
    };
    void record_error(const OpenAttempt& open, BackoffState& machine, io::Micros monotonic_now);

    const ReplicatedState& replicated_;
    const WorkerStatus& workers_;
    std::map<std::string, BackoffState> machines_;
    std::map<std::string, BackoffState> jobs_;
};

}  // namespace hatchwind::controller
