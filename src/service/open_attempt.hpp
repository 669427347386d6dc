// An attempt as the owner's modules pass it on.
#pragma once

#include <cstdint>
#include <string>

#include "core/ledger.hpp"

namespace hatchwind::service {

// An attempt that is recorded as open; a view, valid until the ledger changes.
struct OpenAttempt {
    const core::JobEntry& entry;
    std::uint32_t task;
    const core::Attempt& attempt;

    const std::string& job() const { return entry.job.id; }
    std::uint32_t chunk() const { return task / core::kChunkTasks; }
};

// The same by value, for what outlives the ledger's record.
struct TaskAttempt {
    std::string job;
    std::uint32_t task = 0;
    core::Attempt attempt;
};

}  // namespace hatchwind::service
