/// What one scheduling pass wants to have recorded: chunks as they will be, and jobs that are over. Nothing
/// of it is true before its commit.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/placement.hpp"
#include "scheduling/open_attempt.hpp"

namespace hatchwind::controller {

/// What the end of an attempt means for its task.
enum class TaskOutcome : std::uint8_t {
    done,
    unfinished,  ///< the task has to start again, unless its job is cancelled
};

/// A chunk as it will be, and what made it so.
struct ChunkRecord {
    core::Chunk chunk;
    std::vector<TaskAttempt> closed;
    std::vector<TaskAttempt> started;
    bool blocks_restart = false;  ///< a task can start again only once this is recorded
};

/// Filled by the steps of one pass, in the order reconcile, place; then written in units.
struct StagedRecords {
    std::map<core::ChunkKey, ChunkRecord> chunks;
    std::vector<std::string> finished_jobs;  ///< ids

    /// The chunk's record, begun from what the job table has.
    ChunkRecord& stage(const core::JobEntry& entry, std::uint32_t chunk_number);
    /// Ends the attempt.
    void close(const OpenAttempt& open, TaskOutcome outcome);
    /// Records an attempt ahead of its start command.
    void start(const core::JobEntry& entry, const core::Start& start);
};

}  // namespace hatchwind::controller
