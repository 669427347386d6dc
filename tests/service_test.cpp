// Whole controllers against stand-ins of state service, cloud and workers, in one loop on loopback.
#include <random>

#include "controller/controller.hpp"
#include "support.hpp"
#include "test_deployment.hpp"
#include "wire/records.hpp"

namespace hatchwind {
namespace {

using io::Micros;
using io::Task;
using wire::Json;

using test::TestDeployment;

constexpr Micros kUsersRepeatFor{60'000'000};  // submissions and cancellations without an answer

TEST(Controller, RunsArraysAndServicesAndGangsAndKeepsFinalAnswers) {
    TestDeployment site{2};
    site.workload.endless_jobs = {"req-2"};
    site.play([](TestDeployment& s) -> Task<void> {
        {
            auto step = s.submit("req-1", "x", "sweep", 7);
            co_await std::move(step);
        }
        {
            auto step = s.submit("req-2", "y", "service", 2);
            co_await std::move(step);
        }
        {
            auto step = s.submit("req-3", "z", "ensemble", 3);
            co_await std::move(step);
        }
        {
            auto step = s.until_status("req-1", "done");
            co_await std::move(step);
        }
        {
            auto step = s.until_status("req-3", "done");
            co_await std::move(step);
        }
        {
            auto step = s.until_status("req-2", "running");
            co_await std::move(step);
        }
        auto cancel = s.retry_until("POST", "/api/jobs/req-2/cancel", nullptr, {200});
        const Json v = co_await std::move(cancel);
        EXPECT_EQ(v["status"], "cancelled");
        {
            const std::function<bool()> reached = [&] { return s.workload.running.empty(); };
            auto waiting = s.until(reached);
            co_await std::move(waiting);
        }
        {
            const std::function<bool()> reached = [&] { return s.state.items.contains("f/req-2"); };
            auto waiting = s.until(reached);
            co_await std::move(waiting);
        }
        // Records of what is over are gone but for the end state; and a cancel of a done job says done.
        EXPECT_FALSE(s.state.items.contains("h/job/req-1"));
        {
            const std::function<bool()> reached = [&] {
                return std::none_of(s.state.items.begin(), s.state.items.end(), [](const auto& i) {
                    return i.first.starts_with("h/run/") &&
                           i.second.value.dump().find("req-1/") != std::string::npos;
                });
            };
            auto waiting = s.until(reached);
            co_await std::move(waiting);
        }
        auto late = s.retry_until("POST", "/api/jobs/req-1/cancel", nullptr, {200});
        const Json done = co_await std::move(late);
        EXPECT_EQ(done["status"], "done");
        {
            auto step = s.until_status("req-2", "cancelled");
            co_await std::move(step);
        }
        for (std::size_t node : {0U, 1U}) {
            auto unknown = s.call(node, "GET", "/api/jobs/req-999", nullptr);
            const auto r = co_await std::move(unknown);
            EXPECT_EQ(r.first, 404);
        }
        EXPECT_LE(s.state.max_transaction_writes, 6U);
    });
}

TEST(Controller, RefusesBadInputWithTheProperStatus) {
    TestDeployment site{1};
    site.play([](TestDeployment& s) -> Task<void> {
        {
            auto step = s.submit("req-1", "x", "sweep", 1);
            co_await std::move(step);
        }
        const std::vector<std::tuple<std::string, std::string, Json, int>> cases = {
            {"POST", "/api/jobs", Json("text"), 400},
            {"POST", "/api/jobs", Json::object(), 400},
            {"PUT", "/api/jobs", nullptr, 405},
            {"POST", "/healthz", nullptr, 405},
            {"GET", "/hello", nullptr, 405},
            {"POST", "/hello", Json::object(), 400},
            {"GET", "/nothing", nullptr, 404},
            {"GET", "/api/jobs/other", nullptr, 404},
            {"GET", "/api/jobs/req-1/cancel", nullptr, 405},
            {"POST", "/api/jobs/req-77/cancel", nullptr, 404},
        };
        for (const auto& [method, target, body, status] : cases) {
            auto task = s.call(0, method, target, body);
            const auto r = co_await std::move(task);
            EXPECT_EQ(r.first, status) << method << " " << target;
        }
        Json j{{"id", "req-5"},    {"flock", "c"},      {"crew", "x"},    {"form", "service"},
               {"rank", "normal"}, {"legs", 17},        {"cores", 1.0},   {"accelerators", 0.0},
               {"memGb", 1.0},     {"plate", "img"},    {"sizeGb", 0.1},  {"oneZone", false},
               {"spread", false},  {"borrowed", false}, {"expectS", 1.0}, {"markS", 0.0},
               {"stashS", 0.0}};
        for (const auto& [key, value] :
             std::vector<std::pair<std::string, Json>>{{"legs", 17}, {"crew", "nobody"}, {"cores", 5.0}}) {
            Json bad = j;
            bad["legs"] = 1;
            bad[key] = value;
            auto task = s.call(0, "POST", "/api/jobs", bad);
            const auto r = co_await std::move(task);
            EXPECT_EQ(r.first, 422) << key;
        }
    });
}

// The record came back into the replica of the controller that had cancelled the job, after the job's end had
// been recorded: users got it again in answers, and each group commit of that controller that named it
// failed, for good.
TEST(Controller, ALateAnswerToACancellationBringsNoJobBack) {
    TestDeployment site{1};
    site.workload.endless_jobs = {"req-1"};
    site.state.response_delay = [](const Json& t) {
        const bool cancellations = std::any_of(t["writes"].begin(), t["writes"].end(), [](const Json& w) {
            return w.contains("write") && w["write"] == "h/job/req-1" && w["v"].contains("cancelled");
        });
        return Micros{cancellations ? 1'500'000 : 0};
    };
    site.play([](TestDeployment& s) -> Task<void> {
        {
            auto step = s.run("req-1", "x", "service", 2);
            co_await std::move(step);
        }
        auto cancel = s.retry_until("POST", "/api/jobs/req-1/cancel", nullptr, {200});
        const Json v = co_await std::move(cancel);
        EXPECT_EQ(v["status"], "cancelled");
        EXPECT_TRUE(s.state.items.contains("f/req-1"));
        const std::size_t before = s.state.conflicts;
        {
            auto step = s.run_until_done("req-2", "x", "sweep", 4);
            co_await std::move(step);
        }
        co_await s.loop.sleep(Micros{500'000});
        EXPECT_EQ(s.state.conflicts, before);
    });
}

// Whatever made the replica wrong: a conflict that it cannot explain makes it reload the store.
TEST(Controller, AReplicaThatTheStoreRefutesIsReloaded) {
    TestDeployment site{1};
    site.workload.endless_jobs = {"req-1"};
    site.play([](TestDeployment& s) -> Task<void> {
        {
            auto step = s.run("req-1", "x", "service", 2);
            co_await std::move(step);
        }
        // Somebody else's change, of which this controller never hears.
        s.state.hidden_from_watches = [](const Json& e) {
            return e.contains("delete") && e["delete"] == "h/job/req-1";
        };
        const int gone =
            s.state.deliver_late_commit({{"when", Json::array()}, {"writes", {{{"delete", "h/job/req-1"}}}}});
        EXPECT_EQ(gone, 200);
        // Repeated as users do: the first one is answered 503 if its time runs out before the watch ends that
        // brings the conflict's revision.
        const Micros asked_at = io::steady_now();
        auto cancel = s.retry_until("POST", "/api/jobs/req-1/cancel", nullptr, {200, 404});
        co_await std::move(cancel);
        EXPECT_LT(io::steady_now() - asked_at, kUsersRepeatFor);
        {
            const std::function<bool()> reached = [&] { return s.workload.running.empty(); };
            auto waiting = s.until(reached);
            co_await std::move(waiting);
        }
        auto poll = s.retry_until("GET", "/api/jobs/req-1", nullptr, {200, 404});
        const Json v = co_await std::move(poll);
        EXPECT_FALSE(v.contains("status"));
    });
}

TEST(Controller, AnotherControllerTakesOverWhenTheLeaderIsKilled) {
    TestDeployment site{3};
    site.workload.run_time = Micros{1'500'000};
    site.play([](TestDeployment& s) -> Task<void> {
        for (const auto& [id, team] : std::vector<std::pair<std::string, std::string>>{
                 {"req-1", "x"}, {"req-2", "y"}, {"req-3", "z"}}) {
            {
                auto step = s.submit(id, team, "sweep", 6);
                co_await std::move(step);
            }
        }
        {
            const std::function<bool()> reached = [&] { return s.workload.running.size() >= 6; };
            auto waiting = s.until(reached);
            co_await std::move(waiting);
        }
        const auto before = s.epoch();
        const auto old = s.leader();
        s.kill(s.index(old));
        {
            const std::function<bool()> reached = [&] { return s.leader() != old; };
            auto waiting = s.until(reached);
            co_await std::move(waiting);
        }
        EXPECT_GT(s.epoch(), before);
        for (const char* id : {"req-1", "req-2", "req-3"}) {
            auto step = s.until_status(id, "done");
            co_await std::move(step);
        }
        // Nothing that was done was thrown away by the takeover.
        for (const auto& [task, n] : s.workload.completed) EXPECT_EQ(n, 1) << task;
        s.start(s.index(old));
        {
            auto step = s.run_until_done("req-4", "x", "sweep", 3);
            co_await std::move(step);
        }
    });
}

TEST(Controller, AWholeRestartLosesNothingThatWasAccepted) {
    TestDeployment site{2};
    site.workload.endless_jobs = {"req-2"};
    site.play([](TestDeployment& s) -> Task<void> {
        {
            auto step = s.submit("req-1", "x", "sweep", 5);
            co_await std::move(step);
        }
        {
            auto step = s.submit("req-2", "y", "service", 2);
            co_await std::move(step);
        }
        {
            const std::function<bool()> reached = [&] {
                return s.workload.running.contains("req-2/0") && s.workload.running.contains("req-2/1");
            };
            auto waiting = s.until(reached);
            co_await std::move(waiting);
        }
        const auto homes = s.workload.running;
        s.kill(0);
        s.kill(1);
        co_await s.loop.sleep(Micros{300'000});
        s.start(0);
        s.start(1);
        {
            auto step = s.until_status("req-1", "done");
            co_await std::move(step);
        }
        {
            auto step = s.until_status("req-2", "running");
            co_await std::move(step);
        }
        EXPECT_EQ(s.workload.running["req-2/0"], homes.at("req-2/0"))
            << "a replica whose lease lasted stays where it is";
    });
}

TEST(Controller, TasksOfAnUnresponsiveMachineRunElsewhereOnlyAfterItsLease) {
    TestDeployment site{2};
    site.workload.endless_jobs = {"req-1"};
    site.play([](TestDeployment& s) -> Task<void> {
        {
            auto step = s.run("req-1", "x", "service", 2);
            co_await std::move(step);
        }
        const std::string machine = s.workload.running["req-1/0"];
        s.cloud.workers.at(machine)->suspended = true;
        co_await s.loop.sleep(Micros{1'500'000});
        EXPECT_EQ(s.workload.running["req-1/0"], machine) << "well within its lease";
        // The hung machine resumes at the end of its lease and finds it over.
        co_await s.loop.sleep(Micros{1'700'000});
        s.cloud.workers.at(machine)->suspended = false;
        {
            const std::function<bool()> reached = [&] {
                return s.workload.running.contains("req-1/0") && s.workload.running.contains("req-1/1");
            };
            auto waiting = s.until(reached);
            co_await std::move(waiting);
        }
    });
}

// A machine that never comes back, and that nobody releases since too many are unresponsive: its last
// heartbeat says that the task runs, and its lease alone shows that it does not.
TEST(Controller, TasksOfAMachineThatStaysUnresponsiveRunElsewhereAfterItsLease) {
    TestDeployment site{2};
    site.workload.endless_jobs = {"req-1"};
    site.play([](TestDeployment& s) -> Task<void> {
        {
            auto step = s.run("req-1", "x", "service", 1);
            co_await std::move(step);
        }
        co_await s.loop.sleep(Micros{300'000});  // and it was reported
        const std::string machine = s.workload.running["req-1/0"];
        s.cloud.workers.at(machine)->suspended = true;
        // Its lease ends on its side while it hangs; the stand-in counts what hangs as running until then.
        co_await s.loop.sleep(Micros{3'100'000});
        s.workload.running.erase("req-1/0");
        {
            const std::function<bool()> reached = [&] { return s.workload.running.contains("req-1/0"); };
            auto waiting = s.until(reached);
            co_await std::move(waiting);
        }
        EXPECT_NE(s.workload.running["req-1/0"], machine);
        EXPECT_TRUE(s.cloud.workers.contains(machine));
        s.workload.running.erase("req-1/0");
    });
}

TEST(Controller, AnOutageOfTheStoreStopsNothingThatRuns) {
    TestDeployment site{2};
    site.workload.endless_jobs = {"req-1"};
    site.play([](TestDeployment& s) -> Task<void> {
        {
            auto step = s.run("req-1", "x", "service", 2);
            co_await std::move(step);
        }
        const auto homes = s.workload.running;
        s.state.down = true;
        // Longer than store leases and worker leases: only the controllers' votes for each other carry it.
        co_await s.loop.sleep(Micros{5'000'000});
        EXPECT_EQ(s.workload.running, homes);
        auto refused = s.call(0, "POST", "/api/jobs/req-1/cancel", nullptr);
        const auto r = co_await std::move(refused);
        EXPECT_EQ(r.first, 503);
        s.state.down = false;
        {
            auto step = s.run_until_done("req-2", "y", "sweep", 2);
            co_await std::move(step);
        }
        EXPECT_EQ(s.workload.running, homes);
    });
}

// After a cut a link may take every byte and deliver none. A peer that takes all and never says that it
// hears us must be dialled anew.
TEST(Controller, AnUnconfirmedPeerConnectionIsReplaced) {
    TestDeployment site{2};
    site.kill(1);
    site.play([](TestDeployment& s) -> Task<void> {
        io::Listener peer{s.loop, s.mesh_address(1)};
        std::vector<io::Socket> taken;
        for (int i = 0; i < 2; ++i) {
            io::Socket socket = co_await peer.accept();
            taken.push_back(std::move(socket));
        }
        EXPECT_EQ(taken.size(), 2U);
    });
}

TEST(Controller, ACommitWithoutAnAnswerIsResolvedByRetryingIt) {
    TestDeployment site{1};
    site.play([](TestDeployment& s) -> Task<void> {
        {
            auto step = s.submit("req-1", "x", "sweep", 1);
            co_await std::move(step);
        }
        for (int i = 2; i < 6; ++i) {
            s.state.drop_next_commit_response = true;
            {
                auto step = s.submit("req-" + std::to_string(i), "x", "sweep", 2);
                co_await std::move(step);
            }
            s.state.drop_next_commit_response = true;
            {
                auto step = s.until_status("req-" + std::to_string(i), "done");
                co_await std::move(step);
            }
        }
        for (const auto& [task, n] : s.workload.completed) EXPECT_EQ(n, 1) << task;
    });
}

// A machine whose heartbeats arrive, but that hears nothing: its lease expires on its own side, its
// incarnation rises, its heartbeats go on. Its tasks run elsewhere, it gets nothing new, and it is released.
TEST(Controller, AOneWayPartitionedMachineLosesItsTasksGetsNoneAndIsReleased) {
    TestDeployment site{2};
    site.kill(0);
    site.kill(1);
    site.silent_release = Micros{4'000'000};
    site.start(0);
    site.start(1);
    site.workload.endless_jobs = {"req-1"};
    site.play([](TestDeployment& s) -> Task<void> {
        {
            auto step = s.run("req-1", "x", "service", 2);
            co_await std::move(step);
        }
        const std::string machine = s.workload.running["req-1/0"];
        const auto incarnation = s.cloud.workers.at(machine)->incarnation();
        s.cloud.workers.at(machine)->unreachable = true;
        {
            // Either its session has risen, or it was released before that.
            const std::function<bool()> reached = [&] {
                const auto it = s.cloud.workers.find(machine);
                return it == s.cloud.workers.end() || it->second->incarnation() > incarnation;
            };
            auto waiting = s.until(reached);
            co_await std::move(waiting);
        }
        {
            const std::function<bool()> reached = [&] {
                return s.workload.running.contains("req-1/0") && s.workload.running.contains("req-1/1") &&
                       s.workload.running["req-1/0"] != machine && s.workload.running["req-1/1"] != machine;
            };
            auto waiting = s.until(reached);
            co_await std::move(waiting);
        }
        {
            const std::function<bool()> reached = [&] { return !s.cloud.workers.contains(machine); };
            auto waiting = s.until(reached);
            co_await std::move(waiting);
        }
    });
}

// Dozens of dead machines took all the turns of asking, and live ones behind them stayed unused for good.
TEST(Controller, ALiveMachineIsConfirmedBesideManyDeadOnes) {
    TestDeployment site{1};
    site.play([](TestDeployment& s) -> Task<void> {
        // They send one heartbeat, with an address at which nobody answers.
        const io::Address nobody = test::loopback_address(test::free_port());
        std::size_t asked = 0;
        io::HttpServer dead{s.loop, nobody, {}, [&](io::HttpRequest) -> Task<io::HttpResponse> {
                                ++asked;
                                co_await s.loop.sleep(Micros{3'000'000});  // beyond every patience
                                co_return test::reply(503);
                            }};
        io::Scope scope;
        scope.spawn(dead.serve());
        for (int i = 0; i < 1200; ++i) {
            const Json report{{"perch", "a-" + std::to_string(1000 + i)},
                              {"address", test::address_text(nobody)},
                              {"build", "c4"},
                              {"roost", "a"},
                              {"borrowed", false},
                              {"stint", 1},
                              {"tick", 1},
                              {"baton", 0},
                              {"warningS", nullptr},
                              {"legs", Json::array()}};
            auto step = s.retry_until("POST", "/hello", report, {200});
            co_await std::move(step);
        }
        // By then no heartbeat shows by its fencing token alone that it is new.
        co_await s.loop.sleep(Micros{7'000'000});
        {
            auto step = s.run_until_done("req-1", "x", "sweep", 2);
            co_await std::move(step);
        }
        // No dead machine is probed twice before the live ones were probed once.
        EXPECT_LE(asked, 1300U);
    });
}

// Workers stay where they are answered: after a restart one controller bore the whole fleet's heartbeats for
// good.
TEST(Controller, HeartbeatsSpreadOverTheControllers) {
    TestDeployment site{3};
    site.play([](TestDeployment& s) -> Task<void> {
        std::vector<std::unique_ptr<test::FakeWorker>> workers;
        workers.reserve(24);
        for (int i = 0; i < 24; ++i)
            workers.push_back(
                s.worker("w-" + std::to_string(100 + i)));  // all begin with the first controller
        const std::function<bool()> spread = [&] {
            std::map<std::size_t, int> at;
            for (const auto& w : workers) ++at[w->current_controller()];
            return at.size() == 3 &&
                   std::all_of(at.begin(), at.end(), [](const auto& n) { return n.second >= 4; });
        };
        auto waiting = s.until(spread);
        co_await std::move(waiting);
    });
}

// Stale heartbeats reach a controller that has just started, and one that leads anew.
TEST(Controller, StaleHeartbeatsBringBackNothing) {
    TestDeployment site{2};
    site.workload.endless_jobs = {"req-1"};
    site.play([](TestDeployment& s) -> Task<void> {
        {
            auto step = s.run("req-1", "x", "service", 1);
            co_await std::move(step);
        }
        const std::string machine = s.workload.running["req-1/0"];
        const Json early = s.cloud.workers.at(machine)->last_heartbeat;
        // Of a machine that was released long ago and that no controller remembers, with a task said to be
        // done.
        Json dead = early;
        dead["perch"] = "n-000000";
        dead["address"] = "127.0.0.1:1";
        Json ranking = early;
        ranking["tick"] = 0;
        ranking["legs"] =
            Json::array({Json{{"leg", "req-1/0"}, {"try", 1}, {"status", "exited"}, {"cause", "done"}}});
        s.kill(0);
        s.kill(1);
        s.start(0);
        s.start(1);
        bool used = false;
        s.state.on_commit = [&used](const Json& t) {
            used = used || t.dump().find("n-000000") != std::string::npos;
        };
        for (int round = 0; round < 20; ++round) {
            for (const std::size_t node : {0U, 1U}) {
                dead["tick"] = 1000 + round;
                for (const Json& copy : {dead, ranking, early}) {
                    auto call = s.call(node, "POST", "/hello", copy);
                    co_await std::move(call);
                }
            }
            if (round == 5) {
                auto step = s.submit("req-2", "y", "sweep", 12);
                co_await std::move(step);
            }
            co_await s.loop.sleep(Micros{50'000});
        }
        {
            auto step = s.until_status("req-2", "done");
            co_await std::move(step);
        }
        EXPECT_FALSE(used) << "a machine that only stale heartbeats name was used";
        EXPECT_EQ(s.workload.running["req-1/0"], machine);
        auto step = s.until_status("req-1", "running");
        co_await std::move(step);
        s.state.on_commit = nullptr;
    });
}

// A start that got no answer, was repeated and carried out, may arrive once more: after its exit was
// acknowledged it would start the task again.
TEST(Controller, ADuplicateStartThatArrivesAfterTheExitStartsNothing) {
    TestDeployment site{1};
    site.play([](TestDeployment& s) -> Task<void> {
        {
            auto step = s.run_until_done("req-1", "x", "sweep", 1);
            co_await std::move(step);
        }
        for (auto& [id, w] : s.cloud.workers) w->hold_commands = true;
        {
            auto step = s.submit("req-2", "x", "sweep", 2);
            co_await std::move(step);
        }
        {
            const std::function<bool()> reached = [&] { return s.held_command_requests() > 0; };
            auto waiting = s.until(reached);
            co_await std::move(waiting);
        }
        co_await s.loop.sleep(
            Micros{2'800'000});  // the controller gives up on that request, and sends another
        for (auto& [id, w] : s.cloud.workers) w->hold_commands = false;
        {
            auto step = s.until_status("req-2", "done");
            co_await std::move(step);
        }
        co_await s.loop.sleep(Micros{2'500'000});  // reaps and sweeps have had their time
        s.deliver_held_commands();
        co_await s.loop.sleep(Micros{600'000});
        EXPECT_GT(s.held_command_requests(), 0U);
        EXPECT_EQ(s.workload.completed["req-2/0"], 1);
        EXPECT_EQ(s.workload.completed["req-2/1"], 1);
    });
}

// The controller hears workers only. It stops answering when its leadership lease ends, its teams get another
// shard owner, its workers move on within their leases, and it comes back without help.
TEST(Controller, AControllerThatReachesOnlyItsWorkersStopsAnsweringAndRecovers) {
    TestDeployment site{3, 0};
    site.workload.lease_s = 6;
    site.kill(1);  // the relayed controller leads
    site.kill(2);
    site.workload.endless_jobs = {"req-1", "req-2", "req-3"};
    site.play([](TestDeployment& s) -> Task<void> {
        {
            const std::function<bool()> reached = [&] { return s.leader() == "n0"; };
            auto waiting = s.until(reached);
            co_await std::move(waiting);
        }
        s.start(1);
        s.start(2);
        for (const auto& [id, team] : std::vector<std::pair<std::string, std::string>>{
                 {"req-1", "x"}, {"req-2", "y"}, {"req-3", "z"}}) {
            auto step = s.submit(id, team, "service", 2);
            co_await std::move(step);
        }
        {
            const std::function<bool()> reached = [&] { return s.workload.running.size() == 6; };
            auto waiting = s.until(reached);
            co_await std::move(waiting);
        }
        const auto homes = s.workload.running;
        std::map<std::string, std::uint64_t> incarnations;
        for (const auto& [id, w] : s.cloud.workers) incarnations[id] = w->incarnation();
        s.isolate(true);
        {
            const std::function<bool()> reached = [&] { return s.leader() != "n0"; };
            auto waiting = s.until(reached);
            co_await std::move(waiting);
        }
        // By then it must not answer: a worker that comes to it is redirected.
        auto hello = s.call(0, "POST", "/hello", s.cloud.workers.begin()->second->last_heartbeat);
        const auto answer = co_await std::move(hello);
        EXPECT_EQ(answer.first, 421);
        // Longer than a lease: whoever kept its worker had to hear from a controller that may act.
        co_await s.loop.sleep(Micros{8'000'000});
        EXPECT_EQ(s.workload.running, homes);
        // Nor may it be sent users, whom it can only refuse.
        auto probe = s.call(0, "GET", "/healthz", nullptr);
        const auto health = co_await std::move(probe);
        EXPECT_EQ(health.first, 503);
        for (const auto& [id, n] : incarnations) EXPECT_EQ(s.cloud.workers.at(id)->incarnation(), n) << id;
        {
            auto step = s.run_until_done("req-4", "x", "sweep", 2);
            co_await std::move(step);
        }
        s.isolate(false);
        {
            const std::function<bool()> reached = [&] {
                const auto& members = s.state.items.at("h/epoch").value["members"];
                return members.size() == 3;
            };
            auto waiting = s.until(reached);
            co_await std::move(waiting);
        }
        EXPECT_EQ(s.workload.running, homes);
    });
}

// Controllers crash and restart at once, one, some or all of them, also while an epoch is being written.
TEST(Controller, ControllersThatRestartAtOnceLoseNothingAndForgetNothing) {
    TestDeployment site{3};
    site.workload.endless_jobs = {"req-1"};
    site.workload.run_time = Micros{700'000};
    site.play([](TestDeployment& s) -> Task<void> {
        {
            auto step = s.submit("req-1", "x", "service", 3);
            co_await std::move(step);
        }
        std::minstd_rand random{7};
        for (int round = 0; round < 12; ++round) {
            {
                auto step =
                    s.submit("req-" + std::to_string(10 + round), round % 2 == 0 ? "y" : "z", "sweep", 4);
                co_await std::move(step);
            }
            const auto leader = s.index(s.leader());
            const bool all = round % 4 == 3;
            for (std::size_t i = 0; i < 3; ++i) {
                if (!all && i != leader && random() % 3 != 0) continue;
                s.kill(i);
                co_await s.loop.sleep(Micros{static_cast<std::int64_t>(random() % 60'000)});
                s.start(i);
            }
            // Store leases of the ended incarnations expire now, and elections are under way.
            co_await s.loop.sleep(Micros{static_cast<std::int64_t>(random() % 1'500'000)});
        }
        for (int round = 0; round < 12; ++round) {
            auto step = s.until_status("req-" + std::to_string(10 + round), "done");
            co_await std::move(step);
        }
        auto step = s.until_status("req-1", "running");
        co_await std::move(step);
    });
}

// The first incarnation's write of its own key comes again, late: with it the key would belong to a store
// lease that nobody renews, and vanish under a controller that acts.
TEST(Controller, ALateWriteOfAnEarlierIncarnationsKeyChangesNothing) {
    TestDeployment site{1};
    site.play([](TestDeployment& s) -> Task<void> {
        std::vector<Json> puts;
        s.state.on_commit = [&puts](const Json& t) {
            for (const auto& w : t["writes"]) {
                if (w.value("write", "") == "h/node/n0") puts.push_back(t);
            }
        };
        s.kill(0);
        s.start(0);
        {
            const std::function<bool()> reached = [&] { return puts.size() == 1; };
            auto waiting = s.until(reached);
            co_await std::move(waiting);
        }
        co_await s.loop.sleep(Micros{100'000});
        s.kill(0);
        s.start(0);
        {
            const std::function<bool()> reached = [&] { return puts.size() == 2; };
            auto waiting = s.until(reached);
            co_await std::move(waiting);
        }
        co_await s.loop.sleep(Micros{50'000});
        const auto store_lease = s.state.items.at("h/node/n0").value["grant"];
        s.state.on_commit = nullptr;
        EXPECT_EQ(s.state.deliver_late_commit(puts.front()), 409);
        EXPECT_EQ(s.state.items.at("h/node/n0").value["grant"], store_lease);
        co_await s.loop.sleep(Micros{2'000'000});  // the first incarnation's store lease is long over
        EXPECT_EQ(s.state.items.at("h/node/n0").value["grant"], store_lease);
    });
}

// The controller answers about the job, perhaps after a while, and never that it does not know it.
Task<void> expect_cancelled(TestDeployment& site, std::size_t controller, std::string job) {
    int status = 0;
    Json answer;
    const Micros give_up = io::steady_now() + Micros{20'000'000};
    while (status != 200 && io::steady_now() < give_up) {
        auto call = site.call(controller, "GET", "/api/jobs/" + job, nullptr);
        auto response = co_await std::move(call);
        EXPECT_NE(response.first, 404);
        status = response.first;
        answer = response.second;
        if (status != 200) co_await site.loop.sleep(Micros{50'000});
    }
    EXPECT_EQ(status, 200);
    EXPECT_EQ(answer["status"], "cancelled");
}

// Thousands of jobs, and a watch that is too old: every controller reads the store whole again, and answers.
TEST(Controller, EveryJobIsKnownOnEveryControllerAfterAReloadOfALargeStore) {
    TestDeployment site{2};
    site.play([](TestDeployment& s) -> Task<void> {
        {
            auto step = s.run_until_done("req-1", "x", "sweep", 1);
            co_await std::move(step);
        }
        constexpr int jobs = 2500;
        s.kill(0);
        s.kill(1);
        {
            core::Job j = test::job("", "x", 100'000, 1);
            for (int i = 0; i < jobs; ++i) {
                j.id = "req-" + std::to_string(1000 + i);
                j.cancelled = true;  // known, and nothing to place
                j.cancelled_at = io::wall_now();
                s.state.items["h/job/" + j.id] = {wire::job_record(j), ++s.state.revision, 0};
            }
        }
        s.start(0);
        s.start(1);
        for (const int round : {0, 1}) {
            if (round == 1) {
                // One more was accepted, and the change that says so is not kept any more.
                s.state.items["h/job/req-" + std::to_string(1000 + jobs)] = {
                    s.state.items.at("h/job/req-1000").value, ++s.state.revision, 0};
                s.state.compacted_revision = s.state.revision;
            }
            for (const std::size_t node : {0U, 1U}) {
                for (const int i : {0, jobs / 2, jobs - 1 + round}) {
                    auto step = expect_cancelled(s, node, "req-" + std::to_string(1000 + i));
                    co_await std::move(step);
                }
            }
        }
    });
}

}  // namespace
}  // namespace hatchwind
