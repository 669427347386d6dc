/// A part of a group commit: writes that are committed atomically, their conditions, and their effects.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "scheduling/open_attempt.hpp"
#include "store/final_state_cache.hpp"
#include "wire/store_api.hpp"

namespace hatchwind::controller {

/// Order in which units are written while the write budget is short. Lower values are written first.
enum class WriteRank : std::uint8_t {
    production,
    urgent,  ///< a task can start again only after this write, or a job has finished
    start,
    overdue_completion,
    due_completion,  ///< may use only the unused part of the write budget
    completion,      ///< may use only a fraction of the unused part of the write budget
    lowest,
};

/// A finished job and its final state.
struct JobEnd {
    std::string job;
    FinalState state;
};

/// Writes that are committed atomically, with their conditions and effects.
struct WriteUnit {
    WriteRank rank = WriteRank::production;
    std::vector<core::ChunkKey> chunks;
    std::vector<wire::Condition> conditions;
    std::vector<wire::StoreItem> replicated_writes;  ///< applied to the replica once committed
    std::vector<wire::StoreItem> other_writes;       ///< to records that are not in the replica
    std::vector<JobEnd> job_ends;
    std::vector<TaskAttempt> closed;
    std::vector<TaskAttempt> started;
    std::size_t estimated_bytes = 0;  ///< in JSON form

    /// Number of writes that the unit adds to a transaction.
    std::size_t write_count() const { return replicated_writes.size() + other_writes.size(); }
};

}  // namespace hatchwind::controller
