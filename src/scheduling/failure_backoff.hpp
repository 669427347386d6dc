// Failures of jobs and machines, and the backoff that follows from them.
#pragma once

#include <map>
#include <set>
#include <string>

#include "scheduling/open_attempt.hpp"
#include "store/replicated_state.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

class FailureBackoff {
  public:
    FailureBackoff(const ReplicatedState& replicated, const WorkerStatus& workers)
        : replicated_(replicated), workers_(workers) {}

    void record_exit(const OpenAttempt& open, core::ExitCause cause);
    // Until when each job's tasks are not tried; steady.
    std::map<std::string, io::Micros> job_backoff() const;
    // Until when machines take no tasks of this owner; steady, only what is still to come.
    std::map<std::string, io::Micros> machine_backoff(io::Micros now) const;
    // Drops jobs that are over and machines that are gone.
    void forget_gone();

  private:
    struct BackoffState {
        int errors = 0;
        io::Micros until{0};           // steady
        std::set<std::string> others;  // a job's machines, a machine's jobs
    };
    void record_error(const OpenAttempt& open, BackoffState& machine, io::Micros now);

    const ReplicatedState& replicated_;
    const WorkerStatus& workers_;
    std::map<std::string, BackoffState> machines_;
    std::map<std::string, BackoffState> jobs_;
};

}  // namespace hatchwind::controller
