/// An attempt as the modules of a shard's scheduling pass it on: by reference while its record stands, by
/// value for what outlives the record.
#pragma once

#include <cstdint>
#include <string>

#include "core/job_table.hpp"

namespace hatchwind::controller {

/// An attempt that is recorded as open; a view, valid until the job table changes.
struct OpenAttempt {
    const core::JobEntry& entry;
    std::uint32_t task;
    const core::Attempt& attempt;

    /// Id of its job.
    const std::string& job() const { return entry.job.id; }
    /// Number of the chunk that records it.
    std::uint32_t chunk() const { return task / core::kChunkTasks; }
};

/// The same by value, for what outlives the job table's record.
struct TaskAttempt {
    std::string job;
    std::uint32_t task = 0;
    core::Attempt attempt;
};

}  // namespace hatchwind::controller
