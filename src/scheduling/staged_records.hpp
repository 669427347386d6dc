/// Records that one scheduling pass intends to write: changed chunks and finished jobs. They take effect only
/// when they are committed.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/placement.hpp"
#include "scheduling/open_attempt.hpp"

namespace hatchwind::controller {

/// Outcome of a task when one of its attempts has ended.
enum class TaskOutcome : std::uint8_t {
    done,
    unfinished,  ///< the task has to start again, unless its job is cancelled
};

/// The new state of a chunk, and the attempts that were closed and started to reach it.
struct ChunkRecord {
    core::Chunk chunk;
    std::vector<TaskAttempt> closed;
    std::vector<TaskAttempt> started;
    bool blocks_restart = false;  ///< a task can start again only once this is recorded
};

/// Filled during one pass, first by reconciliation and then by placement; written as write units.
struct StagedRecords {
    std::map<core::ChunkKey, ChunkRecord> chunks;
    std::vector<std::string> finished_jobs;  ///< ids

    /// Returns the staged record of a chunk. If there is none yet, creates it from the job table's state.
    ChunkRecord& stage(const core::JobEntry& entry, std::uint32_t chunk_number);
    /// Stages the end of an attempt.
    void close(const OpenAttempt& open, TaskOutcome outcome);
    /// Stages the record of an attempt. Its start command is sent after the commit.
    void start(const core::JobEntry& entry, const core::Start& start);
};

}  // namespace hatchwind::controller
