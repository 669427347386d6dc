// Guards against tasks that start after a controller has confirmed the job's cancellation, in its answer to a
// cancel, a poll or a repeated submission.
//
// Without the fence, the shard owner sends starts until it learns of the cancellation. A start may be in
// flight to its worker, wait in the queue of its machine for one iteration of the event loop, or come from a
// replica that lags behind. A task whose image is being fetched may begin before its stop reaches the worker.
//
// Without the fence, UserAnswers.NothingStartsAfterAnyAnswerThatSaysCancelled fails in 4 of 300 processes, 30
// at a time. In the simulator, gap.toml with seed 24 has a cancel that is sent at 6.315883 s and answered
// with 200 (cancelled) at 6.326487 s, and three fetching tasks that begin at 6.338491 s, before their stop
// arrives.
#include "workers/start_fence.hpp"

#include <gtest/gtest.h>

#include <variant>

#include "cluster/peer_directory.hpp"
#include "scenario_run.hpp"
#include "support.hpp"
#include "test_deployment.hpp"

namespace hatchwind {
namespace {

using controller::StartFence;
using controller::StartHolds;
using io::Micros;
using io::Task;
using test::TestDeployment;
using wire::Json;

constexpr const char* kJob = "req-7";

// Compares StartHolds with a simple model: a job is held until kHoldTime after its last request.
TEST(StartHolds, LastUntilTheyExpireInAnySequence) {
    test::check_property("holds", [] {
        StartHolds holds;
        std::map<std::string, Micros> model;
        Micros now{1'000'000};
        const auto steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
            now += Micros{*rc::gen::inRange<std::int64_t>(0, 6'000'000)};
            const std::string job = "req-" + std::to_string(*rc::gen::inRange(0, 6));
            if (*rc::gen::inRange(0, 2) == 0) {
                holds.hold(job, now);
                model[job] = now + StartHolds::kHoldTime;
            }
            for (int i = 0; i < 6; ++i) {
                const std::string other = "req-" + std::to_string(i);
                const bool expected = model.contains(other) && now < model[other];
                RC_ASSERT(holds.holds(other, now) == expected);
            }
        }
    });
}

TEST(StartHolds, AreBoundedAndKeepTheLatest) {
    StartHolds holds;
    Micros now{1};
    for (std::size_t i = 0; i <= StartHolds::kMaxHolds; ++i) holds.hold("req-" + std::to_string(i), ++now);
    EXPECT_EQ(holds.all().size(), StartHolds::kMaxHolds);
    EXPECT_FALSE(holds.holds("req-0", now));
    EXPECT_TRUE(holds.holds("req-" + std::to_string(StartHolds::kMaxHolds), now));
}

// Controller n0 without a network: frames for its peer n1 stay in the queue of the link.
class Harness {
  public:
    Harness()
        : settings(settings_of_n0()),
          signals(loop),
          leadership(settings, replicated),
          peers(settings),
          links(loop, settings),
          worker_http(loop, 1, 4),
          leases(settings, replicated, peers, leadership),
          workers({settings, replicated, catalog, leases, probes, links, signals, worker_http}),
          commands({loop, scope, replicated, leadership, workers, probes, signals, worker_http, holds}),
          fence({loop, scope, replicated, leadership, peers, workers, links, holds, commands, signals}) {
        core::Epoch epoch;
        epoch.number = 1;
        epoch.mod_revision = 1;
        epoch.members = {{"n0", 1}, {"n1", 2}};
        epoch.shard_owners = {{"x", "n0"}, {"y", "n1"}};
        replicated.set_epoch(std::move(epoch), io::steady_now());
        links.at("n1").connected = true;
        links.at("n1").connected_at = io::steady_now();
    }

    static controller::Settings settings_of_n0() {
        controller::Settings settings;
        settings.label = "n0";
        settings.peers.push_back({"n1", "a", test::loopback_address(1)});
        settings.memory_mb = 64;
        settings.report_s = 1;
        settings.lease_s = 10;
        return settings;
    }
    void peer_announces(std::uint64_t capabilities) {
        wire::PeerHeartbeat heartbeat;
        heartbeat.label = "n1";
        heartbeat.capabilities = capabilities;
        peers.record("n1", std::move(heartbeat), io::steady_now());
    }
    // Runs fence() to completion and returns its result; `while_waiting` is called once it waits.
    bool run_fence(const std::string& team, Micros wait, const std::function<void()>& while_waiting) {
        bool fenced = false;
        const auto fencing = [](Harness& harness, std::string job_team, Micros until,
                                bool& result) -> Task<void> {
            auto step = harness.fence.fence(kJob, std::move(job_team), until);
            result = co_await std::move(step);
            harness.loop.stop();
        };
        const auto event = [](Harness& harness, std::function<void()> call) -> Task<void> {
            co_await harness.loop.yield();
            co_await harness.loop.yield();
            call();
        };
        io::Scope running;
        running.spawn(fencing(*this, team, io::steady_now() + wait, fenced));
        running.spawn(event(*this, while_waiting));
        loop.run();
        return fenced;
    }
    std::vector<wire::PeerMessage> sent() {
        wire::FrameReader reader;
        reader.add(links.at("n1").queued_frames);
        std::vector<wire::PeerMessage> messages;
        while (auto message = reader.next()) messages.push_back(std::move(*message));
        return messages;
    }

