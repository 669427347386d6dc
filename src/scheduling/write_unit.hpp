/// A part of a group commit: writes that belong together, what they depend on and what follows from them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "scheduling/open_attempt.hpp"
#include "store/final_state_cache.hpp"
#include "wire/store_api.hpp"

namespace hatchwind::controller {

/// In which order units are written while the write budget is short: lower goes first.
enum class WriteRank : std::uint8_t {
    production,
    urgent,  ///< a task waits for it to start again, or a job is over
    start,
    overdue_completion,
    due_completion,  ///< takes writes that are unused
    completion,      ///< takes writes that would otherwise go to waste
    lowest,
};

/// The end of a job.
struct JobEnd {
    std::string job;
    FinalState state;
};

/// What is written together or not at all.
struct WriteUnit {
    WriteRank rank = WriteRank::production;
    std::vector<core::ChunkKey> chunks;
    std::vector<wire::Condition> conditions;
    std::vector<wire::StoreItem> replicated_writes;  ///< part of the replica once they are committed
    std::vector<wire::StoreItem> other_writes;       ///< of records outside the replica
    std::vector<JobEnd> job_ends;
    std::vector<TaskAttempt> closed;
    std::vector<TaskAttempt> started;
    std::size_t estimated_bytes = 0;  ///< of the JSON form

    /// Writes of a transaction that it takes.
    std::size_t write_count() const { return replicated_writes.size() + other_writes.size(); }
};

}  // namespace hatchwind::controller
