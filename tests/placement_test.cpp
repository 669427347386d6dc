#include "core/placement.hpp"

#include "support.hpp"

namespace hatchwind {
namespace {

using core::Micros;
using test::Cluster;
using test::holds;

TEST(Placement, KeepsEveryRuleOnAnyCluster) {
    holds("quota, free capacity, type, zones, kind", [] {
        const Cluster c = test::draw_cluster();
        core::FreeCapacity capacity = c.free_capacity();
        const core::FreeCapacity before = c.free_capacity();
        const auto out = core::place(test::placement_input(c), capacity);
        std::map<std::string, core::Resources> use;
        std::map<std::string, core::Resources> free;
        for (const auto& [name, t] : c.teams) use[name] = c.job_table.team_use(name);
        for (const auto& m : before.machines()) free[m.id] = m.free;
        std::map<std::string, core::ZoneUse> zones;
        std::set<core::TaskRef> seen;
        for (const auto& s : out.starts) {
            const auto& e = *c.job_table.find(s.job);
            const auto& m = *before.find(s.attempt.machine);
            RC_ASSERT((seen.insert({s.job, s.task}).second));
            RC_ASSERT(c.job_table.open_attempt(s.job, s.task) == nullptr);
            RC_ASSERT(!m.spot || e.job.spot);
            RC_ASSERT(s.attempt.incarnation == m.incarnation);
            use[e.job.team] += e.job.resources;
            free[m.id] -= e.job.resources;
            auto& z = zones.try_emplace(s.job, core::ZoneUse::of(e, before)).first->second;
            RC_ASSERT(z.allows(e.job, m.zone));
            z.add(m.zone);
        }
        for (const auto& [name, t] : c.teams) RC_ASSERT(use[name].cpus <= t.cpus_max + 1e-6);
        for (const auto& [id, f] : free) RC_ASSERT(f.cpus >= -1e-6);
        // Only what may be stopped is stopped.
        for (const auto& s : out.stops) {
            const auto* a = c.job_table.open_attempt(s.job, s.task);
            RC_ASSERT(a != nullptr && *a == s.attempt);
            RC_ASSERT(c.job_table.find(s.job)->job.kind != core::JobKind::gang);
        }
    });
}

TEST(Placement, NeverUsesCordonedMachinesAndUsesDrainCandidatesLast) {
    Cluster c;
    c.teams["x"] = {"x", 8, 24, 0, 0};
    for (const char* id : {"n-1", "n-2", "n-3"})
        c.cluster_view.apply(test::heartbeat(id, "small", "a"), c.now, c.now);
    c.job_table.put_job(test::job("req-1", "x", 2, 4), 1);
    core::Availability a;
    a.now = c.now;
    a.silent_after = Micros{10'000'000};
    a.draining = {"n-1"};
    a.candidates = {"n-2"};
    core::FreeCapacity capacity = c.free_capacity(&a);
    const auto out = core::place(test::placement_input(c), capacity);
    ASSERT_EQ(out.starts.size(), 2U);
    EXPECT_EQ(out.starts[0].attempt.machine, "n-3");
    EXPECT_EQ(out.starts[1].attempt.machine, "n-2");
}

TEST(Placement, PrefersAMachineThatHasTheImage) {
    Cluster c;
    c.teams["x"] = {"x", 8, 24, 0, 0};
    for (const char* id : {"n-1", "n-2", "n-3"})
        c.cluster_view.apply(test::heartbeat(id, "small", "a", true), c.now, c.now);
    c.cluster_view.record_image("n-3", "img", 1, 20, c.now);
    c.job_table.put_job(test::job("req-1", "x", 1, 1), 1);
    core::FreeCapacity capacity = c.free_capacity();
    const auto out = core::place(test::placement_input(c), capacity);
    ASSERT_EQ(out.starts.size(), 1U);
    EXPECT_EQ(out.starts[0].attempt.machine, "n-3");
}

// Under overload the job that waited longest was always served first, and each was late in its turn.
TEST(Placement, WhatCanStillBeInTimeGoesBeforeWhatIsLate) {
    core::JobTable l;
    const std::vector<core::Objective> objectives{{"finished", "c", 100, 0.9, 1},
                                                  {"finished", "c", 300, 0.9, 1}};
    auto late = test::job("req-1", "x", 1, 1);
    auto fresh = test::job("req-2", "x", 1, 1);
    fresh.accepted = late.accepted + Micros{90'000'000};
    l.put_job(late, 1);
    l.put_job(fresh, 2);
    const Micros soon = late.accepted + Micros{60'000'000};
    EXPECT_EQ(core::queue_order(l, {"x"}, objectives, soon).front()->job.id, "req-1");
    const Micros later = late.accepted + Micros{95'000'000};
    EXPECT_EQ(core::queue_order(l, {"x"}, objectives, later).front()->job.id, "req-2");
    // The second objective comes near.
    const Micros end = late.accepted + Micros{265'000'000};
    EXPECT_EQ(core::queue_order(l, {"x"}, objectives, end).front()->job.id, "req-1");
}

// Each shard owner filled the capacity that was freed from its own queue, beyond its teams' quotas, and the
// shard owner of a team whose quota it was reserved for preempted that work again.
TEST(Placement, WorkBeyondTheGuaranteeLeavesCapacityReservedForAnotherTeamsQuota) {
    Cluster c;
    c.teams["x"] = {"x", 4, 40, 0, 0};
    c.teams["y"] = {"y", 4, 40, 0, 0};
    c.cluster_view.apply(test::heartbeat("n-1", "big", "a"), c.now, c.now);
    auto own = test::job("req-1", "x", 20, 1);  // more than the guarantee, so not within it
    own.accepted = c.now;
    c.job_table.put_job(own, 1);
    auto in = test::placement_input(c);
    in.own_teams = {"x"};
    in.most_starts = 100;
    const auto starts = [&] {
        core::FreeCapacity capacity = c.free_capacity();
        return core::place(in, capacity).starts.size();
    };
    EXPECT_EQ(starts(), 16U);
    auto reserved = test::job("req-2", "y", 4, 1);
    reserved.accepted = c.now;
    c.job_table.put_job(reserved, 2);
    EXPECT_EQ(starts(), 12U);
    // What has waited for long waits for something else than capacity.
    in.wall_clock_now = c.now + Micros{61'000'000};
    EXPECT_EQ(starts(), 16U);
    // With all of it owed, an overdue job begins all the same, with one task.
    c.teams["y"].cpus = 40;
    in.wall_clock_now = c.now + Micros{91'000'000};
    auto more = test::job("req-3", "y", 20, 1);
    more.accepted = in.wall_clock_now;
    c.job_table.put_job(more, 3);
    EXPECT_EQ(starts(), 1U);
}

// On a full fleet the first task of a job that had to begin was stopped as soon as anything else came.
TEST(Placement, TheFirstTaskOfAnOverdueJobIsPreemptedLast) {
    Cluster c;
    c.teams["x"] = {"x", 40, 40, 0, 0};
    core::Revision mod_revision = 0;
    const auto run = [&](const char* id, const char* machine, Micros accepted) {
        auto j = test::job(id, "x", 3, 4);
        j.priority = core::Priority::best_effort;
        j.accepted = accepted;
        c.job_table.put_job(j, ++mod_revision);
        core::Chunk chunk;
        chunk.mod_revision = ++mod_revision;
        chunk.open[0] = {1, machine, 1};
        chunk.last_attempt = 1;
        c.job_table.put_chunk(id, 0, chunk);
        auto r = test::heartbeat(machine, "small", "a");
        core::TaskStatus t;
        t.job = id;
        t.attempt = 1;
        t.state = core::TaskState::running;
        r.tasks.push_back(t);
        c.cluster_view.apply(r, c.now, c.now);
    };
    run("req-1", "n-1", c.now - Micros{95'000'000});
    run("req-2", "n-2", c.now);
    auto service = test::job("req-3", "x", 2, 4);
    service.kind = core::JobKind::service;
    service.priority = core::Priority::production;
    c.job_table.put_job(service, ++mod_revision);
    core::FreeCapacity capacity = c.free_capacity();
    const auto out = core::place(test::placement_input(c), capacity);
    ASSERT_EQ(out.stops.size(), 2U);  // it may be stopped, if there is nothing else
    EXPECT_EQ(out.stops[0].job, "req-2");
    EXPECT_EQ(out.stops[1].job, "req-1");
}

// Work that has missed all its wishes moved behind every newcomer, for as long as newcomers came.
TEST(Placement, AJobLateByAllItsObjectivesIsNotStarved) {
    core::JobTable l;
    const std::vector<core::Objective> objectives{{"finished", "c", 100, 0.9, 1},
                                                  {"finished", "c", 300, 0.9, 1}};
    auto late = test::job("req-1", "x", 1, 1);
    late.priority = core::Priority::best_effort;
    l.put_job(late, 1);
    const auto first_at = [&](int second, core::Priority newcomer) {
        const Micros wall_clock_now = late.accepted + Micros{second * 1'000'000LL};
        auto fresh = test::job("req-2", "x", 1, 1);
        fresh.accepted = wall_clock_now;
        fresh.priority = newcomer;
        core::JobTable both = l;
        both.put_job(fresh, 2);
        return core::queue_order(both, {"x"}, objectives, wall_clock_now).front()->job.id;
    };
    EXPECT_EQ(first_at(400, core::Priority::best_effort), "req-2");
    EXPECT_EQ(first_at(550, core::Priority::best_effort), "req-1");
    EXPECT_EQ(first_at(550, core::Priority::normal), "req-2");
    EXPECT_EQ(first_at(650, core::Priority::normal), "req-1") << "late by the last of its due times";
    EXPECT_EQ(first_at(650, core::Priority::production), "req-2");
}

TEST(Placement, AGangStartsWholeOrNotAtAll) {
    Cluster c;
    c.teams["x"] = {"x", 24, 24, 0, 0};
    for (const char* id : {"n-1", "n-2"})
        c.cluster_view.apply(test::heartbeat(id, "small", "a"), c.now, c.now);
    auto gang = test::job("req-1", "x", 3, 4);
    gang.kind = core::JobKind::gang;
    c.job_table.put_job(gang, 1);
    core::FreeCapacity capacity = c.free_capacity();
    EXPECT_TRUE(core::place(test::placement_input(c), capacity).starts.empty());
    c.cluster_view.apply(test::heartbeat("n-3", "small", "b"), c.now, c.now);
    capacity = c.free_capacity();
    const auto out = core::place(test::placement_input(c), capacity);
    ASSERT_EQ(out.starts.size(), 3U);
    for (const auto& s : out.starts) EXPECT_EQ(s.attempt.number, 1U);
    gang.one_zone = true;
    c.job_table.put_job(gang, 2);
    capacity = c.free_capacity();
    EXPECT_TRUE(core::place(test::placement_input(c), capacity).starts.empty()) << "no zone holds three";
}

// One machine, full of req-1's only task. Returns the machine's heartbeat and the job's record for what comes
// next.
std::pair<core::WorkerHeartbeat, core::Chunk> occupy(Cluster& c) {
    auto r = test::heartbeat("n-1", "small", "a");
    core::TaskStatus t;
    t.job = "req-1";
    t.attempt = 1;
    t.state = core::TaskState::running;
    r.tasks = {t};
    c.cluster_view.apply(r, c.now, c.now);
    c.job_table.put_job(test::job("req-1", "x", 1, 4), 1);
    core::Chunk chunk;
    chunk.mod_revision = 2;
    chunk.open[0] = {1, "n-1", 1};
    c.job_table.put_chunk("req-1", 0, chunk);
    return {r, chunk};
}

TEST(Placement, PreemptsForProductionAndReservesTheCapacity) {
    Cluster c;
    c.teams["x"] = {"x", 4, 24, 0, 0};
    c.teams["y"] = {"y", 4, 24, 0, 0};
    auto [r, chunk] = occupy(c);
    auto service = test::job("req-2", "y", 1, 1);
    service.kind = core::JobKind::service;
    service.priority = core::Priority::production;
    service.spot = false;
    c.job_table.put_job(service, 3);
    auto in = test::placement_input(c);
    core::FreeCapacity capacity = c.free_capacity();
    auto out = core::place(in, capacity);
    ASSERT_EQ(out.stops.size(), 1U);
    EXPECT_TRUE(out.starts.empty());
    ASSERT_EQ(out.reservations.size(), 1U);
    // While the stop is under way nothing more is stopped for it.
    in.reservations = out.reservations;
    capacity = c.free_capacity();
    out = core::place(in, capacity);
    EXPECT_TRUE(out.stops.empty());
    // The victim has ended: the capacity is the service's, though the victim is queued too.
    chunk.mod_revision = 4;
    chunk.open.clear();
    c.job_table.put_chunk("req-1", 0, chunk);
    r.tasks.clear();
    r.heartbeat_sequence = 2;
    c.cluster_view.apply(r, c.now, c.now);
    capacity = c.free_capacity();
    out = core::place(in, capacity);
    ASSERT_EQ(out.starts.size(), 1U);
    EXPECT_EQ(out.starts[0].job, "req-2");
}

TEST(Placement, ATeamWithMoreQueuedThanItsGuaranteePreemptsNobody) {
    Cluster c;
    c.teams["x"] = {"x", 0, 24, 0, 0};
    c.teams["y"] = {"y", 4, 24, 0, 0};
    occupy(c);
    c.job_table.put_job(test::job("req-2", "y", 2, 4), 3);
    core::FreeCapacity capacity = c.free_capacity();
    EXPECT_TRUE(core::place(test::placement_input(c), capacity).stops.empty());
    c.job_table.put_job(test::job("req-2", "y", 1, 4), 4);
    capacity = c.free_capacity();
    EXPECT_EQ(core::place(test::placement_input(c), capacity).stops.size(), 1U)
        << "within its guarantee it need not wait";
}

// A team beyond its guarantee but with higher priority, and one within its guarantee, once stopped each
// other's tasks thousands of times a day.
TEST(Placement, NoTwoJobsMayEachPreemptTheOther) {
    for (const bool higher_runs : {true, false}) {
        Cluster c;
        c.teams["x"] = {"x", 0, 24, 0, 0};  // beyond its guarantee, with the higher priority
        c.teams["y"] = {"y", 4, 24, 0, 0};  // within its guarantee, with the lower one
        auto high = test::job("req-1", "x", 1, 4);
        high.priority = core::Priority::normal;
        auto low = test::job("req-2", "y", 1, 4);
        low.priority = core::Priority::best_effort;
        c.job_table.put_job(high, 1);
        c.job_table.put_job(low, 2);
        const std::string running = higher_runs ? "req-1" : "req-2";
        auto r = test::heartbeat("n-1", "small", "a");
        core::TaskStatus t;
        t.job = running;
        t.attempt = 1;
        t.state = core::TaskState::running;
        r.tasks = {t};
        c.cluster_view.apply(r, c.now, c.now);
        core::Chunk chunk;
        chunk.mod_revision = 3;
        chunk.open[0] = {1, "n-1", 1};
        c.job_table.put_chunk(running, 0, chunk);
        core::FreeCapacity capacity = c.free_capacity();
        EXPECT_EQ(core::place(test::placement_input(c), capacity).stops.size(), higher_runs ? 1U : 0U);
    }
}

// Counted to the job's end, as other wishes are, a wish for the start made arrays look late before their
// time.
TEST(Queue, AnObjectiveForTheWaitEndsWithTheStart) {
    core::Job j = test::job("req-1", "x", 4, 1);
    j.estimate_s = 20;
    const std::vector<core::Objective> wait{{"wait", "c", 80, 0.9, 1}};
    EXPECT_EQ(core::due_time(j, wait, j.accepted), j.accepted + core::Micros{100'000'000});
    // It can still be met when a start now would end later than 80 s after acceptance.
    const auto late = j.accepted + core::Micros{75'000'000};
    EXPECT_EQ(core::due_time(j, wait, late), j.accepted + core::Micros{100'000'000});
    const std::vector<core::Objective> done{{"finished", "c", 80, 0.9, 1}};
    EXPECT_EQ(core::due_time(j, done, j.accepted), j.accepted + core::Micros{80'000'000});
}

}  // namespace
}  // namespace hatchwind