    io::Loop loop;
    controller::Settings settings;
    controller::ChangeSignals signals;
    controller::ReplicatedState replicated;
    controller::Leadership leadership;
    controller::PeerDirectory peers;
    controller::PeerLinks links;
    std::optional<core::Catalog> catalog;
    io::HttpClient worker_http;
    controller::StartHolds holds;
    controller::WorkerLeases leases;
    controller::ReachabilityProbes probes;
    controller::WorkerStatus workers;
    io::Scope scope;
    controller::CommandSender commands;
    StartFence fence;
};

constexpr Micros kShortWait{50'000};
constexpr Micros kCancelAnswerTimeout{5'000'000};  // how long a user waits for the answer to a cancel

TEST(StartFence, SendsNoRequestToAPeerThatDoesNotAnnounceIt) {
    Harness harness;
    harness.peer_announces(core::kCapabilities & ~core::kSupportsStartHolds);
    EXPECT_FALSE(harness.run_fence("y", kShortWait, [] {}));
    EXPECT_TRUE(harness.links.at("n1").queued_frames.empty());
}

// Capabilities that were announced on an earlier connection may be those of another version.
TEST(StartFence, SendsNoRequestBeforeAHeartbeatOnTheCurrentConnection) {
    Harness harness;
    harness.peer_announces(core::kCapabilities);
    harness.links.at("n1").connected_at = io::steady_now() + Micros{1};
    EXPECT_FALSE(harness.run_fence("y", kShortWait, [] {}));
    EXPECT_TRUE(harness.links.at("n1").queued_frames.empty());
}

TEST(StartFence, WaitsForTheShardOwnersAcknowledgement) {
    Harness harness;
    harness.peer_announces(core::kCapabilities);
    const auto acknowledge = [&harness] {
        const auto messages = harness.sent();
        ASSERT_EQ(messages.size(), 1U);
        const auto* request = std::get_if<wire::StartHoldRequest>(&messages.front());
        ASSERT_NE(request, nullptr);
        EXPECT_EQ(request->job, kJob);
        harness.fence.handle_acknowledgement({request->number + 1});  // matches no request
        harness.fence.handle_acknowledgement({request->number});
        harness.fence.handle_acknowledgement({request->number});  // a late copy
    };
    EXPECT_TRUE(harness.run_fence("y", StartFence::kMaxWait, acknowledge));
}

TEST(StartFence, AnUnresponsiveShardOwnerDelaysACancelForABoundedTime) {
    Harness harness;
    harness.peer_announces(core::kCapabilities);
    EXPECT_FALSE(harness.run_fence("y", kShortWait, [] {}));
    // A late acknowledgement has no effect.
    harness.fence.handle_acknowledgement({1});
    EXPECT_FALSE(harness.run_fence("y", kShortWait, [] {}));
}

TEST(StartFence, FailsAtOnceForATeamWithoutShardOwner) {
    Harness harness;
    EXPECT_FALSE(harness.run_fence("z", StartFence::kMaxWait, [] {}));
}

TEST(StartFence, TheShardOwnerHoldsTheJobAndAnswersThePeer) {
    Harness harness;
    harness.fence.handle_request("n1", {5, kJob, 1'000'000});
    EXPECT_TRUE(harness.holds.holds(kJob, io::steady_now()));
    const auto messages = harness.sent();
    ASSERT_EQ(messages.size(), 1U);
    EXPECT_EQ(std::get<wire::StartHoldAcknowledgement>(messages.front()).number, 5U);
    // A late copy of the request renews the hold for a bounded time and is answered like the first one.
    harness.fence.handle_request("n1", {5, kJob, UINT64_MAX});
    EXPECT_EQ(harness.sent().size(), 2U);
    EXPECT_FALSE(harness.holds.holds(kJob, io::steady_now() + StartHolds::kHoldTime));
}

Task<void> bring_machines_up(TestDeployment& s) {
    auto step = s.run_until_done("req-1", "x", "sweep", 8);
    co_await std::move(step);
}

void set_order_latency(TestDeployment& s, Micros latency) {
    for (auto& [id, worker] : s.cloud.workers) worker->command_latency = latency;
}

bool attempt_recorded(const TestDeployment& s, const std::string& job) {
    return std::any_of(s.state.items.begin(), s.state.items.end(), [&](const auto& item) {
        return item.first.starts_with("h/run/") &&
               item.second.value["c"].dump().find(job + "/") != std::string::npos;
    });
}

// Submits an endless job and cancels it through controller `node` as soon as its start is recorded. Returns
// how often its task started after the answer.
Task<int> starts_after_cancel(TestDeployment& s, std::string id, std::string team, std::string form,
                              std::size_t node) {
    {
        auto step = s.submit(id, std::move(team), std::move(form), 1);
        co_await std::move(step);
    }
    {
        auto waiting = s.until([&s, id] { return attempt_recorded(s, id); });
        co_await std::move(waiting);
    }
    std::string target = "/api/jobs/" + id + "/cancel";
    auto cancel = s.call(node, "POST", std::move(target), nullptr);
    const auto answer = co_await std::move(cancel);
    EXPECT_EQ(answer.first, 200);
    EXPECT_EQ(answer.second.value("status", ""), "cancelled");
    const int before = s.workload.started[id + "/0"];
    co_await s.loop.sleep(Micros{600'000});
    co_return s.workload.started[id + "/0"] - before;
}

// Workers take 200 ms to carry out commands. Each controller cancels a job of each team, which covers every
// pair of committing controller and shard owner. The jobs alternate between arrays, services and gangs.
TEST(StartFence, WaitsForStartsInFlightBeforeACancelIsConfirmed) {
    TestDeployment site{3};
    site.workload.endless_jobs = {"req-10", "req-11", "req-12", "req-20", "req-21",
                                  "req-22", "req-30", "req-31", "req-32"};
    site.play([](TestDeployment& s) -> Task<void> {
        auto up = bring_machines_up(s);
        co_await std::move(up);
        set_order_latency(s, Micros{200'000});
        const std::vector<std::string> teams{"x", "y", "z"};
        const std::vector<std::string> forms{"sweep", "service", "ensemble"};
        for (std::size_t team = 0; team < 3; ++team) {
            for (std::size_t node = 0; node < 3; ++node) {
                std::string id = "req-" + std::to_string(10 * (team + 1) + node);
                auto counting = starts_after_cancel(s, id, teams[team], forms[(team + node) % 3], node);
                const int starts = co_await std::move(counting);
                EXPECT_EQ(starts, 0) << id << " of team " << teams[team] << " by node " << node;
            }
        }
        set_order_latency(s, Micros{0});
    });
}

// The commit of the cancel is conditional on the epoch under which the job was fenced, because the shard
// owner of the next epoch has not held the job.
TEST(StartFence, ANewEpochBetweenHoldAndCommitFencesTheJobAgain) {
    TestDeployment site{2};
    site.workload.endless_jobs = {"req-2"};
    site.play([](TestDeployment& s) -> Task<void> {
        auto up = bring_machines_up(s);
        co_await std::move(up);
        {
            auto step = s.run("req-2", "x", "sweep", 1);
            co_await std::move(step);
        }
        int commits = 0;
        s.state.commit_handling = [&](const Json& transaction) {
            const bool cancels = transaction["writes"].dump().find("\"cancelled\"") != std::string::npos &&
                                 transaction["writes"].dump().find("h/job/req-2") != std::string::npos;
            if (!cancels) return test::FakeStore::CommitHandling::apply;
            EXPECT_NE(transaction["when"].dump().find("h/epoch"), std::string::npos);
            if (++commits == 1) s.write_next_epoch();
            return test::FakeStore::CommitHandling::apply;
        };
        auto cancel = s.retry_until("POST", "/api/jobs/req-2/cancel", nullptr, {200});
        const Json answer = co_await std::move(cancel);
        EXPECT_EQ(answer["status"], "cancelled");
        EXPECT_GE(commits, 2);
        s.state.commit_handling = nullptr;
    });
}

// Even if a worker answers no commands or the shard owner has crashed, the user gets an answer within the 5 s
// of the protocol.
TEST(StartFence, AnUnreachableWorkerOrShardOwnerDelaysTheAnswerForABoundedTime) {
    TestDeployment site{3};
    site.workload.endless_jobs = {"req-2", "req-3"};
    site.play([](TestDeployment& s) -> Task<void> {
        auto up = bring_machines_up(s);
        co_await std::move(up);
        for (auto& [id, worker] : s.cloud.workers) worker->hold_commands = true;
        for (const char* id : {"req-2", "req-3"}) {
            auto step = s.submit(id, "x", "sweep", 1);
            co_await std::move(step);
        }
        {
            auto waiting =
                s.until([&s] { return attempt_recorded(s, "req-2") && attempt_recorded(s, "req-3"); });
            co_await std::move(waiting);
        }
        const std::string owner = s.state.items.at("h/epoch").value["owners"]["x"];
        for (const char* id : {"req-2", "req-3"}) {
            const std::size_t other = (s.index(owner) + 1) % 3;
            const Micros asked = io::steady_now();
            std::string target = std::string{"/api/jobs/"} + id + "/cancel";
            auto cancel = s.call(other, "POST", std::move(target), nullptr);
            const auto answer = co_await std::move(cancel);
            EXPECT_EQ(answer.first, 200) << id;
            EXPECT_LT(io::steady_now() - asked, kCancelAnswerTimeout);
            if (s.up(s.index(owner))) s.kill(s.index(owner));
        }
        for (auto& [id, worker] : s.cloud.workers) worker->hold_commands = false;
    });
}

// If every commit of the cancel is refused and the user gives up, the job continues once the hold has
// expired.
TEST(StartFence, AJobWhoseCancelIsNeverCommittedContinues) {
    TestDeployment site{1};
    site.workload.endless_jobs = {"req-2"};
    site.play([](TestDeployment& s) -> Task<void> {
        auto up = bring_machines_up(s);
        co_await std::move(up);
        bool refuse_starts = true;
        s.state.commit_handling = [&](const Json& transaction) {
            const std::string writes = transaction["writes"].dump();
            const bool starts = writes.find("req-2/0") != std::string::npos && refuse_starts;
            const bool cancels = writes.find("h/job/req-2") != std::string::npos &&
                                 writes.find("\"cancelled\"") != std::string::npos;
            return starts || cancels ? test::FakeStore::CommitHandling::refuse
                                     : test::FakeStore::CommitHandling::apply;
        };
        {
            auto step = s.submit("req-2", "x", "sweep", 1);
            co_await std::move(step);
        }
        auto cancel = s.call(0, "POST", "/api/jobs/req-2/cancel", nullptr);
        const auto answer = co_await std::move(cancel);
        EXPECT_EQ(answer.first, 503);
        const Micros held_at = io::steady_now();
        refuse_starts = false;
        auto waiting = s.until([&s] { return s.workload.running.contains("req-2/0"); });
        co_await std::move(waiting);
        EXPECT_GT(io::steady_now() - held_at, StartHolds::kHoldTime / 2);
        s.state.commit_handling = nullptr;
    });
}

// Without the fence, a task starts in these runs because its image arrives between the answer and the stop.
TEST(StartFence, NothingStartsAfterAConfirmedCancelInAGap) {
    for (const std::uint64_t seed : {21, 24, 72, 85}) {
        const auto play = test::play_scenario("gap", seed);
        EXPECT_TRUE(play->right()) << "seed " << seed << ": " << play->verdict();
    }
}

TEST(StartFence, AStartThatGotNoAnswerIsNotSentAgainAfterTheCancel) {
    TestDeployment site{1};
    site.workload.endless_jobs = {"req-2"};
    site.play([](TestDeployment& s) -> Task<void> {
        {
            auto step = bring_machines_up(s);
            co_await std::move(step);
        }
        for (auto& [id, worker] : s.cloud.workers) worker->hold_commands = true;
        {
            auto step = s.submit("req-2", "x", "sweep", 1);
            co_await std::move(step);
        }
        {
            auto waiting = s.until([&s] { return s.held_command_requests() > 0; });
            co_await std::move(waiting);
        }
        {
            auto step = s.retry_until("POST", "/api/jobs/req-2/cancel", nullptr, {200});
            co_await std::move(step);
        }
        for (auto& [id, worker] : s.cloud.workers) worker->hold_commands = false;
        auto waiting = s.until([&s] { return s.state.items.contains("f/req-2"); });
        co_await std::move(waiting);
        // Until the fake workers have carried out the requests that they held.
        co_await s.loop.sleep(Micros{3'500'000});
        EXPECT_EQ(s.workload.started["req-2/0"], 0);
    });
}

TEST(StartFence, NothingStartsAfterAConfirmedCancelWhenCommandsGetNoAnswer) {
    for (const std::uint64_t seed : {14, 79, 99, 164, 190}) {
        const auto play = test::play_scenario("one_way", seed);
        EXPECT_EQ(play->checker().counts().starts_after_cancellation, 0U) << "seed " << seed;
        EXPECT_TRUE(play->checker().violations().empty()) << "seed " << seed << ": " << play->verdict();
    }
}

}  // namespace
}  // namespace hatchwind
