// An attempt as the shard shard owner's modules pass it on.
#pragma once

#include <cstdint>
#include <string>

#include "core/job_table.hpp"

namespace hatchwind::controller {

// An attempt that is recorded as open; a view, valid until the job table changes.
struct OpenAttempt {
    const core::JobEntry& entry;
    std::uint32_t task;
    const core::Attempt& attempt;

    const std::string& job() const { return entry.job.id; }
    std::uint32_t chunk() const { return task / core::kChunkTasks; }
};

// The same by value, for what outlives the job table's record.
struct TaskAttempt {
    std::string job;
    std::uint32_t task = 0;
    core::Attempt attempt;
};

}  // namespace hatchwind::controller
