// Combinations of two faults, such as a leader crash, unreachable machines, late commands and heartbeats, or
// a slow store. Each test covers one combination; docs/reliability-owners.md lists what each test guards.
#include <algorithm>

#include "core/failure_detection.hpp"
#include "support.hpp"
#include "test_deployment.hpp"

namespace hatchwind {
namespace {

using io::Micros;
using io::Task;
using test::TestDeployment;
using wire::Json;

// Records one attempt of the job in the job table, and lists it as running in the machine's heartbeat.
void run_on(test::Cluster& cluster, core::WorkerHeartbeat& machine, const core::Job& job,
            core::Revision mod_revision) {
    cluster.job_table.put_job(job, mod_revision);
    core::Chunk chunk;
    chunk.mod_revision = mod_revision;
    chunk.open[0] = {1, machine.machine, machine.incarnation};
    chunk.last_attempt = 1;
    cluster.job_table.put_chunk(job.id, 0, chunk);
    machine.tasks.push_back(test::task_status(job.id, 0, 1, core::TaskState::running));
}

// A preempted task counts against its team's limit until its worker reports its exit: it may be writing a
// checkpoint, its machine may hang, or the stop command may be late.
TEST(Quota, APreemptedTaskCountsUntilItHasExited) {
    test::Cluster cluster;
    cluster.teams["x"] = {"x", 4, 8, 0, 0};
    cluster.teams["y"] = {"y", 8, 24, 0, 0};
    auto wide = test::heartbeat("n-1", "small", "a");
    auto narrow = test::heartbeat("n-2", "small", "a");
    // Team x is at its limit of 8 CPUs, above its guarantee, and fills one machine with a task of 4 CPUs.
    auto victim = test::job("req-1", "x", 1, 4);
    victim.priority = core::Priority::best_effort;
    run_on(cluster, wide, victim, 1);
    auto other = test::job("req-2", "x", 1, 4);
    other.priority = core::Priority::production;
    auto elsewhere = test::heartbeat("n-3", "small", "a");
    run_on(cluster, elsewhere, other, 2);
    // One CPU is free on the second machine.
    auto filler = test::job("req-3", "y", 1, 3);
    filler.priority = core::Priority::production;
    run_on(cluster, narrow, filler, 3);
    for (const auto& r : {wide, narrow, elsewhere}) cluster.cluster_view.apply(r, cluster.now, cluster.now);
    // Team y needs a whole machine. Team x has a small waiting task, which fits into the free capacity.
    auto urgent = test::job("req-4", "y", 1, 4);
    urgent.kind = core::JobKind::service;
    urgent.priority = core::Priority::high;
    cluster.job_table.put_job(urgent, 4);
    auto small = test::job("req-5", "x", 1, 1);
    small.priority = core::Priority::normal;
    cluster.job_table.put_job(small, 5);

    core::FreeCapacity capacity = cluster.free_capacity();
    const auto result = core::place(test::placement_input(cluster), capacity);
    ASSERT_EQ(result.stops.size(), 1U);
    EXPECT_EQ(result.stops[0].job, "req-1");
    core::Resources use = cluster.job_table.team_use("x");
    for (const auto& start : result.starts) {
        if (cluster.job_table.find(start.job)->job.team == "x")
            use += cluster.job_table.find(start.job)->job.resources;
    }
    EXPECT_LE(use.cpus, 8 + core::kResourceTolerance) << "the preempted task is still on its machine";
}

// The cluster's only machine lists the exited first attempt of the job's first task, whose end is recorded.
core::WorkerHeartbeat list_exited_attempt(test::Cluster& cluster, const core::Job& job) {
    cluster.teams["x"] = {"x", 8, 24, 0, 0};
    auto machine = test::heartbeat("n-1", "small", "a");
    machine.tasks.push_back(test::task_status(job.id, 0, 1, core::TaskState::exited));
    cluster.cluster_view.apply(machine, cluster.now, cluster.now);
    cluster.job_table.put_job(job, 1);
    core::Chunk chunk;
    chunk.mod_revision = 2;
    chunk.last_attempt = 1;
    cluster.job_table.put_chunk(job.id, 0, chunk);
    return machine;
}

// The end of an attempt is recorded, but its worker still lists it: the acknowledgement of its exit was lost
// when a shard owner crashed, or is delayed because a duplicate of the start command is under way. If the new
// attempt had to wait for that acknowledgement, it would wait forever in a fleet with one suitable machine.
TEST(Placement, AnExitedAttemptThatIsStillListedBlocksNoNewAttempt) {
    test::Cluster cluster;
    auto machine = list_exited_attempt(cluster, test::job("req-1", "x", 1, 2));
    core::FreeCapacity capacity = cluster.free_capacity();
    const auto result = core::place(test::placement_input(cluster), capacity);
    ASSERT_EQ(result.starts.size(), 1U);
    EXPECT_EQ(result.starts[0].attempt.number, 2U);

    // The worker would refuse the new attempt while an attempt without a record is still running.
    machine.tasks[0].state = core::TaskState::running;
    ++machine.heartbeat_sequence;
    cluster.cluster_view.apply(machine, cluster.now, cluster.now);
    core::FreeCapacity again = cluster.free_capacity();
    EXPECT_TRUE(core::place(test::placement_input(cluster), again).starts.empty());
}

// The only machine that fits lists an exited task of the gang's previous attempt.
TEST(Placement, AnExitedAttemptOfAGangThatIsStillListedBlocksNoNewAttempt) {
    test::Cluster cluster;
    auto gang = test::job("req-1", "x", 2, 1);
    gang.kind = core::JobKind::gang;
    const auto machine = list_exited_attempt(cluster, gang);
    core::FreeCapacity capacity = cluster.free_capacity();
    const auto result = core::place(test::placement_input(cluster), capacity);
    ASSERT_EQ(result.starts.size(), 2U);
    EXPECT_EQ(result.starts[0].attempt.number, 2U);

    // A replacement for a task of a gang that still waits has the number of the exited attempt.
    core::Chunk chunk;
    chunk.mod_revision = 3;
    chunk.last_attempt = 1;
    chunk.open[1] = {1, "n-1", machine.incarnation};
    cluster.job_table.put_chunk("req-1", 0, chunk);
    core::FreeCapacity again = cluster.free_capacity();
    EXPECT_TRUE(core::place(test::placement_input(cluster), again).starts.empty());
}

// The rest of a team's limit is reserved for its overdue job, so that later jobs do not delay it forever. If
// the team's services alone prevent the job from starting, the reservation must not block the other jobs,
// because they would never start.
TEST(Placement, AnOverdueJobBlockedByItsTeamsServicesBlocksNoOtherJob) {
    test::Cluster cluster;
    cluster.teams["x"] = {"x", 8, 8, 0, 0};
    auto machine = test::heartbeat("n-1", "big", "a");
    auto service = test::job("req-1", "x", 1, 6);
    service.kind = core::JobKind::service;
    run_on(cluster, machine, service, 1);
    cluster.cluster_view.apply(machine, cluster.now, cluster.now);
    cluster.now += core::kOverdueAfter * 2;
    ++machine.heartbeat_sequence;
    cluster.cluster_view.apply(machine, cluster.now, cluster.now);
    cluster.job_table.put_job(test::job("req-2", "x", 1, 4), 2);
    cluster.job_table.put_job(test::job("req-3", "x", 1, 1), 3);
    core::FreeCapacity capacity = cluster.free_capacity();
    const auto result = core::place(test::placement_input(cluster), capacity);
    ASSERT_EQ(result.starts.size(), 1U);
    EXPECT_EQ(result.starts[0].job, "req-3");
}

Json submission(const std::string& id, const std::string& team, const std::string& form, int tasks,
                double cores) {
    return {{"id", id},         {"flock", "c"},      {"crew", team},     {"form", form},
            {"rank", "normal"}, {"legs", tasks},     {"cores", cores},   {"accelerators", 0.0},
            {"memGb", 1.0},     {"plate", "img"},    {"sizeGb", 0.1},    {"oneZone", false},
            {"spread", false},  {"borrowed", false}, {"expectS", 600.0}, {"markS", 0.0},
            {"stashS", 0.0}};
}

// Sets the lease duration and restarts the controllers.
void set_lease(TestDeployment& site, double seconds) {
    site.workload.lease_s = seconds;
    for (std::size_t i = 0; i < site.labels().size(); ++i) {
        site.kill(i);
        site.start(i);
    }
}

Task<void> submit(TestDeployment& site, std::string id, std::string team, std::string form, int tasks,
                  double cores) {
    auto task = site.retry_until("POST", "/api/jobs", submission(id, team, form, tasks, cores), {200, 201});
    co_await std::move(task);
}

Task<void> cancel(TestDeployment& site, std::string id) {
    auto task = site.retry_until("POST", "/api/jobs/" + id + "/cancel", nullptr, {200});
    co_await std::move(task);
}

Task<void> until(TestDeployment& site, std::function<bool()> reached) {
    auto waiting = site.until(std::move(reached));
    co_await std::move(waiting);
}

bool any_worker_lists(TestDeployment& site, const std::string& name) {
    return std::any_of(site.cloud.workers.begin(), site.cloud.workers.end(), [&](const auto& worker) {
        return worker.second->last_heartbeat.dump().find("\"" + name + "\"") != std::string::npos;
    });
}

std::string leader_other_than(TestDeployment& site, const std::string& old_leader) {
    const std::string now = site.leader();
    return now == old_leader ? "" : now;
}

// While the replica is reloaded, the shard owner records the end of an attempt and acknowledges its exit. The
// pages that arrive afterwards still show the attempt as open, and its worker no longer lists it. It must not
// be taken for an attempt whose start command was lost, and started again.
TEST(ReplicaReload, AnAttemptThatEndsDuringTheReloadIsNotStartedAgain) {
    TestDeployment test_site{1};
    test_site.workload.run_time = Micros{1'000'000};
    test_site.play([](TestDeployment& site) -> Task<void> {
        {
            auto step = submit(site, "req-1", "x", "sweep", 1, 1);
            co_await std::move(step);
        }
        {
            auto step = until(site, [&site] { return site.workload.running.size() == 1; });
            co_await std::move(step);
        }
        {
            // An exit is acknowledged in a later epoch than that of its start.
            site.write_next_epoch();
            auto step = site.until_workers_know_epoch();
            co_await std::move(step);
        }
        // The store no longer keeps the changes that the watch needs, which forces a reload. The pages arrive
        // so late that they predate the end of the attempt.
        site.state.list_latency = Micros{1'700'000};
        site.state.compacted_revision = site.state.revision + 1;
        {
            auto step = site.submit("req-2", "z", "sweep", 1);  // a change, so that the watch is reopened
            co_await std::move(step);
        }
        {
            auto step = until(site, [&site] {
                return site.state.items.contains("f/req-1") && !any_worker_lists(site, "req-1/0");
            });
            co_await std::move(step);
        }
        site.state.list_latency = Micros{0};
        site.state.hold_watches = true;  // the changes that the pages lack are delayed, too
        co_await site.loop.sleep(Micros{2'000'000});
        site.state.hold_watches = false;
        co_await site.loop.sleep(Micros{700'000});
        EXPECT_EQ(site.workload.started["req-1/0"], 1);
        EXPECT_EQ(site.workload.completed["req-1/0"], 1);
    });
}

// A start command is delayed and unanswered, and the job is cancelled in the meantime. The job's end may be
// recorded only when no copy of the command can still take effect.
TEST(DelayedCommands, AStartThatArrivesAfterTheCancellationRunsNothing) {
    TestDeployment test_site{1};
    test_site.workload.endless_jobs = {"req-2"};
    test_site.play([](TestDeployment& site) -> Task<void> {
        {
            auto step = site.run_until_done("req-1", "x", "sweep", 1);
            co_await std::move(step);
        }
        for (auto& [id, worker] : site.cloud.workers) worker->hold_commands = true;
        {
            auto step = site.submit("req-2", "x", "sweep", 1);
            co_await std::move(step);
        }
        {
            auto step = until(site, [&site] { return site.held_command_requests() > 0; });
            co_await std::move(step);
        }
        {
            auto step = cancel(site, "req-2");
            co_await std::move(step);
        }
        {
            auto step = until(site, [&site] { return site.state.items.contains("f/req-2"); });
            co_await std::move(step);
        }
        std::size_t held = 0;
        for (auto& [id, worker] : site.cloud.workers) {
            for (const auto& request : worker->held_requests) {
                if (request.dump().find("\"start\"") == std::string::npos) continue;
                ++held;
                EXPECT_FALSE(worker->deliver_late_commands(request))
                    << "the job has ended although its start may still arrive";
            }
        }
        EXPECT_GT(held, 0U);
        for (auto& [id, worker] : site.cloud.workers) worker->hold_commands = false;
        co_await site.loop.sleep(Micros{1'500'000});
        site.deliver_held_commands();
        co_await site.loop.sleep(Micros{100'000});
        EXPECT_TRUE(site.workload.running.empty())
            << "a start that arrived after the end of a cancelled job was executed";
    });
}

// Like the previous test, but the controllers restart and the machine is partitioned. The new shard owner has
// sent no start command, but that of the previous one may still take effect, since the worker has not
// received the new fencing token.
TEST(DelayedCommands, AStartOfThePreviousLeaderKeepsACancelledJobOpenUntilItIsStopped) {
    TestDeployment test_site{2};
    test_site.workload.endless_jobs = {"req-2"};
    set_lease(test_site, 8);
    test_site.play([](TestDeployment& site) -> Task<void> {
        {
            auto step = site.run_until_done("req-1", "x", "sweep", 1);
            co_await std::move(step);
        }
        for (auto& [id, worker] : site.cloud.workers) worker->hold_commands = true;
        {
            auto step = site.submit("req-2", "x", "sweep", 1);
            co_await std::move(step);
        }
        {
            auto step = until(site, [&site] { return site.held_command_requests() > 0; });
            co_await std::move(step);
        }
        for (auto& [id, worker] : site.cloud.workers) worker->unreachable = true;
        const std::string old_leader = site.leader();
        site.kill(0);
        site.kill(1);
        site.start(0);
        site.start(1);
        const auto before = site.epoch();
        {
            auto step = until(site, [&site, before] { return site.epoch() > before; });
            co_await std::move(step);
        }
        {
            auto step = cancel(site, "req-2");
            co_await std::move(step);
        }
        co_await site.loop.sleep(Micros{1'500'000});
        // The start may still take effect, so the job has not ended and still counts against its team's
        // limit.
        EXPECT_FALSE(site.state.items.contains("f/req-2"));
        bool ran = false;
        for (auto& [id, worker] : site.cloud.workers) {
            for (const auto& copy : worker->held_requests) ran = worker->deliver_late_commands(copy) || ran;
        }
        EXPECT_TRUE(ran) << "the worker has received the new fencing token, so this test proves nothing";
        for (auto& [id, worker] : site.cloud.workers) worker->unreachable = worker->hold_commands = false;
        {
            auto step = until(site, [&site] {
                return site.workload.running.empty() && site.state.items.contains("f/req-2");
            });
            co_await std::move(step);
        }
    });
}

// The heartbeats of a machine arrived, but its lease expired nevertheless: it may be unable to receive
// anything, so tasks placed on it would never start. It gets tasks again only after it has answered a
// request.
TEST(OneWayPartition, AWorkerOfANewIncarnationAnswersBeforeItTakesTasksAgain) {
    test::Cluster cluster;
    cluster.teams["x"] = {"x", 8, 24, 0, 0};
    cluster.job_table.put_job(test::job("req-1", "x", 1, 1), 1);
    const Micros stale_heartbeat_threshold{26'000'000};
    const auto starts = [&cluster] {
        core::FreeCapacity capacity = cluster.free_capacity();
        return core::place(test::placement_input(cluster), capacity).starts.size();
    };
    auto machine = test::heartbeat("n-1", "small", "a");
    cluster.cluster_view.apply(machine, cluster.now, cluster.now, true, stale_heartbeat_threshold);
    EXPECT_EQ(starts(), 1U);
    ++machine.heartbeat_sequence;
    cluster.cluster_view.apply(machine, cluster.now, cluster.now, false, stale_heartbeat_threshold);
    EXPECT_EQ(starts(), 1U);
    ++machine.heartbeat_sequence;
    ++machine.incarnation;
    cluster.cluster_view.apply(machine, cluster.now, cluster.now, false, stale_heartbeat_threshold);
    EXPECT_EQ(starts(), 0U);
    cluster.cluster_view.confirm("n-1");
    EXPECT_EQ(starts(), 1U);
}

// The heartbeats of a machine arrive, but no answers or commands reach it, and the leader crashes. The
// machine's lease expires on its own side. Its tasks must be placed elsewhere after that, and not earlier.
TEST(OneWayPartition, TasksMoveOnceTheLeaseHasExpiredAcrossAFailover) {
    TestDeployment test_site{2};
    test_site.workload.endless_jobs = {"req-1"};
    set_lease(test_site, 4);
    test_site.play([](TestDeployment& site) -> Task<void> {
        {
            auto step = submit(site, "req-1", "x", "service", 2, 3);
            co_await std::move(step);
        }
        {
            auto step = until(site, [&site] { return site.workload.running.size() == 2; });
            co_await std::move(step);
        }
        const Micros began = io::steady_now();
        const std::string partitioned = site.workload.running["req-1/0"];
        site.cloud.workers.at(partitioned)->unreachable = true;
        const std::string old_leader = site.leader();
        site.kill(site.index(old_leader));
        {
            auto step = until(site, [&site, partitioned] {
                const auto at = site.workload.running.find("req-1/0");
                return at != site.workload.running.end() && at->second != partitioned;
            });
            co_await std::move(step);
        }
        EXPECT_LT(io::steady_now() - began, Micros{30'000'000})
            << "the machine was considered alive after its lease had expired";
        EXPECT_GT(
            site.cloud.workers.contains(partitioned) ? site.cloud.workers.at(partitioned)->incarnation() : 2U,
            1U);
        {
            auto step = site.until_status("req-1", "running");
            co_await std::move(step);
        }
    });
}

// All controllers are down for longer than a lease. After their restart, each of them repeatedly receives
// stale heartbeats of ended incarnations before any others.
TEST(StaleHeartbeats, FromEndedIncarnationsToRestartedControllersStartNoTaskTwice) {
    TestDeployment test_site{3};
    test_site.workload.endless_jobs = {"req-1", "req-2"};
    set_lease(test_site, 2);
    test_site.play([](TestDeployment& site) -> Task<void> {
        for (const char* id : {"req-1", "req-2"}) {
            auto step = submit(site, id, id == std::string("req-1") ? "x" : "y", "service", 2, 2);
            co_await std::move(step);
        }
        {
            auto step = until(site, [&site] { return site.workload.running.size() == 4; });
            co_await std::move(step);
        }
        std::vector<Json> copies;
        for (const auto& [id, worker] : site.cloud.workers) copies.push_back(worker->last_heartbeat);
        for (const std::size_t i : {0U, 1U, 2U}) site.kill(i);
        {
            auto step = until(site, [&site] { return site.workload.running.empty(); });
            co_await std::move(step);
        }
        for (const std::size_t i : {0U, 1U, 2U}) site.start(i);
        for (int round = 0; round < 15; ++round) {
            for (const std::size_t i : {0U, 1U, 2U}) {
                for (const auto& copy : copies) {
                    auto call = site.call(i, "POST", "/hello", copy);
                    co_await std::move(call);
                }
            }
            co_await site.loop.sleep(Micros{40'000});
        }
        {
            auto step = until(site, [&site] { return site.workload.running.size() == 4; });
            co_await std::move(step);
        }
        for (const auto& [task, count] : site.workload.started) EXPECT_EQ(count, 2) << task;
    });
}

// One task of a job ends just before the leader crashes. The machine of the other task hangs meanwhile, but
// not beyond its lease, and that task ends much later.
TEST(LeaderFailover, TasksThatEndBeforeAndAfterTheFailoverAreCountedOnce) {
    TestDeployment test_site{2};
    test_site.workload.run_time = Micros{0};
    test_site.workload.endless_jobs = {"req-1"};
    set_lease(test_site, 6);
    test_site.play([](TestDeployment& site) -> Task<void> {
        {
            auto step = submit(site, "req-1", "x", "sweep", 2, 3);
            co_await std::move(step);
        }
        {
            auto step = until(site, [&site] { return site.workload.running.size() == 2; });
            co_await std::move(step);
        }
        auto& hung_worker = *site.cloud.workers.at(site.workload.running["req-1/1"]);
        hung_worker.suspended = true;
        site.workload.endless_jobs.clear();
        {
            auto step = until(site, [&site] { return site.workload.completed["req-1/0"] == 1; });
            co_await std::move(step);
        }
        co_await site.loop.sleep(Micros{120'000});
        const std::string old_leader = site.leader();
        site.kill(site.index(old_leader));
        {
            auto step =
                until(site, [&site, old_leader] { return !leader_other_than(site, old_leader).empty(); });
            co_await std::move(step);
        }
        for (int i = 0; i < 10; ++i) {
            auto poll = site.retry_until("GET", "/api/jobs/req-1", nullptr, {200});
            const Json status = co_await std::move(poll);
            EXPECT_NE(status["status"], "done");
            EXPECT_LE(status["done"].get<int>(), 1);
            co_await site.loop.sleep(Micros{100'000});
        }
        hung_worker.suspended = false;
        {
            auto step = site.until_status("req-1", "done");
            co_await std::move(step);
        }
        for (const auto& [task, count] : site.workload.started) EXPECT_EQ(count, 1) << task;
    });
}

// A team is at its limit, one of its machines hangs, its job is cancelled, and the leader crashes. The tasks
// count against the limit until they are known to have ended.
TEST(Quota, ACancelledTaskOnAnUnreachableMachineCountsUntilItHasExited) {
    TestDeployment test_site{2};
    test_site.workload.endless_jobs = {"req-1", "req-2"};
    set_lease(test_site, 6);
    test_site.play([](TestDeployment& site) -> Task<void> {
        {
            auto step = submit(site, "req-1", "x", "service", 4, 4);  // all of the 16 CPUs
            co_await std::move(step);
        }
        {
            auto step = until(site, [&site] { return site.workload.running.size() == 4; });
            co_await std::move(step);
        }
        site.cloud.workers.at(site.workload.running["req-1/2"])->suspended = true;
        const std::string old_leader = site.leader();
        {
            auto step = cancel(site, "req-1");
            co_await std::move(step);
        }
        site.kill(site.index(old_leader));
        {
            auto step = submit(site, "req-2", "x", "sweep", 4, 4);
            co_await std::move(step);
        }
        std::size_t max_running = 0;
        {
            auto step = until(site, [&site, &max_running] {
                max_running = std::max(max_running, site.workload.running.size());
                return !site.workload.running.contains("req-1/2") && site.workload.running.size() == 4;
            });
            co_await std::move(step);
        }
        EXPECT_LE(max_running, 4U) << "a team uses more than its limit";
    });
}

// Machines boot immediately and get tasks while the store answers slowly, and then the leader crashes. Tasks
// that it had recorded run once, and instances that it had requested are neither lost nor requested a second
// time for the same tasks.
TEST(LeaderFailover, ASlowStoreDuringScaleOutStartsNoTaskTwice) {
    TestDeployment test_site{2};
    test_site.workload.endless_jobs = {"req-1", "req-2"};
    test_site.state.response_delay = [](const Json&) { return Micros{400'000}; };
    test_site.play([](TestDeployment& site) -> Task<void> {
        for (const char* id : {"req-1", "req-2"}) {
            auto step = submit(site, id, id == std::string("req-1") ? "x" : "y", "service", 2, 3);
            co_await std::move(step);
        }
        {
            auto step = until(site, [&site] { return !site.cloud.workers.empty(); });
            co_await std::move(step);
        }
        const std::string old_leader = site.leader();
        site.kill(site.index(old_leader));
        {
            auto step = until(site, [&site] { return site.workload.running.size() == 4; });
            co_await std::move(step);
        }
        co_await site.loop.sleep(Micros{1'000'000});
        EXPECT_EQ(site.workload.running.size(), 4U);
        for (const auto& [task, count] : site.workload.started) EXPECT_EQ(count, 1) << task;
        EXPECT_LE(site.cloud.workers.size(), 6U) << "scaled out again for tasks that already had machines";
    });
}

// Machines of an array that is bound to one zone become unreachable, and then the leader that knew the tasks'
// machines crashes. The unreachable tasks still bind the array to their zone.
TEST(LeaderFailover, AOneZoneArrayThatLosesAMachineStaysInItsZone) {
    TestDeployment test_site{2};
    test_site.workload.endless_jobs = {"req-1"};
    set_lease(test_site, 4);
    test_site.play([](TestDeployment& site) -> Task<void> {
        Json job = submission("req-1", "x", "sweep", 3, 3);
        job["oneZone"] = true;
        {
            auto step = site.retry_until("POST", "/api/jobs", job, {200, 201});
            co_await std::move(step);
        }
        std::map<std::string, std::string> zone_of;
        std::size_t zones_at_once = 0;
        const auto record_zones = [&site, &zone_of, &zones_at_once] {
            for (const auto& [id, worker] : site.cloud.workers) zone_of[id] = worker->zone();
            std::set<std::string> zones;
            for (const auto& [task, machine] : site.workload.running) zones.insert(zone_of[machine]);
            zones_at_once = std::max(zones_at_once, zones.size());
        };
        {
            auto step = until(site, [&] {
                record_zones();
                return site.workload.running.size() == 3;
            });
            co_await std::move(step);
        }
        // Neither answers nor commands reach two of its machines.
        for (const char* task : {"req-1/0", "req-1/1"})
            site.cloud.workers.at(site.workload.running[task])->unreachable = true;
        const std::string old_leader = site.leader();
        site.kill(site.index(old_leader));
        site.start(site.index(old_leader));
        {
            auto step = until(site, [&] {
                record_zones();
                const auto at = site.workload.started.find("req-1/0");
                return at != site.workload.started.end() && at->second > 1;
            });
            co_await std::move(step);
        }
        EXPECT_EQ(zones_at_once, 1U);
    });
}

// The backoff of a failing machine or job grows, but stays below the maximum queue time of 90 s.
// The machine hangs for a quarter of its lease, and the leader that requested it has ended.
TEST(LeaderFailover, AMachineWithTasksThatIsNotHeardFromYetIsNotReleased) {
    TestDeployment deployment{1, test::kNoRelayedNode, {Micros{1'200'000}, 80}};
    deployment.workload.endless_jobs = {"req-1"};
    deployment.cloud.age_s = 600;
    deployment.play([](TestDeployment& site) -> Task<void> {
        auto running = site.run("req-1", "x", "sweep", 1);
        co_await std::move(running);
        for (auto& [id, worker] : site.cloud.workers) worker->suspended = true;
        site.kill(0);
        site.start(0);
        co_await site.loop.sleep(Micros{20'000'000});
        EXPECT_FALSE(site.cloud.workers.empty());
        EXPECT_EQ(site.workload.started["req-1/0"], 1);
    });
}

TEST(FailureBackoff, IsShorterThanTheMaximumQueueTime) {
    for (int errors = 1; errors < 100; ++errors) {
        EXPECT_LT(core::machine_backoff(errors), core::kOverdueAfter) << errors;
        EXPECT_LT(core::job_backoff(errors), core::kOverdueAfter) << errors;
        EXPECT_GE(core::machine_backoff(errors + 1), core::machine_backoff(errors));
        EXPECT_GE(core::job_backoff(errors + 1), core::job_backoff(errors));
    }
}

}  // namespace
}  // namespace hatchwind
