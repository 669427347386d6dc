// Jobs left waiting beside free machines, although their team was under its limit.
//
// What happens: tests/scenarios/gap.toml, seed 35. From 158 s on team "tides" (limit 48 CPUs) starts hardly
// anything, while up to three machines of 8 CPUs are empty. Four arrays wait for more than 90 s.
//
// Why: a gang of 16 CPUs (req-416431, accepted at 9.8 s) is the oldest job of the team that has not begun. It
// does not fit beside the 34 to 40 CPUs that arrays of the team use, so each pass leaves the rest of the
// limit to it and starts nothing else of the team. Nothing is stopped for it either, although it has the
// higher priority: the team waits until enough tasks of two minutes have ended by themselves.
//
// What showed it: the trace of that run. Use of the team was 40 CPUs at 205 s, 38 at 230 s and 34 at 250 s;
// three machines were empty at 205 s and at 230 s, and 6 CPUs free on two machines at 250 s. The gang needs
// 32 or less.
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

// A team with a limit of 8 CPUs, whose array runs six tasks of one CPU on a machine of 16; beside it an empty
// one.
class TeamAtItsLimit {
  public:
    explicit TeamAtItsLimit(core::Priority array_priority) {
        cluster.teams["x"] = {"x", kLimit, kLimit, 0, 0};
        core::Job array = test::job("req-2", "x", kRunningTasks, 1);
        array.priority = array_priority;
        cluster.job_table.put_job(array, 1);
        cluster.now += core::kBeginWithin * 2;
        record_running({}, 1);
        cluster.cluster_view.apply(test::heartbeat("n-2", "big", "b"), cluster.now, cluster.now);
    }

    core::PlacementResult place() const {
        core::FreeCapacity capacity = cluster.free_capacity();
        return core::place(test::placement_input(cluster), capacity);
    }

    // The tasks have exited, and their ends are recorded.
    void end(const std::vector<core::Stop>& stops) {
        std::set<std::uint32_t> ended;
        for (const auto& stop : stops) ended.insert(stop.task);
        record_running(ended, 2);
    }

    Cluster cluster;

  private:
    // All tasks but those that ended run, as of that mod revision and heartbeat.
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

// The gang needs 4 of 8 CPUs, of which 6 are used: two tasks have to go, and then it starts.
TEST(GangAtTheTeamsLimit, StopsLowerPriorityTasksOfItsOwnTeam) {
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

// While those that were told to stop are still there, no others are stopped.
TEST(GangAtTheTeamsLimit, StopsNobodyElseWhileTheFirstStopsAreUnderWay) {
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

// Work of the same priority is not stopped, nor is anything when the gang would not fit all the same.
TEST(GangAtTheTeamsLimit, StopsNothingOfItsOwnPriorityAndNothingInVain) {
    TeamAtItsLimit equal{core::Priority::high};
    equal.cluster.job_table.put_job(overdue_gang(2, 2), 3);
    EXPECT_TRUE(equal.place().stops.empty());
    TeamAtItsLimit hopeless{core::Priority::normal};
    hopeless.cluster.job_table.put_job(overdue_gang(5, 2), 3);
    EXPECT_TRUE(hopeless.place().stops.empty());
}

// Generated clusters: what is stopped for an overdue gang is lower work of its own team, never a gang or a
// service of production; and the pass keeps the team's limit.
TEST(GangAtTheTeamsLimit, KeepsTheRulesOnAnyCluster) {
    test::holds("stops are lower work, the limit holds", [] {
        Cluster c = test::draw_cluster();
        const auto tasks = *rc::gen::inRange<std::uint32_t>(1, 6);
        core::Job gang = overdue_gang(tasks, *rc::gen::element(1.0, 2.0, 4.0));
        gang.id = "req-900";
        c.job_table.put_job(gang, 1'000);
        c.now += core::kBeginWithin * 2;
        core::FreeCapacity capacity = c.free_capacity();
        const auto out = core::place(test::placement_input(c), capacity);
        std::map<std::string, core::Resources> use;
        for (const auto& [name, team] : c.teams) use[name] = c.job_table.team_use(name);
        for (const auto& start : out.starts) {
            const core::Job& job = c.job_table.find(start.job)->job;
            use[job.team] += job.resources;
        }
        for (const auto& [name, team] : c.teams) RC_ASSERT(use[name].cpus <= team.cpus_max + 1e-6);
        std::set<core::TaskRef> stopped;
        for (const auto& stop : out.stops) {
            const core::Job& job = c.job_table.find(stop.job)->job;
            RC_ASSERT(job.kind != core::JobKind::gang);
            RC_ASSERT(job.priority != core::Priority::production);
            RC_ASSERT((stopped.insert({stop.job, stop.task}).second));
        }
        RC_ASSERT(out.stops.size() <= test::placement_input(c).most_stops);
    });
}

TEST(GangAtTheTeamsLimit, LeavesNoJobWaitingAfterARefusalAndAnOutage) {
    const auto play = test::play_scenario("gap", kSeed);
    EXPECT_EQ(play->checker().counts().waiting, std::vector<std::string>{});
    EXPECT_TRUE(play->checker().violations().empty()) << play->verdict();
}

}  // namespace
}  // namespace hatchwind
