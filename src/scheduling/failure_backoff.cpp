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
constexpr int kErrorsCounted = 6;
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
            // Another owner was faster; its record arrives by the watch.
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

// A faulty machine fails many jobs' tasks, a job with a mistake fails on many machines: both are tried ever
// more seldom, and neither stops the other for long.
void FailureBackoff::record_error(const OpenAttempt& open, BackoffState& machine, Micros now) {
    BackoffState& job = jobs_[open.job()];
    job.errors = std::min(job.errors + 1, kErrorsCounted);
    job.others.insert(open.attempt.machine);
    if (job.others.size() >= 2) job.until = now + core::job_backoff(job.errors);
    machine.others.insert(open.job());
    machine.errors = std::min(machine.errors + 1, kErrorsCounted);
    // Errors of jobs that fail elsewhere too say little about this machine.
    const bool machine_suspect = machine.others.size() >= 2 || job.others.size() < 2;
    if (machine_suspect) machine.until = now + core::machine_backoff(machine.errors);
    spdlog::info("event=task_error job={} machine={} job_errors={} machine_errors={}", open.job(),
                 open.attempt.machine, job.errors, machine.errors);
}

std::map<std::string, Micros> FailureBackoff::job_backoff() const {
    std::map<std::string, Micros> backoff;
    for (const auto& [job, record] : jobs_) backoff[job] = record.until;
    return backoff;
}

std::map<std::string, Micros> FailureBackoff::machine_backoff(Micros now) const {
    std::map<std::string, Micros> backoff;
    for (const auto& [machine, record] : machines_) {
        if (record.until > now) backoff[machine] = record.until;
    }
    return backoff;
}

void FailureBackoff::forget_gone() {
    std::erase_if(jobs_, [&](const auto& job) { return replicated_.job_table().find(job.first) == nullptr; });
    std::erase_if(machines_, [&](const auto& machine) {
        return workers_.cluster_view().find(machine.first) == nullptr;
    });
}

}  // namespace hatchwind::controller
