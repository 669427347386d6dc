/// The status of a job, as users and stored final states name it.
#pragma once

#include <cstdint>

#include "wire/field_names.hpp"

namespace hatchwind::wire {

/// `queued` and `running` may alternate; `done` and `cancelled` never change again.
enum class JobStatus : std::uint8_t { queued, running, done, cancelled };

/// How a job ended for good.
struct FinalState {
    JobStatus status = JobStatus::done;  ///< done or cancelled
    std::uint32_t done = 0;              ///< tasks that are done, for display

    friend bool operator==(const FinalState&, const FinalState&) = default;
};

/// The name on the wire.
constexpr const char* status_name(JobStatus status) {
    switch (status) {
        case JobStatus::queued:
            return names::job_status::kQueued;
        case JobStatus::running:
            return names::job_status::kRunning;
        case JobStatus::done:
            return names::job_status::kDone;
        case JobStatus::cancelled:
            return names::job_status::kCancelled;
    }
    return "";
}

}  // namespace hatchwind::wire
