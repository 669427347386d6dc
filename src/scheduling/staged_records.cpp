#include "scheduling/staged_records.hpp"

#include <algorithm>

namespace hatchwind::controller {

ChunkRecord& StagedRecords::stage(const core::JobEntry& entry, std::uint32_t chunk_number) {
    const auto [staged, is_new] = chunks.try_emplace({entry.job.id, chunk_number});
    if (is_new) {
        const auto known = entry.chunks.find(chunk_number);
        if (known != entry.chunks.end()) staged->second.chunk = known->second;
    }
    return staged->second;
}

void StagedRecords::close(const OpenAttempt& open, TaskOutcome outcome) {
    ChunkRecord& record = stage(open.entry, open.chunk());
    record.closed.push_back({open.job(), open.task, open.attempt});
    if (outcome == TaskOutcome::done) {
        record.chunk.done.insert(open.task);
    } else {
        record.blocks_restart = true;
    }
    record.chunk.open.erase(open.task);
}

void StagedRecords::start(const core::JobEntry& entry, const core::Start& start) {
    ChunkRecord& record = stage(entry, start.task / core::kChunkTasks);
    record.chunk.open[start.task] = start.attempt;
    record.chunk.last_attempt = std::max(record.chunk.last_attempt, start.attempt.number);
    record.started.push_back({start.job, start.task, start.attempt});
}

}  // namespace hatchwind::controller
