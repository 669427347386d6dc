// A part of a group commit.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "scheduling/open_attempt.hpp"
#include "store/final_state_cache.hpp"
#include "wire/store_api.hpp"

namespace hatchwind::controller {

// Lower goes first.
enum class WriteRank : std::uint8_t {
    production,
    urgent,  // a task waits for it to start again, or a job is over
    start,
    overdue_completion,
    due_completion,  // takes what is unused
    completion,      // takes what would else go to waste
    lowest,
};

// What is written together or not at all.
struct WriteUnit {
    WriteRank rank = WriteRank::production;
    std::vector<core::ChunkKey> chunks;
    std::vector<wire::Condition> conditions;
    std::vector<wire::StoreItem> effects;                  // written, and then part of the replica
    std::vector<wire::StoreItem> extra;                    // written only
    std::vector<std::pair<std::string, FinalState>> ends;  // of jobs
    std::vector<TaskAttempt> closed;
    std::vector<TaskAttempt> started;
    std::size_t bytes = 0;  // of the JSON form, about

    std::size_t writes() const { return effects.size() + extra.size(); }
};

}  // namespace hatchwind::controller
