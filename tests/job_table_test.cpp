#include "core/job_table.hpp"

#include <set>

#include "support.hpp"

namespace hatchwind {
namespace {

using test::check_property;

TEST(RangeSet, AgreesWithASet) {
    check_property("insertions in any order", [](const std::vector<std::uint8_t>& values) {
        core::RangeSet range_set;
        std::set<std::uint32_t> model;
        for (const auto value : values) RC_ASSERT(range_set.insert(value) == model.insert(value).second);
        RC_ASSERT(range_set.size() == model.size());
        for (std::uint32_t value = 0; value < 256; ++value)
            RC_ASSERT(range_set.contains(value) == model.contains(value));
        for (auto range = range_set.ranges().begin();
             range != range_set.ranges().end() && std::next(range) != range_set.ranges().end(); ++range) {
            RC_ASSERT(range->second + 1 < std::next(range)->first);
        }
    });
}

// A page with the first attempts of a released job may be read before the record of the release. Guards
// against usage that stays with kWaitingTeam instead of moving to the job's team.
TEST(JobTable, LateReleaseRecordMovesUsageToTheTeam) {
    core::JobTable job_table;
    core::Job job = test::job("req-1", core::kWaitingTeam, 4, 2);
    job.dependencies = {"req-0"};
    job.team_once_released = "x";
    job_table.put_job(job, 1);
    core::Chunk chunk;
    chunk.mod_revision = 3;
    chunk.open[0] = {1, "n-1", 1};
    chunk.open[1] = {1, "n-1", 1};
    job_table.put_chunk("req-1", 0, chunk);
    job.team = "x";
    job.dependencies.clear();
    job_table.put_job(job, 2);
    EXPECT_DOUBLE_EQ(job_table.team_use("x").cpus, 4);
    EXPECT_DOUBLE_EQ(job_table.team_use(core::kWaitingTeam).cpus, 0);
    EXPECT_TRUE(job_table.waiting().empty());
    job_table.erase_job("req-1", 4);
    EXPECT_DOUBLE_EQ(job_table.team_use("x").cpus, 0);
}

// A peer announced the cancellation of a released job to a replica that still had it as waiting. The entry
// was marked as being at the cancellation's revision, so the record of the release was dropped: the team's
// next owner deleted the job although an attempt was open (docs/incidents/announced-cancellation.md).
TEST(JobTable, AnAnnouncedCancellationHidesNoRecord) {
    core::JobTable job_table;
    core::Job waiting = test::job("req-1", core::kWaitingTeam, 4, 2);
    waiting.dependencies = {"req-0"};
    waiting.team_once_released = "x";
    job_table.put_job(waiting, 1);
    const core::Micros cancelled_at{77};
    job_table.put_cancel("req-1", 4, cancelled_at);
    const core::JobEntry& entry = *job_table.find("req-1");
    EXPECT_TRUE(entry.job.cancelled);
    EXPECT_EQ(entry.mod_revision, 1U) << "the record that was read";
    EXPECT_TRUE(entry.record_is_outdated());
    EXPECT_EQ(entry.cancellation_revision(), 4U);
    core::Job released = waiting;
    released.team = "x";
    released.dependencies.clear();
    job_table.put_job(released, 2);
    EXPECT_EQ(entry.job.team, "x");
    EXPECT_TRUE(entry.job.cancelled) << "as announced";
    EXPECT_EQ(entry.job.cancelled_at, cancelled_at);
    EXPECT_TRUE(entry.record_is_outdated());
    EXPECT_TRUE(job_table.waiting().empty());
    core::Chunk chunk;
    chunk.mod_revision = 3;
    chunk.open[0] = {1, "n-1", 1};
    job_table.put_chunk("req-1", 0, chunk);
    EXPECT_DOUBLE_EQ(job_table.team_use("x").cpus, 2);
    core::Job cancelled = released;
    cancelled.cancelled = true;
    cancelled.cancelled_at = cancelled_at;
    job_table.put_job(cancelled, 4);
    EXPECT_FALSE(entry.record_is_outdated());
    EXPECT_EQ(entry.mod_revision, 4U);
    EXPECT_EQ(entry.cancellation_revision(), 4U);
    job_table.put_cancel("req-1", 4, cancelled_at);
    EXPECT_FALSE(entry.record_is_outdated()) << "a repeat of what was read";
}

// Announcements among the records, in any order: the replica ends with the store's record, and the job counts
// as cancelled from the announcement on.
TEST(JobTable, AnnouncementsInAnyOrderEndWithTheStoresRecord) {
    check_property("records and announcements in any order", [] {
        constexpr core::Revision kCancelledAt = 3;
        core::JobTable job_table;
        core::Job job = test::job("req-1", core::kWaitingTeam, 4, 2);
        job.team_once_released = "x";
        job_table.put_job(job, 1);
        const auto apply_record = [&](core::Revision revision) {
            core::Job record = job;
            if (revision >= 2) record.team = "x";
            record.cancelled = revision >= kCancelledAt;
            job_table.put_job(record, revision);
        };
        bool announced = false;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
        for (const int step : steps) {
            if (step == 0) {
                job_table.put_cancel("req-1", kCancelledAt, core::Micros{5});
                announced = true;
            } else {
                apply_record(static_cast<core::Revision>(step));
            }
            const core::JobEntry& entry = *job_table.find("req-1");
            RC_ASSERT(!announced || entry.job.cancelled);
            RC_ASSERT((entry.job.team == "x") == (entry.mod_revision >= 2));
            RC_ASSERT(entry.record_is_outdated() == (announced && entry.mod_revision < kCancelledAt));
        }
        for (const core::Revision revision : {2, 3}) apply_record(revision);
        const core::JobEntry& entry = *job_table.find("req-1");
        RC_ASSERT(entry.mod_revision == kCancelledAt && entry.job.team == "x" && entry.job.cancelled);
        RC_ASSERT(!entry.record_is_outdated());
    });
}

// The parts of a long dependency list and the job's record may arrive in any order. Guards against a partial
// list that counts as known.
TEST(JobTable, DependencyListIsKnownOnceAllItsPartsAre) {
    check_property("parts and record in any order", [] {
        core::Job job = test::job("req-1", core::kWaitingTeam, 1, 1);
        job.team_once_released = "x";
        job.dependency_list = "l";
        job.dependency_parts = static_cast<std::uint32_t>(*rc::gen::inRange(1, 5));
        std::vector<std::uint32_t> order;  // part numbers; job.dependency_parts stands for the job's record
        for (std::uint32_t part = 0; part <= job.dependency_parts; ++part) order.push_back(part);
        for (std::size_t i = order.size(); i > 1; --i)
            std::swap(order[i - 1], order[*rc::gen::inRange<std::size_t>(0, i)]);
        core::JobTable job_table;
        std::vector<std::string> all;
        for (std::uint32_t part = 0; part < job.dependency_parts; ++part)
            all.push_back("req-" + std::to_string(10 + part));
        job_table.put_dependency_part("req-1", "another", 0, {"req-99"});
        for (const std::uint32_t arriving : order) {
            const core::JobEntry* entry = job_table.find("req-1");
            const bool known = entry != nullptr && entry->job.dependencies_known();
            RC_ASSERT(!known);
            if (arriving == job.dependency_parts) {
                job_table.put_job(job, 5);
            } else {
                job_table.put_dependency_part("req-1", "l", arriving, {all[arriving]});
            }
        }
        RC_ASSERT(job_table.find("req-1")->job.dependencies == all);
    });
}

using Chunks = std::map<std::uint32_t, core::Chunk>;

struct ChunkChange {
    std::uint32_t number = 0;
    core::Chunk chunk;
};

// Draws changes of the chunks of one job, in the order of their revisions. `store` receives the final state.
std::vector<ChunkChange> draw_changes(Chunks& store) {
    std::vector<ChunkChange> changes;
    const int count = *rc::gen::inRange(1, 20);
    for (int i = 0; i < count; ++i) {
        const auto number = static_cast<std::uint32_t>(*rc::gen::inRange(0, 4));
        core::Chunk chunk = store[number];
        chunk.mod_revision = static_cast<core::Revision>(i) + 2;
        const std::uint32_t task =
            number * core::kChunkTasks + static_cast<std::uint32_t>(*rc::gen::inRange(0, 8));
        if (chunk.open.erase(task) != 0) {
            if (*rc::gen::arbitrary<bool>()) chunk.done.insert(task);
        } else if (!chunk.done.contains(task)) {
            chunk.open[task] = {++chunk.last_attempt, "n-" + std::to_string(*rc::gen::inRange(0, 3)), 1};
        }
        store[number] = chunk;
        changes.push_back({number, chunk});
    }
    return changes;
}

// Returns the changes in random order, some of them duplicated.
std::vector<ChunkChange> draw_arrivals(const std::vector<ChunkChange>& changes) {
    auto arrivals = changes;
    for (const auto& change : changes) {
        if (*rc::gen::arbitrary<bool>()) arrivals.push_back(change);
    }
    for (std::size_t i = arrivals.size(); i > 1; --i)
        std::swap(arrivals[i - 1], arrivals[*rc::gen::inRange<std::size_t>(0, i)]);
    return arrivals;
}

// Checks that each machine lists exactly the open attempts of the job on that machine.
void check_machines(const core::JobTable& job_table, const core::JobEntry& entry, const Chunks& store) {
    std::map<std::string, std::set<core::TaskRef>> expected;
    for (const auto& [number, chunk] : store) {
        for (const auto& [task, attempt] : chunk.open) expected[attempt.machine].insert({"req-1", task});
    }
    for (const auto& machine : {"n-0", "n-1", "n-2"}) {
        std::set<core::TaskRef> listed;
        for (const auto& [task, recorded] : job_table.on_machine(machine)) {
            listed.insert(task);
            const auto* attempt = job_table.open_attempt(task.job, task.task);
            RC_ASSERT(recorded.entry == &entry && attempt != nullptr && attempt->number == recorded.number &&
                      attempt->incarnation == recorded.incarnation);
        }
        RC_ASSERT(listed == expected[machine]);
    }
}

// Changes of a record may arrive late, duplicated or out of order. Guards against a job table that differs
// from the store afterwards.
TEST(JobTable, ConvergesToTheStoreWithReorderedAndRepeatedChanges) {
    check_property("reordered and repeated changes", [] {
        core::JobTable job_table;
        job_table.put_job(test::job("req-1", "x", 200, 2), 1);
        Chunks store;
        const auto changes = draw_changes(store);
        for (const auto& arrival : draw_arrivals(changes))
            job_table.put_chunk("req-1", arrival.number, arrival.chunk);

        std::uint32_t open = 0;
        std::uint32_t done = 0;
        for (const auto& [number, chunk] : store) {
            open += static_cast<std::uint32_t>(chunk.open.size());
            done += chunk.done.size();
        }
        const auto* entry = job_table.find("req-1");
        RC_ASSERT(entry->open == open);
        RC_ASSERT(entry->done == done);
        RC_ASSERT(std::abs(job_table.team_use("x").cpus - 2.0 * open) < 1e-9);
        check_machines(job_table, *entry, store);
        const auto unstarted = core::unstarted_tasks(*entry, 1000);
        RC_ASSERT(unstarted.size() == entry->unstarted());
        for (const auto task : unstarted) RC_ASSERT(job_table.open_attempt("req-1", task) == nullptr);

        job_table.erase_job("req-1", 1000);
        RC_ASSERT(job_table.team_use("x").cpus < 1e-9);
        RC_ASSERT(job_table.by_machine().empty());
    });
}

TEST(JobTable, KeepsRecordsOfAnEndedJobAsOrphansUntilTheyAreDeleted) {
    core::JobTable job_table;
    job_table.put_job(test::job("req-1", "x", 200, 2), 1);
    core::Chunk chunk;
    chunk.mod_revision = 2;
    job_table.put_chunk("req-1", 0, chunk);
    chunk.mod_revision = 3;
    job_table.put_chunk("req-1", 1, chunk);
    job_table.erase_chunk("req-1", 0, 4);
    job_table.erase_job("req-1", 4);
    ASSERT_EQ(job_table.orphans().size(), 1U);
    EXPECT_EQ(job_table.orphans().begin()->second.mod_revision, 3U);
    job_table.erase_chunk("req-1", 1, 5);
    EXPECT_TRUE(job_table.orphans().empty());
}

// The store is read in ranges while it changes, so a page can be newer than the record of its job that was
// read. Guards against losing the attempts of a page that arrives before its job.
TEST(JobTable, PageReadBeforeItsJobRecordIsKept) {
    core::JobTable job_table;
    core::Chunk chunk;
    chunk.open[3] = {1, "n-1", 1};
    chunk.last_attempt = 1;
    job_table.put_page({"x", 1}, 9, {{{"req-1", 0}, chunk}});
    EXPECT_EQ(job_table.find("req-1"), nullptr);
    job_table.put_job(test::job("req-1", "x", 8, 2), 5);
    // The watch delivers the same revision of the page again: no effect.
    job_table.put_page({"x", 1}, 9, {{{"req-1", 0}, chunk}});
    ASSERT_NE(job_table.open_attempt("req-1", 3), nullptr);
    EXPECT_EQ(job_table.find("req-1")->chunks.at(0).page, 1U);
    EXPECT_EQ(job_table.on_machine("n-1").size(), 1U);
    EXPECT_TRUE(job_table.orphans().empty());
    // A newer page without the chunk.
    job_table.put_page({"x", 1}, 10, {});
    EXPECT_EQ(job_table.open_attempt("req-1", 3), nullptr);
    EXPECT_NEAR(job_table.team_use("x").cpus, 0, 1e-9);
    // A late duplicate of the older page.
    job_table.put_page({"x", 1}, 9, {{{"req-1", 0}, chunk}});
    EXPECT_EQ(job_table.open_attempt("req-1", 3), nullptr);
}

TEST(JobTable, JobOf100000TasksHasNoChunksBeforeItsFirstStart) {
    core::JobTable job_table;
    job_table.put_job(test::job("req-1", "x", 100'000, 1), 1);
    EXPECT_TRUE(job_table.find("req-1")->chunks.empty());
    EXPECT_EQ(core::unstarted_tasks(*job_table.find("req-1"), 50).size(), 50U);
}

TEST(ClusterView, NewestHeartbeatWinsAndReleasedMachinesStayReleased) {
    core::ClusterView cluster_view;
    auto heartbeat = test::heartbeat("n-1", "small", "a");
    heartbeat.heartbeat_sequence = 5;
    EXPECT_TRUE(cluster_view.apply(heartbeat, core::Micros{1}, core::Micros{1}));
    heartbeat.heartbeat_sequence = 4;
    EXPECT_FALSE(cluster_view.apply(heartbeat, core::Micros{2}, core::Micros{2}));
    heartbeat.incarnation = 2;
    heartbeat.heartbeat_sequence = 1;
    EXPECT_TRUE(cluster_view.apply(heartbeat, core::Micros{3}, core::Micros{3}));
    const core::Attempt old{1, "n-1", 1};
    EXPECT_EQ(core::view_attempt(cluster_view, "req-1", 0, old).status, core::AttemptStatus::lost);
    const core::Attempt current{2, "n-1", 2};
    EXPECT_EQ(core::view_attempt(cluster_view, "req-1", 0, current).status, core::AttemptStatus::unlisted)
        << "a missing task proves nothing";
    cluster_view.release("n-1", core::Micros{1});
    heartbeat.heartbeat_sequence = 9;
    EXPECT_FALSE(cluster_view.apply(heartbeat, core::Micros{4}, core::Micros{4}));
    EXPECT_EQ(core::view_attempt(cluster_view, "req-1", 0, current).status, core::AttemptStatus::lost);
    EXPECT_EQ(core::view_attempt(cluster_view, "req-1", 0, {1, "n-9", 1}).status,
              core::AttemptStatus::unresponsive);
}

}  // namespace
}  // namespace hatchwind
