// Two faults at once: a leader crashes, machines are unreachable, commands and heartbeats are late, the store
// is slow. Each test brings about one such combination; docs/reliability-owners.md says what each of them
// guards.
#include <algorithm>

#include "core/failure_detection.hpp"
#include "site.hpp"
#include "support.hpp"

namespace hatchwind {
namespace {

using io::Micros;
using io::Task;
using test::Site;
using wire::Json;

// Records one attempt in the job table, and lists it as running on the machine.
void run_on(test::Cluster& c, core::WorkerHeartbeat& machine, const core::Job& job,
            core::Revision mod_revision) {
    c.job_table.put_job(job, mod_revision);
    core::Chunk chunk;
    chunk.mod_revision = mod_revision;
    chunk.open[0] = {1, machine.machine, machine.incarnation};
    chunk.last_attempt = 1;
    c.job_table.put_chunk(job.id, 0, chunk);
    machine.tasks.push_back(test::task_status(job.id, 0, 1, core::TaskState::running));
}

// A task is preempted for another. Until its worker reports its exit it counts against its team's
// limit: it may be saving, its machine may hang, the command may be late.
TEST(Quota, APreemptedTaskCountsUntilItHasExited) {
    test::Cluster c;
    c.teams["x"] = {"x", 4, 8, 0, 0};
    c.teams["y"] = {"y", 8, 24, 0, 0};
    auto wide = test::heartbeat("n-1", "small", "a");
    auto narrow = test::heartbeat("n-2", "small", "a");
    // x is at its limit of 8 CPUs, beyond its guarantee, and fills one machine with a task of 4.
    auto victim = test::job("req-1", "x", 1, 4);
    victim.priority = core::Priority::best_effort;
    run_on(c, wide, victim, 1);
    auto other = test::job("req-2", "x", 1, 4);
    other.priority = core::Priority::production;
    auto elsewhere = test::heartbeat("n-3", "small", "a");
    run_on(c, elsewhere, other, 2);
    // One CPU is free on the second machine.
    auto filler = test::job("req-3", "y", 1, 3);
    filler.priority = core::Priority::production;
    run_on(c, narrow, filler, 3);
    for (const auto& r : {wide, narrow, elsewhere}) c.cluster_view.apply(r, c.now, c.now);
    // y wants a whole machine; x has a small task waiting, which fits into what is free.
    auto urgent = test::job("req-4", "y", 1, 4);
    urgent.kind = core::JobKind::service;
    urgent.priority = core::Priority::high;
    c.job_table.put_job(urgent, 4);
    auto small = test::job("req-5", "x", 1, 1);
    small.priority = core::Priority::normal;
    c.job_table.put_job(small, 5);

    core::FreeCapacity capacity = c.free_capacity();
    const auto out = core::place(test::placement_input(c), capacity);
    ASSERT_EQ(out.stops.size(), 1U);
    EXPECT_EQ(out.stops[0].job, "req-1");
    core::Resources use = c.job_table.team_use("x");
    for (const auto& s : out.starts) {
        if (c.job_table.find(s.job)->job.team == "x") use += c.job_table.find(s.job)->job.resources;
    }
    EXPECT_LE(use.cpus, 8 + core::kResourceTolerance) << "the stopped task is on its machine still";
}

// The end of an attempt is recorded, and its worker still lists it: the acknowledgement of its exit is lost
// with a shard owner that crashed, or has to wait because a duplicate of the start is under way. On a fleet
// with one machine that fits, the task waited for that acknowledgement for ever.
TEST(Placement, AnExitedAttemptThatIsStillListedBlocksNoNewAttempt) {
    test::Cluster c;
    c.teams["x"] = {"x", 8, 24, 0, 0};
    auto machine = test::heartbeat("n-1", "small", "a");
    machine.tasks.push_back(test::task_status("req-1", 0, 1, core::TaskState::exited));
    c.cluster_view.apply(machine, c.now, c.now);
    c.job_table.put_job(test::job("req-1", "x", 1, 2), 1);
    core::Chunk chunk;
    chunk.mod_revision = 2;
    chunk.last_attempt = 1;
    c.job_table.put_chunk("req-1", 0, chunk);
    core::FreeCapacity capacity = c.free_capacity();
    const auto out = core::place(test::placement_input(c), capacity);
    ASSERT_EQ(out.starts.size(), 1U);
    EXPECT_EQ(out.starts[0].attempt.number, 2U);

    // One that runs there without a record would make the worker refuse the new one.
    machine.tasks[0].state = core::TaskState::running;
    ++machine.heartbeat_sequence;
    c.cluster_view.apply(machine, c.now, c.now);
    core::FreeCapacity again = c.free_capacity();
    EXPECT_TRUE(core::place(test::placement_input(c), again).starts.empty());
}

// An overdue job keeps its team's later jobs from what the limit leaves, so that it begins at last. Where the
// team's services alone keep it out it never begins, and the others waited with it.
TEST(Placement, AJobThatItsTeamsServicesKeepOutBlocksNoOtherJob) {
    test::Cluster c;
    c.teams["x"] = {"x", 8, 8, 0, 0};
    auto machine = test::heartbeat("n-1", "big", "a");
    auto service = test::job("req-1", "x", 1, 6);
    service.kind = core::JobKind::service;
    run_on(c, machine, service, 1);
    c.cluster_view.apply(machine, c.now, c.now);
    c.now += core::kBeginWithin * 2;
    ++machine.heartbeat_sequence;
    c.cluster_view.apply(machine, c.now, c.now);
    c.job_table.put_job(test::job("req-2", "x", 1, 4), 2);
    c.job_table.put_job(test::job("req-3", "x", 1, 1), 3);
    core::FreeCapacity capacity = c.free_capacity();
    const auto out = core::place(test::placement_input(c), capacity);
    ASSERT_EQ(out.starts.size(), 1U);
    EXPECT_EQ(out.starts[0].job, "req-3");
}

Json submission(const std::string& id, const std::string& team, const std::string& form, int tasks,
                double cores) {
    return {{"id", id},         {"flock", "c"},      {"crew", team},     {"form", form},
            {"rank", "normal"}, {"legs", tasks},     {"cores", cores},   {"accelerators", 0.0},
            {"memGb", 1.0},     {"plate", "img"},    {"sizeGb", 0.1},    {"oneZone", false},
            {"spread", false},  {"borrowed", false}, {"expectS", 600.0}, {"markS", 0.0},
            {"stashS", 0.0}};
}

// Workers and controllers with leases of that length.
void set_lease(Site& s, double seconds) {
    s.world.lease_s = seconds;
    for (std::size_t i = 0; i < s.labels().size(); ++i) {
        s.kill(i);
        s.start(i);
    }
}

Task<void> submit(Site& s, std::string id, std::string team, std::string form, int tasks, double cores) {
    auto task = s.insist("POST", "/api/jobs", submission(id, team, form, tasks, cores), {200, 201});
    co_await std::move(task);
}

Task<void> cancel(Site& s, std::string id) {
    auto task = s.insist("POST", "/api/jobs/" + id + "/cancel", nullptr, {200});
    co_await std::move(task);
}

Task<void> until(Site& s, std::function<bool()> reached) {
    auto waiting = s.until(std::move(reached));
    co_await std::move(waiting);
}

bool lists(Site& s, const std::string& name) {
    return std::any_of(s.cloud.workers.begin(), s.cloud.workers.end(), [&](const auto& w) {
        return w.second->last_report.dump().find("\"" + name + "\"") != std::string::npos;
    });
}

std::string leader_but(Site& s, const std::string& old) {
    const std::string now = s.leader();
    return now == old ? "" : now;
}

// The replica is reloaded, and while the pages are under way the shard owner records the end of an attempt
// and acknowledges its exit. The pages still call it open, its worker does not list it any more: it was
// started again.
TEST(ReplicaReload, AnAttemptThatEndsDuringItIsNotStartedAgain) {
    Site site{1};
    site.world.run_time = Micros{500'000};
    site.play([](Site& s) -> Task<void> {
        {
            auto step = submit(s, "req-1", "x", "sweep", 1, 1);
            co_await std::move(step);
        }
        {
            auto step = until(s, [&s] { return s.world.running.size() == 1; });
            co_await std::move(step);
        }
        // The changes since are not kept any more, and the pages arrive as old as the attempt is young.
        s.state.list_latency = Micros{1'700'000};
        s.state.oldest = s.state.revision + 1;
        {
            auto step = s.submit("req-2", "z", "sweep", 1);  // a change, so that the watch is opened anew
            co_await std::move(step);
        }
        {
            auto step = until(s, [&s] { return s.state.items.contains("f/req-1") && !lists(s, "req-1/0"); });
            co_await std::move(step);
        }
        s.state.list_latency = Micros{0};
        s.state.hold_watches = true;  // what the pages lack is late too
        co_await s.loop.sleep(Micros{2'000'000});
        s.state.hold_watches = false;
        co_await s.loop.sleep(Micros{700'000});
        EXPECT_EQ(s.world.started["req-1/0"], 1);
        EXPECT_EQ(s.world.completed["req-1/0"], 1);
    });
}

// A start is held up on its way, unanswered, and the job is cancelled meanwhile. The end may be recorded only
// when no duplicate can still take effect.
TEST(DelayedCommands, AStartThatArrivesAfterTheCancellationRunsNothing) {
    Site site{1};
    site.world.endless = {"req-2"};
    site.play([](Site& s) -> Task<void> {
        {
            auto step = s.run_until_done("req-1", "x", "sweep", 1);
            co_await std::move(step);
        }
        for (auto& [id, w] : s.cloud.workers) w->hold_orders = true;
        {
            auto step = s.submit("req-2", "x", "sweep", 1);
            co_await std::move(step);
        }
        {
            auto step = until(s, [&s] { return s.held_orders() > 0; });
            co_await std::move(step);
        }
        {
            auto step = cancel(s, "req-2");
            co_await std::move(step);
        }
        co_await s.loop.sleep(Micros{1'500'000});
        EXPECT_FALSE(s.state.items.contains("f/req-2")) << "over, while its start may still arrive";
        for (auto& [id, w] : s.cloud.workers) w->hold_orders = false;
        {
            auto step = until(s, [&s] { return s.state.items.contains("f/req-2"); });
            co_await std::move(step);
        }
        co_await s.loop.sleep(Micros{1'500'000});
        s.deliver_held_orders();
        co_await s.loop.sleep(Micros{100'000});
        EXPECT_TRUE(s.world.running.empty()) << "a start that came after the end of a cancelled job ran";
    });
}

// The same with a leader that ends in between, and a machine that is partitioned: the new shard owner has
// sent no start, but the previous one's may still arrive, since the worker has not heard of the new fencing
// token.
TEST(DelayedCommands, AStartOfThePreviousLeaderKeepsACancelledJobOpenUntilItIsStopped) {
    Site site{2};
    site.world.endless = {"req-2"};
    set_lease(site, 8);
    site.play([](Site& s) -> Task<void> {
        {
            auto step = s.run_until_done("req-1", "x", "sweep", 1);
            co_await std::move(step);
        }
        for (auto& [id, w] : s.cloud.workers) w->hold_orders = true;
        {
            auto step = s.submit("req-2", "x", "sweep", 1);
            co_await std::move(step);
        }
        {
            auto step = until(s, [&s] { return s.held_orders() > 0; });
            co_await std::move(step);
        }
        for (auto& [id, w] : s.cloud.workers) w->deaf = true;
        const std::string old = s.leader();
        s.kill(0);
        s.kill(1);
        s.start(0);
        s.start(1);
        const auto before = s.epoch();
        {
            auto step = until(s, [&s, before] { return s.epoch() > before; });
            co_await std::move(step);
        }
        {
            auto step = cancel(s, "req-2");
            co_await std::move(step);
        }
        co_await s.loop.sleep(Micros{1'500'000});
        // Its start may still take effect, so it is neither over nor free of its team's limit.
        EXPECT_FALSE(s.state.items.contains("f/req-2"));
        bool ran = false;
        for (auto& [id, w] : s.cloud.workers) {
            for (const auto& copy : w->recorded_attempts) ran = w->late_orders(copy) || ran;
        }
        EXPECT_TRUE(ran) << "the worker has heard of the new token: this test shows nothing";
        for (auto& [id, w] : s.cloud.workers) w->deaf = w->hold_orders = false;
        {
            auto step =
                until(s, [&s] { return s.world.running.empty() && s.state.items.contains("f/req-2"); });
            co_await std::move(step);
        }
    });
}

// Its heartbeats came in, and its lease expired all the same: it may hear nobody, and what it is given never
// starts.
TEST(OneWayPartition, AWorkerOfANewIncarnationAnswersBeforeItTakesTasksAgain) {
    test::Cluster c;
    c.teams["x"] = {"x", 8, 24, 0, 0};
    c.job_table.put_job(test::job("req-1", "x", 1, 1), 1);
    const Micros doubt{26'000'000};
    const auto starts = [&c] {
        core::FreeCapacity capacity = c.free_capacity();
        return core::place(test::placement_input(c), capacity).starts.size();
    };
    auto machine = test::heartbeat("n-1", "small", "a");
    c.cluster_view.apply(machine, c.now, c.now, true, doubt);
    EXPECT_EQ(starts(), 1U);
    ++machine.heartbeat_sequence;
    c.cluster_view.apply(machine, c.now, c.now, false, doubt);
    EXPECT_EQ(starts(), 1U);
    ++machine.heartbeat_sequence;
    ++machine.incarnation;
    c.cluster_view.apply(machine, c.now, c.now, false, doubt);
    EXPECT_EQ(starts(), 0U);
    c.cluster_view.confirm("n-1");
    EXPECT_EQ(starts(), 1U);
}

// Heartbeats of a machine arrive, answers and commands do not, and the leader ends. The machine is alive for
// nobody: its lease runs out on its own side, and its tasks are placed elsewhere then, not before.
TEST(OneWayPartition, TasksMoveOnceTheLeaseHasExpiredAcrossAFailover) {
    Site site{2};
    site.world.endless = {"req-1"};
    set_lease(site, 4);
    site.play([](Site& s) -> Task<void> {
        {
            auto step = submit(s, "req-1", "x", "service", 2, 3);
            co_await std::move(step);
        }
        {
            auto step = until(s, [&s] { return s.world.running.size() == 2; });
            co_await std::move(step);
        }
        const Micros began = io::steady_now();
        const std::string deaf = s.world.running["req-1/0"];
        s.cloud.workers.at(deaf)->deaf = true;
        const std::string old = s.leader();
        s.kill(s.index(old));
        {
            auto step = until(s, [&s, deaf] {
                const auto at = s.world.running.find("req-1/0");
                return at != s.world.running.end() && at->second != deaf;
            });
            co_await std::move(step);
        }
        EXPECT_LT(io::steady_now() - began, Micros{30'000'000}) << "it counted as alive after its lease";
        EXPECT_GT(s.cloud.workers.contains(deaf) ? s.cloud.workers.at(deaf)->incarnation() : 2U, 1U);
        {
            auto step = s.until_status("req-1", "running");
            co_await std::move(step);
        }
    });
}

// All controllers are away for longer than a lease. When they are back, stale heartbeats of ended
// incarnations reach every one of them first, and again and again.
TEST(StaleHeartbeats, OfEndedIncarnationsAtRestartedControllersStartNoTaskTwice) {
    Site site{3};
    site.world.endless = {"req-1", "req-2"};
    set_lease(site, 2);
    site.play([](Site& s) -> Task<void> {
        for (const char* id : {"req-1", "req-2"}) {
            auto step = submit(s, id, id == std::string("req-1") ? "x" : "y", "service", 2, 2);
            co_await std::move(step);
        }
        {
            auto step = until(s, [&s] { return s.world.running.size() == 4; });
            co_await std::move(step);
        }
        std::vector<Json> copies;
        for (const auto& [id, w] : s.cloud.workers) copies.push_back(w->last_report);
        for (const std::size_t i : {0U, 1U, 2U}) s.kill(i);
        {
            auto step = until(s, [&s] { return s.world.running.empty(); });
            co_await std::move(step);
        }
        for (const std::size_t i : {0U, 1U, 2U}) s.start(i);
        for (int round = 0; round < 15; ++round) {
            for (const std::size_t i : {0U, 1U, 2U}) {
                for (const auto& copy : copies) {
                    auto call = s.call(i, "POST", "/hello", copy);
                    co_await std::move(call);
                }
            }
            co_await s.loop.sleep(Micros{40'000});
        }
        {
            auto step = until(s, [&s] { return s.world.running.size() == 4; });
            co_await std::move(step);
        }
        for (const auto& [task, n] : s.world.started) EXPECT_EQ(n, 2) << task;
    });
}

// Two tasks of one job end far apart. One ends just before the leader does, the other's machine hangs
// meanwhile, within its lease.
TEST(LeaderFailover, TasksThatEndBeforeAndAfterItAreCountedOnce) {
    Site site{2};
    site.world.run_time = Micros{0};
    site.world.endless = {"req-1"};
    set_lease(site, 6);
    site.play([](Site& s) -> Task<void> {
        {
            auto step = submit(s, "req-1", "x", "sweep", 2, 3);
            co_await std::move(step);
        }
        {
            auto step = until(s, [&s] { return s.world.running.size() == 2; });
            co_await std::move(step);
        }
        auto& slow = *s.cloud.workers.at(s.world.running["req-1/1"]);
        slow.hung = true;
        s.world.endless.clear();
        {
            auto step = until(s, [&s] { return s.world.completed["req-1/0"] == 1; });
            co_await std::move(step);
        }
        co_await s.loop.sleep(Micros{120'000});
        const std::string old = s.leader();
        s.kill(s.index(old));
        {
            auto step = until(s, [&s, old] { return !leader_but(s, old).empty(); });
            co_await std::move(step);
        }
        for (int i = 0; i < 10; ++i) {
            auto poll = s.insist("GET", "/api/jobs/req-1", nullptr, {200});
            const Json v = co_await std::move(poll);
            EXPECT_NE(v["status"], "done");
            EXPECT_LE(v["done"].get<int>(), 1);
            co_await s.loop.sleep(Micros{100'000});
        }
        slow.hung = false;
        {
            auto step = s.until_status("req-1", "done");
            co_await std::move(step);
        }
        for (const auto& [task, n] : s.world.started) EXPECT_EQ(n, 1) << task;
    });
}

// A team is at its limit, one of its machines hangs, its job is cancelled, and the leader ends. What the
// limit leaves is free only when the tasks were seen gone.
TEST(Quota, ACancelledTaskOnAnUnreachableMachineCountsUntilItHasExited) {
    Site site{2};
    site.world.endless = {"req-1", "req-2"};
    set_lease(site, 6);
    site.play([](Site& s) -> Task<void> {
        {
            auto step = submit(s, "req-1", "x", "service", 4, 4);  // all of the 16 CPUs
            co_await std::move(step);
        }
        {
            auto step = until(s, [&s] { return s.world.running.size() == 4; });
            co_await std::move(step);
        }
        s.cloud.workers.at(s.world.running["req-1/2"])->hung = true;
        const std::string old = s.leader();
        {
            auto step = cancel(s, "req-1");
            co_await std::move(step);
        }
        s.kill(s.index(old));
        {
            auto step = submit(s, "req-2", "x", "sweep", 4, 4);
            co_await std::move(step);
        }
        std::size_t most = 0;
        {
            auto step = until(s, [&s, &most] {
                most = std::max(most, s.world.running.size());
                return !s.world.running.contains("req-1/2") && s.world.running.size() == 4;
            });
            co_await std::move(step);
        }
        EXPECT_LE(most, 4U) << "a team uses more than its limit";
    });
}

// Machines are up at once and get work while the store is slow to answer, and the leader ends. What it had
// recorded runs once, and no instance that it had requested is lost or requested a second time for the same
// work.
TEST(LeaderFailover, ASlowStoreDuringScaleOutStartsNoTaskTwice) {
    Site site{2};
    site.world.endless = {"req-1", "req-2"};
    site.state.answer_after = [](const Json&) { return Micros{400'000}; };
    site.play([](Site& s) -> Task<void> {
        for (const char* id : {"req-1", "req-2"}) {
            auto step = submit(s, id, id == std::string("req-1") ? "x" : "y", "service", 2, 3);
            co_await std::move(step);
        }
        {
            auto step = until(s, [&s] { return !s.cloud.workers.empty(); });
            co_await std::move(step);
        }
        const std::string old = s.leader();
        s.kill(s.index(old));
        {
            auto step = until(s, [&s] { return s.world.running.size() == 4; });
            co_await std::move(step);
        }
        co_await s.loop.sleep(Micros{1'000'000});
        EXPECT_EQ(s.world.running.size(), 4U);
        for (const auto& [task, n] : s.world.started) EXPECT_EQ(n, 1) << task;
        EXPECT_LE(s.cloud.workers.size(), 6U) << "scaled out again for work that had machines";
    });
}

// An array bound to one zone loses a machine, and then the leader that knew where its tasks were. Its tasks
// that cannot be reached are still where they are.
TEST(LeaderFailover, AOneZoneArrayThatLosesAMachineStaysInItsZone) {
    Site site{2};
    site.world.endless = {"req-1"};
    set_lease(site, 4);
    site.play([](Site& s) -> Task<void> {
        Json job = submission("req-1", "x", "sweep", 3, 3);
        job["oneZone"] = true;
        {
            auto step = s.insist("POST", "/api/jobs", job, {200, 201});
            co_await std::move(step);
        }
        std::map<std::string, std::string> zone_of;
        std::size_t zones_at_once = 0;
        const auto look = [&s, &zone_of, &zones_at_once] {
            for (const auto& [id, w] : s.cloud.workers) zone_of[id] = w->zone();
            std::set<std::string> zones;
            for (const auto& [task, machine] : s.world.running) zones.insert(zone_of[machine]);
            zones_at_once = std::max(zones_at_once, zones.size());
        };
        {
            auto step = until(s, [&] {
                look();
                return s.world.running.size() == 3;
            });
            co_await std::move(step);
        }
        // Neither answers nor commands reach two of its machines.
        for (const char* task : {"req-1/0", "req-1/1"})
            s.cloud.workers.at(s.world.running[task])->deaf = true;
        const std::string old = s.leader();
        s.kill(s.index(old));
        s.start(s.index(old));
        {
            auto step = until(s, [&] {
                look();
                const auto at = s.world.started.find("req-1/0");
                return at != s.world.started.end() && at->second > 1;
            });
            co_await std::move(step);
        }
        EXPECT_EQ(zones_at_once, 1U);
    });
}

// A machine or a job that fails is tried ever more seldom, and yet so often that nothing waits 90 s for it.
TEST(FailureBackoff, IsShorterThanAJobMayWait) {
    for (int errors = 1; errors < 100; ++errors) {
        EXPECT_LT(core::machine_backoff(errors), core::kBeginWithin) << errors;
        EXPECT_LT(core::job_backoff(errors), core::kBeginWithin) << errors;
        EXPECT_GE(core::machine_backoff(errors + 1), core::machine_backoff(errors));
        EXPECT_GE(core::job_backoff(errors + 1), core::job_backoff(errors));
    }
}

}  // namespace
}  // namespace hatchwind
