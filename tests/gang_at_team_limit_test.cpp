// Guards against jobs that wait beside free machines although their team is below its limit.
//
// Without preemption for an overdue gang, tests/scenarios/gap.toml with seed 35 shows the failure: a gang of
// 16 CPUs (req-416431, accepted at 9.8 s) is the oldest unstarted job of team "tides", whose limit is 48
// CPUs. Arrays of the team use 34 to 40 CPUs, and the gang starts only if they use 32 or less. Each pass
// reserves the rest of the limit for the gang, so from 158 s on the team starts hardly anything until enough
// tasks of two minutes have ended. Up to three machines of 8 CPUs are empty, and four arrays wait for more
// than 90 s. Trace of the team's use: 40 CPUs at 205 s, 38 at 230 s, 34 at 250 s; three machines were empty
// at 205 s and at 230 s, and 6 CPUs were free on two machines at 250 s.
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "scenario_run.hpp"
#include "support.hpp"

namespace hatchwind {
namespace {

using test::Cluster;

constexpr std::uint64_t kSeed = 35;
constexpr std::uint32_t kRunningTasks = 6;
constexpr double kLimit = 8;

core::Job overdue_gang(std::uint32_t tasks, double cpus) {
    core::Job gang = test::job("req-1", "x", tasks, cpus);
    gang.kind = core::JobKind::gang;
    gang.priority = core::Priority::high;
    gang.one_zone = true;
    return gang;
}

// A team with a limit of 8 CPUs. Its array runs six tasks of one CPU on a machine with 16 CPUs; a second
// machine is empty.
class TeamAtItsLimit {
  public:
    explicit TeamAtItsLimit(core::Priority array_priority) {
        cluster.teams["x"] = {"x", kLimit, kLimit, 0, 0};
        core::Job array = test::job("req-2", "x", kRunningTasks, 1);
        array.priority = array_priority;
        cluster.job_table.put_job(array, 1);
        cluster.now += core::kOverdueAfter * 2;
        record_running({}, 1);
        cluster.cluster_view.apply(test::heartbeat("n-2", "big", "b"), cluster.now, cluster.now);
    }

    core::PlacementResult place() const {
        core::FreeCapacity capacity = cluster.free_capacity();
        return core::place(test::placement_input(cluster), capacity);
    }

    // Makes the preempted tasks exit, and records their ends.
    void end(const std::vector<core::Stop>& stops) {
        std::set<std::uint32_t> ended;
        for (const auto& stop : stops) ended.insert(stop.task);
        record_running(ended, 2);
    }

    Cluster cluster;

