// Starts after a confirmed cancel.
//
// What happens: a user is told that a job is cancelled, by any controller, to a cancel, a poll or a repeated
// submission, and a task of the job starts after that.
//
// Why: the job's shard owner sends starts until it learns of the cancellation, and whoever commits or reads
// the cancellation does not know what is under way there. A start may be in flight to its worker, wait one
// turn in the queue of its machine, or come from a replica that lags; and a task whose image is being fetched
// begins before the stop reaches its worker.
//
// What showed it: UserAnswers.NothingStartsAfterAnyAnswerThatSaysCancelled failed in 4 of 300 processes, 30
// at a time. In the simulator, gap.toml with seed 24, the trace has "cancellation sent at 6.315883: 200
// cancelled" at 6.326487, and three fetching tasks of the job "on machine" at 6.338491, before their stop
// arrives.
#include "workers/start_fence.hpp"

#include <gtest/gtest.h>

#include <variant>

#include "cluster/peer_directory.hpp"
#include "scenario_run.hpp"
#include "site.hpp"
#include "support.hpp"

namespace hatchwind {
namespace {

using controller::StartFence;
using controller::StartHolds;
using io::Micros;
using io::Task;
using test::Site;
using wire::Json;

constexpr const char* kJob = "req-7";

// Against a plain model: a job is held until kHoldTime after its last request, and there are never more than
// kMaxHolds.
TEST(StartHolds, LastUntilTheyExpireInAnySequence) {
    test::holds("holds", [] {
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

// One controller, n0, with the links to its peer n1 in place of a network.
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
        settings.peers.push_back({"n1", "a", test::local(1)});
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
    // Runs one fence to its end; `beside` is called once it waits.
    bool run_fence(const std::string& team, Micros wait, const std::function<void()>& beside) {
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
        running.spawn(event(*this, beside));
        loop.run();
        return fenced;
    }
    std::vector<wire::PeerMessage> sent() {
        wire::FrameReader reader;
        reader.add(links.at("n1").out);
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
constexpr Micros kUsersPatience{5'000'000};  // with one cancel

TEST(StartFence, AsksNobodyThatDoesNotAnnounceTheRequest) {
    Harness harness;
    harness.peer_announces(core::kCapabilities & ~core::kHoldsStarts);
    EXPECT_FALSE(harness.run_fence("y", kShortWait, [] {}));
    EXPECT_TRUE(harness.links.at("n1").out.empty());
}

// What it announced before the present connection may be the word of another version.
TEST(StartFence, AsksNobodyThatWasNotHeardOnThePresentConnection) {
    Harness harness;
    harness.peer_announces(core::kCapabilities);
    harness.links.at("n1").connected_at = io::steady_now() + Micros{1};
    EXPECT_FALSE(harness.run_fence("y", kShortWait, [] {}));
    EXPECT_TRUE(harness.links.at("n1").out.empty());
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
        harness.fence.handle_acknowledgement({request->number + 1});  // of no request
        harness.fence.handle_acknowledgement({request->number});
        harness.fence.handle_acknowledgement({request->number});  // a late copy
    };
    EXPECT_TRUE(harness.run_fence("y", StartFence::kMaxWait, acknowledge));
}

TEST(StartFence, AShardOwnerThatDoesNotAnswerDelaysACancelByABoundOnly) {
    Harness harness;
    harness.peer_announces(core::kCapabilities);
    EXPECT_FALSE(harness.run_fence("y", kShortWait, [] {}));
    // An acknowledgement that comes too late changes nothing.
    harness.fence.handle_acknowledgement({1});
    EXPECT_FALSE(harness.run_fence("y", kShortWait, [] {}));
}

TEST(StartFence, ATeamThatNobodyOwnsIsNotWaitedFor) {
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
    // A late copy of the request holds the job anew, for a bounded time, and is answered like the first.
    harness.fence.handle_request("n1", {5, kJob, UINT64_MAX});
    EXPECT_EQ(harness.sent().size(), 2U);
    EXPECT_FALSE(harness.holds.holds(kJob, io::steady_now() + StartHolds::kHoldTime));
}

Task<void> bring_machines_up(Site& s) {
    auto step = s.run_until_done("req-1", "x", "sweep", 8);
    co_await std::move(step);
}

void set_order_latency(Site& s, Micros latency) {
    for (auto& [id, worker] : s.cloud.workers) worker->order_latency = latency;
}

bool attempt_recorded(const Site& s, const std::string& job) {
    return std::any_of(s.state.items.begin(), s.state.items.end(), [&](const auto& item) {
        return item.first.starts_with("h/run/") &&
               item.second.value["c"].dump().find(job + "/") != std::string::npos;
    });
}

// Submits an endless job, and cancels it by way of that controller as soon as its start is recorded. Returns
// how often its task started after that answer.
Task<int> starts_after_cancel(Site& s, std::string id, std::string team, std::string form, std::size_t node) {
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
    const int before = s.world.started[id + "/0"];
    co_await s.loop.sleep(Micros{600'000});
    co_return s.world.started[id + "/0"] - before;
}

// Commands take 200 ms to be carried out. Each controller cancels a job of each team, so that every pair of
// the one that commits and the shard owner comes about; arrays, services and gangs in turn.
TEST(StartFence, AStartInFlightIsOverBeforeAnyControllerSaysCancelled) {
    Site site{3};
    site.world.endless = {"req-10", "req-11", "req-12", "req-20", "req-21",
                          "req-22", "req-30", "req-31", "req-32"};
    site.play([](Site& s) -> Task<void> {
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

// The record of the cancel is conditional on the epoch under which the job was fenced: the next epoch's shard
// owner has not held it.
TEST(StartFence, ANewEpochBetweenHoldAndCommitFencesTheJobAnew) {
    Site site{2};
    site.world.endless = {"req-2"};
    site.play([](Site& s) -> Task<void> {
        auto up = bring_machines_up(s);
        co_await std::move(up);
        {
            auto step = s.run("req-2", "x", "sweep", 1);
            co_await std::move(step);
        }
        int commits = 0;
        s.state.treat = [&](const Json& transaction) {
            const bool cancels = transaction["writes"].dump().find("\"cancelled\"") != std::string::npos &&
                                 transaction["writes"].dump().find("h/job/req-2") != std::string::npos;
            if (!cancels) return test::StateStandIn::Treatment::carry_out;
            EXPECT_NE(transaction["when"].dump().find("h/epoch"), std::string::npos);
            if (++commits == 1) {
                Json epoch = s.state.items.at("h/epoch").value;
                epoch["number"] = epoch["number"].get<std::uint64_t>() + 1;
                s.state.late_commit({{"when", Json::array()},
                                     {"writes", Json::array({Json{{"write", "h/epoch"}, {"v", epoch}}})}});
            }
            return test::StateStandIn::Treatment::carry_out;
        };
        auto cancel = s.insist("POST", "/api/jobs/req-2/cancel", nullptr, {200});
        const Json answer = co_await std::move(cancel);
        EXPECT_EQ(answer["status"], "cancelled");
        EXPECT_GE(commits, 2);
        s.state.treat = nullptr;
    });
}

// A worker that answers no command, and a shard owner that has ended: the user has an answer all the same,
// well within the 5 s of the protocol.
TEST(StartFence, AnUnreachableWorkerOrShardOwnerDelaysTheAnswerByABoundOnly) {
    Site site{3};
    site.world.endless = {"req-2", "req-3"};
    site.play([](Site& s) -> Task<void> {
        auto up = bring_machines_up(s);
        co_await std::move(up);
        for (auto& [id, worker] : s.cloud.workers) worker->hold_orders = true;
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
            EXPECT_LT(io::steady_now() - asked, kUsersPatience);
            if (s.up(s.index(owner))) s.kill(s.index(owner));
        }
        for (auto& [id, worker] : s.cloud.workers) worker->hold_orders = false;
    });
}

// The commit of the cancel is refused throughout, and the user gives up: the job runs on once the hold has
// expired.
TEST(StartFence, AJobWhoseCancelIsNeverCommittedRunsOn) {
    Site site{1};
    site.world.endless = {"req-2"};
    site.play([](Site& s) -> Task<void> {
        auto up = bring_machines_up(s);
        co_await std::move(up);
        bool refuse_starts = true;
        s.state.treat = [&](const Json& transaction) {
            const std::string writes = transaction["writes"].dump();
            const bool starts = writes.find("req-2/0") != std::string::npos && refuse_starts;
            const bool cancels = writes.find("h/job/req-2") != std::string::npos &&
                                 writes.find("\"cancelled\"") != std::string::npos;
            return starts || cancels ? test::StateStandIn::Treatment::refuse
                                     : test::StateStandIn::Treatment::carry_out;
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
        auto waiting = s.until([&s] { return s.world.running.contains("req-2/0"); });
        co_await std::move(waiting);
        EXPECT_GT(io::steady_now() - held_at, StartHolds::kHoldTime / 2);
        s.state.treat = nullptr;
    });
}

// Runs that once showed starts of tasks whose image came between the answer and the stop.
TEST(StartFence, NothingStartsAfterAConfirmedCancelInAGap) {
    for (const std::uint64_t seed : {21, 24, 72, 85}) {
        const auto play = test::play_scenario("gap", seed);
        EXPECT_TRUE(play->right()) << "seed " << seed << ": " << play->verdict();
    }
}

// Known to fail, listed in KNOWN-RED.txt.
//
// What happens: a task of a cancelled job is started after its user was told, and stopped in the same
// request.
//
// Why: a command with the start got no answer within 2.5 s, so a copy of it may still arrive. stop_unlisted
// of CommandDispatcher then sends the same start once more with a stop behind it: the worker knows the
// attempt as exited from then on, and the late copy runs nothing. Where the image is cached, the task is on
// its machine for a moment. Where the first copy was lost, that start would never have come.
//
// What showed it: traces of one_way.toml, seeds 1 to 200: 12 starts after a confirmed cancel in 10 runs; 11
// of them are accepted after the answer to the user, and stopped at the same microsecond. The other one was
// accepted before.
TEST(StartFence, NothingStartsAfterAConfirmedCancelWhenCommandsGetNoAnswer) {
    for (const std::uint64_t seed : {14, 79, 99, 164, 190}) {
        const auto play = test::play_scenario("one_way", seed);
        EXPECT_EQ(play->checker().counts().starts_after_cancellation, 0U) << "seed " << seed;
        EXPECT_TRUE(play->checker().violations().empty()) << "seed " << seed << ": " << play->verdict();
    }
}

}  // namespace
}  // namespace hatchwind
