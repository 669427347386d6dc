#include "scheduling/failure_backoff.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "core/failure_detection.hpp"

namespace hatchwind::controller {

using core::ExitCause;
using io::Micros;

namespace {
constexpr Micros kNoRoomBackoff{1'000'000};
constexpr Micros kBusyBackoff{5'000'000};
constexpr Micros kUnknownBackoff{3'000'000};
constexpr int kMaxErrorsCounted = 6;
// A job that fails on this many different machines is considered faulty, and likewise a machine on which this
// many different jobs fail.
constexpr std::size_t kDistinctFailures = 2;
}  // namespace

void FailureBackoff::record_exit(const OpenAttempt& open, ExitCause cause) {
    const Micros now = io::steady_now();
    BackoffState& machine = machines_[open.attempt.machine];
    switch (cause) {
        case ExitCause::done:
            machines_.erase(open.attempt.machine);
            jobs_.erase(open.job());
            break;
        case ExitCause::no_room:
            // Another shard owner took the capacity first. Its record will arrive through the watch.
            machine.until = std::max(machine.until, now + kNoRoomBackoff);
            break;
        case ExitCause::busy:
            spdlog::info("event=start_refused cause=in_use job={} machine={}", open.job(),
                         open.attempt.machine);
            machine.until = std::max(machine.until, now + kBusyBackoff);
            break;
        case ExitCause::unknown:
            jobs_[open.job()].until = now + kUnknownBackoff;
            break;
        case ExitCause::error:
            record_error(open, machine, now);
            break;
        default:
            break;
    }
}

// Tasks of many jobs fail on a faulty machine, and a faulty job fails on many machines. Both are retried at
// growing intervals, and a faulty job does not block healthy machines for long, or the other way round.
void FailureBackoff::record_error(const OpenAttempt& open, BackoffState& machine, Micros monotonic_now) {
    BackoffState& job = jobs_[open.job()];
    job.errors = std::min(job.errors + 1, kMaxErrorsCounted);
    job.failed_with.insert(open.attempt.machine);
    if (job.failed_with.size() >= kDistinctFailures)
        job.until = monotonic_now + core::job_backoff(job.errors);
    machine.failed_with.insert(open.job());
    machine.errors = std::min(machine.errors + 1, kMaxErrorsCounted);
    // Errors of a job that also fails on other machines do not indicate a fault of this machine.
    const bool machine_suspect =
        machine.failed_with.size() >= kDistinctFailures || job.failed_with.size() < kDistinctFailures;
    if (machine_suspect) machine.until = monotonic_now + core::machine_backoff(machine.errors);
    spdlog::info("event=task_error job={} machine={} job_errors={} machine_errors={}", open.job(),
                 open.attempt.machine, job.errors, machine.errors);
}

std::map<std::string, Micros> FailureBackoff::job_backoff() const {
    std::map<std::string, Micros> backoff;
    for (const auto& [job, state] : jobs_) backoff[job] = state.until;
    return backoff;
}

std::map<std::string, Micros> FailureBackoff::machine_backoff(Micros monotonic_now) const {
    std::map<std::string, Micros> backoff;
    for (const auto& [machine, state] : machines_) {
        if (state.until > monotonic_now) backoff[machine] = state.until;
    }
    return backoff;
}

void FailureBackoff::remove_obsolete() {
    std::erase_if(jobs_, [&](const auto& job) { return replicated_.job_table().find(job.first) == nullptr; });
    std::erase_if(machines_, [&](const auto& machine) {
        return workers_.cluster_view().find(machine.first) == nullptr;
    });
}

}  // namespace hatchwind::controller
