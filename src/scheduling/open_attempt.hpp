/// Attempts as passed between the scheduling modules: by reference while the attempt is recorded as open, by
/// value where the attempt outlives its record.
#pragma once

#include <cstdint>
#include <string>

#include "core/job_table.hpp"

namespace hatchwind::controller {

/// Non-owning view of an attempt that is recorded as open. Valid until the job table changes.
struct OpenAttempt {
    const core::JobEntry& entry;
    std::uint32_t task;
    const core::Attempt& attempt;

    /// Id of the attempt's job.
    const std::string& job() const { return entry.job.id; }
    /// Number of the chunk that records the attempt.
    std::uint32_t chunk() const { return task / core::kChunkTasks; }
};

/// An attempt of a task, by value; independent of the job table.
struct TaskAttempt {
    std::string job;
    std::uint32_t task = 0;
    core::Attempt attempt;
};

}  // namespace hatchwind::controller
