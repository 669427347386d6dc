// What one pass of the shard owner wants to have recorded: chunks as they will be, and jobs that are over.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/placement.hpp"
#include "scheduling/open_attempt.hpp"

namespace hatchwind::controller {

// A chunk as it will be, and what made it so.
struct ChunkRecord {
    core::Chunk chunk;
    std::vector<TaskAttempt> closed;
    std::vector<TaskAttempt> started;
    bool urgent = false;  // a task waits for this record to start again
};

struct StagedRecords {
    std::map<core::ChunkKey, ChunkRecord> chunks;
    std::vector<std::string> finished;  // jobs

    // The chunk's record, begun from what the job table has.
    ChunkRecord& stage(const core::JobEntry& entry, std::uint32_t chunk);
    // Ends the attempt; `done`: the task is, too.
    void close(const OpenAttempt& open, bool done);
    void start(const core::JobEntry& entry, const core::Start& start);
};

}  // namespace hatchwind::controller
