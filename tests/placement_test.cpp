#include "core/placement.hpp"

#include "support.hpp"

namespace hatchwind {
namespace {

using core::Micros;
using test::check_property;
using test::Cluster;

TEST(Placement, KeepsEveryRuleOnAnyCluster) {
    check_property("quota, free capacity, type, zones, kind", [] {
        const Cluster cluster = test::draw_cluster();
        core::FreeCapacity capacity = cluster.free_capacity();
        const core::FreeCapacity before = cluster.free_capacity();
        const auto result = core::place(test::placement_input(cluster), capacity);
        std::map<std::string, core::Resources> use;
        std::map<std::string, core::Resources> free;
        for (const auto& [name, team] : cluster.teams) use[name] = cluster.job_table.team_use(name);
        for (const auto& machine : before.machines()) free[machine.id] = machine.free;
        std::map<std::string, core::ZoneUse> zones;
        std::set<core::TaskRef> seen;
        for (const auto& start : result.starts) {
            const auto& entry = *cluster.job_table.find(start.job);
            const auto& machine = *before.find(start.attempt.machine);
            RC_ASSERT((seen.insert({start.job, start.task}).second));
            RC_ASSERT(cluster.job_table.open_attempt(start.job, start.task) == nullptr);
            RC_ASSERT(!machine.spot || entry.job.spot);
            RC_ASSERT(start.attempt.incarnation == machine.incarnation);
            use[entry.job.team] += entry.job.resources;
            free[machine.id] -= entry.job.resources;
            auto& zone_use = zones.try_emplace(start.job, core::ZoneUse::of(entry, before)).first->second;
            RC_ASSERT(zone_use.allows(entry.job, machine.zone));
            zone_use.add(machine.zone);
        }
        for (const auto& [name, team] : cluster.teams) RC_ASSERT(use[name].cpus <= team.cpus_max + 1e-6);
        for (const auto& [id, remaining] : free) RC_ASSERT(remaining.cpus >= -1e-6);
        // Only running tasks that may be preempted are stopped.
        for (const auto& stop : result.stops) {
            const auto* attempt = cluster.job_table.open_attempt(stop.job, stop.task);
            RC_ASSERT(attempt != nullptr && *attempt == stop.attempt);
            RC_ASSERT(cluster.job_table.find(stop.job)->job.kind != core::JobKind::gang);
        }
    });
}

TEST(Placement, NeverUsesCordonedMachinesAndUsesDrainCandidatesLast) {
    Cluster cluster;
    cluster.teams["x"] = {"x", 8, 24, 0, 0};
    for (const char* id : {"n-1", "n-2", "n-3"})
        cluster.cluster_view.apply(test::heartbeat(id, "small", "a"), cluster.now, cluster.now);
    cluster.job_table.put_job(test::job("req-1", "x", 2, 4), 1);
    core::Availability availability;
    availability.now = cluster.now;
    availability.unresponsive_after = Micros{10'000'000};
    availability.draining = {"n-1"};
    availability.drain_candidates = {"n-2"};
    core::FreeCapacity capacity = cluster.free_capacity(&availability);
    const auto result = core::place(test::placement_input(cluster), capacity);
    ASSERT_EQ(result.starts.size(), 2U);
    EXPECT_EQ(result.starts[0].attempt.machine, "n-3");
    EXPECT_EQ(result.starts[1].attempt.machine, "n-2");
}

TEST(Placement, PrefersAMachineThatHasTheImage) {
    Cluster cluster;
    cluster.teams["x"] = {"x", 8, 24, 0, 0};
    for (const char* id : {"n-1", "n-2", "n-3"})
        cluster.cluster_view.apply(test::heartbeat(id, "small", "a", true), cluster.now, cluster.now);
    cluster.cluster_view.record_image("n-3", "img", 1, 20, cluster.now);
    cluster.job_table.put_job(test::job("req-1", "x", 1, 1), 1);
    core::FreeCapacity capacity = cluster.free_capacity();
    const auto result = core::place(test::placement_input(cluster), capacity);
    ASSERT_EQ(result.starts.size(), 1U);
    EXPECT_EQ(result.starts[0].attempt.machine, "n-3");
}

// Serving the job with the longest wait first under overload makes every job late in turn.
TEST(Placement, JobsThatCanStillMeetAnObjectiveGoBeforeLateJobs) {
    core::JobTable job_table;
    const std::vector<core::Objective> objectives{{"finished", "c", 100, 0.9, 1},
                                                  {"finished", "c", 300, 0.9, 1}};
    auto late = test::job("req-1", "x", 1, 1);
    auto new_job = test::job("req-2", "x", 1, 1);
    new_job.accepted = late.accepted + Micros{90'000'000};
    job_table.put_job(late, 1);
    job_table.put_job(new_job, 2);
    const Micros soon = late.accepted + Micros{60'000'000};
    EXPECT_EQ(core::queue_order(job_table, {"x"}, objectives, soon).front()->job.id, "req-1");
    const Micros later = late.accepted + Micros{95'000'000};
    EXPECT_EQ(core::queue_order(job_table, {"x"}, objectives, later).front()->job.id, "req-2");
    // The first job can still meet its second objective, which is now close.
    const Micros end = late.accepted + Micros{265'000'000};
    EXPECT_EQ(core::queue_order(job_table, {"x"}, objectives, end).front()->job.id, "req-1");
}

// Shard owners must not fill freed capacity with work beyond their teams' quotas if another team's quota
// reserves it: the owner of that team's shard would preempt the work again.
TEST(Placement, JobsBeyondTheirQuotaLeaveCapacityReservedForOtherTeams) {
    Cluster cluster;
    cluster.teams["x"] = {"x", 4, 40, 0, 0};
    cluster.teams["y"] = {"y", 4, 40, 0, 0};
    cluster.cluster_view.apply(test::heartbeat("n-1", "big", "a"), cluster.now, cluster.now);
    auto own = test::job("req-1", "x", 20, 1);  // more than the quota, so not within it
    own.accepted = cluster.now;
    cluster.job_table.put_job(own, 1);
    auto input = test::placement_input(cluster);
    input.own_teams = {"x"};
    input.max_starts = 100;
    const auto starts = [&] {
        core::FreeCapacity capacity = cluster.free_capacity();
        return core::place(input, capacity).starts.size();
    };
    EXPECT_EQ(starts(), 16U);
    auto reserved = test::job("req-2", "y", 4, 1);
    reserved.accepted = cluster.now;
    cluster.job_table.put_job(reserved, 2);
    EXPECT_EQ(starts(), 12U);
    // A job that has waited this long is blocked by something other than capacity, so nothing is reserved for
    // it.
    input.wall_clock_now = cluster.now + Micros{61'000'000};
    EXPECT_EQ(starts(), 16U);
    // With all capacity reserved for another team's quota, an overdue job still starts one task.
    cluster.teams["y"].cpus = 40;
    input.wall_clock_now = cluster.now + Micros{91'000'000};
    auto more = test::job("req-3", "y", 20, 1);
    more.accepted = input.wall_clock_now;
    cluster.job_table.put_job(more, 3);
    EXPECT_EQ(starts(), 1U);
}

// On full machines the first task of a job that started overdue must not be the first to be preempted: the
// job would be overdue again at once.
TEST(Placement, TheFirstTaskOfAnOverdueJobIsPreemptedLast) {
    Cluster cluster;
    cluster.teams["x"] = {"x", 40, 40, 0, 0};
    core::Revision mod_revision = 0;
    const auto run = [&](const char* id, const char* machine, Micros accepted) {
        auto job = test::job(id, "x", 3, 4);
        job.priority = core::Priority::best_effort;
        job.accepted = accepted;
        cluster.job_table.put_job(job, ++mod_revision);
        core::Chunk chunk;
        chunk.mod_revision = ++mod_revision;
        chunk.open[0] = {1, machine, 1};
        chunk.last_attempt = 1;
        cluster.job_table.put_chunk(id, 0, chunk);
        auto heartbeat = test::heartbeat(machine, "small", "a");
        core::TaskStatus status;
        status.job = id;
        status.attempt = 1;
        status.state = core::TaskState::running;
        heartbeat.tasks.push_back(status);
        cluster.cluster_view.apply(heartbeat, cluster.now, cluster.now);
    };
    run("req-1", "n-1", cluster.now - Micros{95'000'000});
    run("req-2", "n-2", cluster.now);
    auto service = test::job("req-3", "x", 2, 4);
    service.kind = core::JobKind::service;
    service.priority = core::Priority::production;
    cluster.job_table.put_job(service, ++mod_revision);
    core::FreeCapacity capacity = cluster.free_capacity();
    const auto result = core::place(test::placement_input(cluster), capacity);
    ASSERT_EQ(result.stops.size(), 2U);  // req-1 may be stopped if nothing else is left
    EXPECT_EQ(result.stops[0].job, "req-2");
    EXPECT_EQ(result.stops[1].job, "req-1");
}

// A job that has missed all its objectives must not be queued behind every new job for as long as new jobs
// arrive.
TEST(Placement, AJobLateByAllItsObjectivesIsNotStarved) {
    core::JobTable job_table;
    const std::vector<core::Objective> objectives{{"finished", "c", 100, 0.9, 1},
                                                  {"finished", "c", 300, 0.9, 1}};
    auto late = test::job("req-1", "x", 1, 1);
    late.priority = core::Priority::best_effort;
    job_table.put_job(late, 1);
    const auto first_at = [&](int second, core::Priority new_job_priority) {
        const Micros wall_clock_now = late.accepted + Micros{second * 1'000'000LL};
        auto new_job = test::job("req-2", "x", 1, 1);
        new_job.accepted = wall_clock_now;
        new_job.priority = new_job_priority;
        core::JobTable both = job_table;
        both.put_job(new_job, 2);
        return core::queue_order(both, {"x"}, objectives, wall_clock_now).front()->job.id;
    };
    EXPECT_EQ(first_at(400, core::Priority::best_effort), "req-2");
    EXPECT_EQ(first_at(550, core::Priority::best_effort), "req-1");
    EXPECT_EQ(first_at(550, core::Priority::normal), "req-2");
    EXPECT_EQ(first_at(650, core::Priority::normal), "req-1") << "late by the last of its due times";
    EXPECT_EQ(first_at(650, core::Priority::production), "req-2");
}

TEST(Placement, AllTasksOfAGangStartOrNone) {
    Cluster cluster;
    cluster.teams["x"] = {"x", 24, 24, 0, 0};
    for (const char* id : {"n-1", "n-2"})
        cluster.cluster_view.apply(test::heartbeat(id, "small", "a"), cluster.now, cluster.now);
    auto gang = test::job("req-1", "x", 3, 4);
    gang.kind = core::JobKind::gang;
    cluster.job_table.put_job(gang, 1);
    core::FreeCapacity capacity = cluster.free_capacity();
    EXPECT_TRUE(core::place(test::placement_input(cluster), capacity).starts.empty());
    cluster.cluster_view.apply(test::heartbeat("n-3", "small", "b"), cluster.now, cluster.now);
    capacity = cluster.free_capacity();
    const auto result = core::place(test::placement_input(cluster), capacity);
    ASSERT_EQ(result.starts.size(), 3U);
    for (const auto& start : result.starts) EXPECT_EQ(start.attempt.number, 1U);
    gang.one_zone = true;
    cluster.job_table.put_job(gang, 2);
    capacity = cluster.free_capacity();
    EXPECT_TRUE(core::place(test::placement_input(cluster), capacity).starts.empty())
        << "no zone holds three";
}

// Applies the heartbeat of one machine that is fully used by the only task of req-1. Returns the heartbeat
// and the job's record, so that the test can change them.
std::pair<core::WorkerHeartbeat, core::Chunk> occupy(Cluster& cluster) {
    auto heartbeat = test::heartbeat("n-1", "small", "a");
    core::TaskStatus status;
    status.job = "req-1";
    status.attempt = 1;
    status.state = core::TaskState::running;
    heartbeat.tasks = {status};
    cluster.cluster_view.apply(heartbeat, cluster.now, cluster.now);
    cluster.job_table.put_job(test::job("req-1", "x", 1, 4), 1);
    core::Chunk chunk;
    chunk.mod_revision = 2;
    chunk.open[0] = {1, "n-1", 1};
    cluster.job_table.put_chunk("req-1", 0, chunk);
    return {heartbeat, chunk};
}

TEST(Placement, PreemptsForProductionAndReservesTheCapacity) {
    Cluster cluster;
    cluster.teams["x"] = {"x", 4, 24, 0, 0};
    cluster.teams["y"] = {"y", 4, 24, 0, 0};
    auto [heartbeat, chunk] = occupy(cluster);
    auto service = test::job("req-2", "y", 1, 1);
    service.kind = core::JobKind::service;
    service.priority = core::Priority::production;
    service.spot = false;
    cluster.job_table.put_job(service, 3);
    auto input = test::placement_input(cluster);
    core::FreeCapacity capacity = cluster.free_capacity();
    auto result = core::place(input, capacity);
    ASSERT_EQ(result.stops.size(), 1U);
    EXPECT_TRUE(result.starts.empty());
    ASSERT_EQ(result.reservations.size(), 1U);
    // While the victim is stopping, nothing more is stopped for the service.
    input.reservations = result.reservations;
    capacity = cluster.free_capacity();
    result = core::place(input, capacity);
    EXPECT_TRUE(result.stops.empty());
    // After the victim has ended, the service gets the capacity although the victim is queued too.
    chunk.mod_revision = 4;
    chunk.open.clear();
    cluster.job_table.put_chunk("req-1", 0, chunk);
    heartbeat.tasks.clear();
    heartbeat.heartbeat_sequence = 2;
    cluster.cluster_view.apply(heartbeat, cluster.now, cluster.now);
    capacity = cluster.free_capacity();
    result = core::place(input, capacity);
    ASSERT_EQ(result.starts.size(), 1U);
    EXPECT_EQ(result.starts[0].job, "req-2");
}

TEST(Placement, ATeamWithMoreQueuedThanItsQuotaDoesNotPreempt) {
    Cluster cluster;
    cluster.teams["x"] = {"x", 0, 24, 0, 0};
    cluster.teams["y"] = {"y", 4, 24, 0, 0};
    occupy(cluster);
    cluster.job_table.put_job(test::job("req-2", "y", 2, 4), 3);
    core::FreeCapacity capacity = cluster.free_capacity();
    EXPECT_TRUE(core::place(test::placement_input(cluster), capacity).stops.empty());
    cluster.job_table.put_job(test::job("req-2", "y", 1, 4), 4);
    capacity = cluster.free_capacity();
    EXPECT_EQ(core::place(test::placement_input(cluster), capacity).stops.size(), 1U)
        << "within its quota it need not wait";
}

// A high-priority job of a team beyond its quota and a low-priority job of a team within its quota must not
// preempt each other in turn; without a common rank they did so thousands of times a day.
TEST(Placement, NoTwoJobsMayEachPreemptTheOther) {
    for (const bool higher_runs : {true, false}) {
        Cluster cluster;
        cluster.teams["x"] = {"x", 0, 24, 0, 0};  // beyond its quota, with the higher priority
        cluster.teams["y"] = {"y", 4, 24, 0, 0};  // within its quota, with the lower priority
        auto high = test::job("req-1", "x", 1, 4);
        high.priority = core::Priority::normal;
        auto low = test::job("req-2", "y", 1, 4);
        low.priority = core::Priority::best_effort;
        cluster.job_table.put_job(high, 1);
        cluster.job_table.put_job(low, 2);
        const std::string running = higher_runs ? "req-1" : "req-2";
        auto heartbeat = test::heartbeat("n-1", "small", "a");
        core::TaskStatus status;
        status.job = running;
        status.attempt = 1;
        status.state = core::TaskState::running;
        heartbeat.tasks = {status};
        cluster.cluster_view.apply(heartbeat, cluster.now, cluster.now);
        core::Chunk chunk;
        chunk.mod_revision = 3;
        chunk.open[0] = {1, "n-1", 1};
        cluster.job_table.put_chunk(running, 0, chunk);
        core::FreeCapacity capacity = cluster.free_capacity();
        EXPECT_EQ(core::place(test::placement_input(cluster), capacity).stops.size(), higher_runs ? 1U : 0U);
    }
}

// If a wait objective counted to the job's end, as other objectives do, arrays would look late too early.
TEST(Queue, AWaitObjectiveEndsAtTheStart) {
    core::Job job = test::job("req-1", "x", 4, 1);
    job.estimate_s = 20;
    const std::vector<core::Objective> wait{{"wait", "c", 80, 0.9, 1}};
    EXPECT_EQ(core::due_time(job, wait, job.accepted), job.accepted + core::Micros{100'000'000});
    // The objective can still be met if a start now would end later than 80 s after acceptance.
    const auto late = job.accepted + core::Micros{75'000'000};
    EXPECT_EQ(core::due_time(job, wait, late), job.accepted + core::Micros{100'000'000});
    const std::vector<core::Objective> done{{"finished", "c", 80, 0.9, 1}};
    EXPECT_EQ(core::due_time(job, done, job.accepted), job.accepted + core::Micros{80'000'000});
}

}  // namespace
}  // namespace hatchwind
