// Assignment of chunks to attempt pages, and the rank of page writes when the write budget is short.
#include <gtest/gtest.h>

#include "scheduling/attempt_page_writer.hpp"
#include "scheduling/page_assignment.hpp"
#include "store/store_keys.hpp"
#include "support.hpp"
#include "wire/records.hpp"
#include "worker_state.hpp"

namespace hatchwind {
namespace {

using controller::WriteRank;
using core::Micros;

constexpr std::uint32_t kTasks = core::kChunkTasks;
constexpr std::uint32_t kTasksOfOneMachine = 16;

controller::Settings settings_of_small_values() {
    controller::Settings settings;
    settings.label = "n0";
    settings.memory_mb = 64;
    settings.max_connections = 100;
    settings.cpu_share = 1;
    settings.state_rps = 100;
    settings.state_write_rps = 25;
    settings.value_kb = 2;
    settings.txn_ops = 10;
    settings.teams["x"] = {"x", 100, 1000, 0, 0};
    return settings;
}

class AttemptPages : public ::testing::Test {
  protected:
    AttemptPages() {
        core::Epoch epoch;
        epoch.shard_owners["x"] = state_.settings.label;
        state_.replicated.set_epoch(std::move(epoch), core::Micros{0});
    }

    void accept(int number, std::uint32_t tasks = kTasks) {
        const core::Job job = test::job(name(number), "x", tasks, 1);
        state_.replicated.apply({controller::keys::job(job.id), wire::job_record(job), ++mod_revision_});
    }
    static std::string name(int number) { return "req-" + std::to_string(100 + number); }

    // Stages the starts of all tasks of the jobs, on as few machines as possible.
    controller::StagedRecords starts(const std::vector<int>& jobs) const {
        controller::StagedRecords staged;
        for (const int job : jobs) {
            const core::JobEntry& entry = *state_.replicated.job_table().find(name(job));
            for (std::uint32_t task = 0; task < entry.job.tasks; ++task) {
                const std::string machine = "n-00" + std::to_string(1000 + task / kTasksOfOneMachine);
                staged.start(entry, {name(job), task, {1, machine, 1}});
            }
        }
        return staged;
    }

    void record_running(int job, std::uint32_t task) {
        core::Chunk chunk;
        chunk.open[task] = {1, "n-1", 1};
        chunk.last_attempt = 1;
        record_page(job, chunk);
    }

    // Records the first page of the team with only the given chunk of the job.
    void record_page(int job, const core::Chunk& chunk) {
        state_.replicated.apply({controller::keys::page({"x", 1}),
                                 wire::page_record({{core::ChunkKey{name(job), 0}, &chunk}}),
                                 ++mod_revision_});
    }

    // Returns the rank of the write that records the task as done.
    WriteRank rank_of_completion(int job, std::uint32_t task, Micros now) {
        const core::JobEntry& entry = *state_.replicated.job_table().find(name(job));
        controller::StagedRecords staged;
        staged.close({entry, task, *state_.replicated.job_table().open_attempt(name(job), task)},
                     controller::TaskOutcome::done);
        return writer_.write_units(staged, now).front().rank;
    }

    test::WorkerState state_{settings_of_small_values()};
    controller::AttemptPageWriter writer_{state_.settings, state_.replicated, state_.leadership,
                                          state_.workers};
    core::Revision mod_revision_ = 0;
};

TEST_F(AttemptPages, TasksThatShareMachinesShareAPage) {
    constexpr int kJobs = 4;
    std::vector<int> jobs;
    for (int job = 0; job < kJobs; ++job) {
        accept(job);
        jobs.push_back(job);
    }
    auto staged = starts(jobs);
    const auto pages = controller::assign_pages(
        {state_.settings, state_.replicated.job_table(), state_.workers.cluster_view(), state_.leadership},
        staged, {});
    // If the maximum size were reserved for each task, each of these jobs would need a page of its own.
    EXPECT_LE(pages.size(), 2U);
    for (const auto& [page, chunks] : pages) {
        controller::PageContent content;
        for (const auto& chunk : chunks) content[chunk] = &staged.chunks.at(chunk).chunk;
        EXPECT_LE(controller::page_bytes(content), state_.settings.value_limit());
    }
}

TEST_F(AttemptPages, CompletionsWaitForUnusedWritesAtFirst) {
    accept(0, 2);
    record_running(0, 0);
    EXPECT_EQ(rank_of_completion(0, 0, Micros{1'000'000}), WriteRank::completion);
    EXPECT_EQ(rank_of_completion(0, 0, Micros{6'000'000}), WriteRank::due_completion);
    EXPECT_EQ(rank_of_completion(0, 0, Micros{17'000'000}), WriteRank::overdue_completion);
}

// A completed task counts against its team's limit until its completion is recorded, which delays the team's
// next start.
TEST_F(AttemptPages, CompletionsOfATeamNearItsLimitAreOverdueSooner) {
    accept(0, 900);
    core::Chunk chunk;
    for (std::uint32_t task = 0; task < 900; ++task) chunk.open[task] = {1, "n-1", 1};
    chunk.last_attempt = 1;
    record_page(0, chunk);
    EXPECT_EQ(rank_of_completion(0, 0, Micros{1'000'000}), WriteRank::completion);
    EXPECT_EQ(rank_of_completion(0, 0, Micros{6'000'000}), WriteRank::overdue_completion);
}

}  // namespace
}  // namespace hatchwind