  private:
    // Records and reports all tasks except the ended ones as running. `version`: mod revision of the chunk
    // and sequence number of the heartbeat.
    void record_running(const std::set<std::uint32_t>& ended, std::uint64_t version) {
        core::Chunk chunk;
        chunk.mod_revision = version;
        chunk.last_attempt = 1;
        auto busy = test::heartbeat("n-1", "big", "a");
        busy.heartbeat_sequence = version;
        for (std::uint32_t task = 0; task < kRunningTasks; ++task) {
            if (ended.contains(task)) continue;
            chunk.open[task] = {1, "n-1", 1};
            busy.tasks.push_back(test::task_status("req-2", task, 1));
        }
        cluster.job_table.put_chunk("req-2", 0, chunk);
        cluster.cluster_view.apply(busy, cluster.now, cluster.now);
    }
};

// The gang needs 4 of 8 CPUs, of which 6 are used: two tasks are preempted, and then the gang starts.
TEST(GangAtTheTeamsLimit, PreemptsLowerPriorityTasksOfItsOwnTeam) {
    TeamAtItsLimit team{core::Priority::normal};
    team.cluster.job_table.put_job(overdue_gang(2, 2), 3);
    const auto first = team.place();
    EXPECT_TRUE(first.starts.empty());
    ASSERT_EQ(first.stops.size(), 2U);
    EXPECT_EQ(first.stops.front().job, "req-2");
    team.end(first.stops);
    const auto second = team.place();
    EXPECT_TRUE(second.stops.empty());
    ASSERT_EQ(second.starts.size(), 2U);
    EXPECT_EQ(second.starts.front().job, "req-1");
}

// While preempted tasks have not exited yet, no other tasks are preempted.
TEST(GangAtTheTeamsLimit, PreemptsNoOtherTasksWhilePreemptionsAreUnderWay) {
    TeamAtItsLimit team{core::Priority::normal};
    team.cluster.job_table.put_job(overdue_gang(2, 2), 3);
    const auto first = team.place();
    ASSERT_EQ(first.stops.size(), 2U);
    core::FreeCapacity capacity = team.cluster.free_capacity();
    core::PlacementInput input = test::placement_input(team.cluster);
    input.reservations = first.reservations;
    for (const auto& stop : first.stops) input.stopping.insert({stop.job, stop.task});
    const auto second = core::place(input, capacity);
    EXPECT_TRUE(second.stops.empty());
    EXPECT_TRUE(second.starts.empty());
}

// Tasks of the same priority are not preempted, and none are preempted if the gang would still not fit.
TEST(GangAtTheTeamsLimit, PreemptsNoTaskOfItsOwnPriorityAndNoneIfItWouldStillNotFit) {
    TeamAtItsLimit equal{core::Priority::high};
    equal.cluster.job_table.put_job(overdue_gang(2, 2), 3);
    EXPECT_TRUE(equal.place().stops.empty());
    TeamAtItsLimit too_large{core::Priority::normal};
    too_large.cluster.job_table.put_job(overdue_gang(5, 2), 3);
    EXPECT_TRUE(too_large.place().stops.empty());
}

// On generated clusters, preemptions for an overdue gang affect neither gangs nor production jobs, no task is
// preempted twice, and the pass keeps the teams' limits.
TEST(GangAtTheTeamsLimit, PreemptsNeitherGangsNorProductionAndKeepsLimitsOnGeneratedClusters) {
    test::check_property("stops are lower work, the limit holds", [] {
        Cluster cluster = test::draw_cluster();
        const auto tasks = *rc::gen::inRange<std::uint32_t>(1, 6);
        core::Job gang = overdue_gang(tasks, *rc::gen::element(1.0, 2.0, 4.0));
        gang.id = "req-900";
        cluster.job_table.put_job(gang, 1'000);
        cluster.now += core::kOverdueAfter * 2;
        core::FreeCapacity capacity = cluster.free_capacity();
        const auto result = core::place(test::placement_input(cluster), capacity);
        std::map<std::string, core::Resources> use;
        for (const auto& [name, team] : cluster.teams) use[name] = cluster.job_table.team_use(name);
        for (const auto& start : result.starts) {
            const core::Job& job = cluster.job_table.find(start.job)->job;
            use[job.team] += job.resources;
        }
        for (const auto& [name, team] : cluster.teams) RC_ASSERT(use[name].cpus <= team.cpus_max + 1e-6);
        std::set<core::TaskRef> stopped;
        for (const auto& stop : result.stops) {
            const core::Job& job = cluster.job_table.find(stop.job)->job;
            RC_ASSERT(job.kind != core::JobKind::gang);
            RC_ASSERT(job.priority != core::Priority::production);
            RC_ASSERT((stopped.insert({stop.job, stop.task}).second));
        }
        RC_ASSERT(result.stops.size() <= test::placement_input(cluster).max_stops);
    });
}

TEST(GangAtTheTeamsLimit, LeavesNoJobWaitingAfterARefusalAndAnOutage) {
    const auto play = test::play_scenario("gap", kSeed);
    EXPECT_EQ(play->checker().counts().waiting, std::vector<std::string>{});
    EXPECT_TRUE(play->checker().violations().empty()) << play->verdict();
}

}  // namespace
}  // namespace hatchwind
