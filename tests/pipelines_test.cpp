// Jobs that wait for others, end to end: whole controllers against the stand-ins.
#include <gtest/gtest.h>

#include "site.hpp"
#include "wire/records.hpp"
#include "wire/user_api.hpp"

namespace hatchwind {
namespace {

using io::Micros;
using io::Task;
using test::Site;
using wire::Json;
using Treatment = test::StateStandIn::Treatment;

std::string id_of(int number) { return "req-" + std::to_string(number); }

Json dependent(const std::string& id, const std::string& team, const std::vector<std::string>& dependencies) {
    Json submission = Site::submission(id, team, "sweep", 1);
    submission["awaits"] = dependencies;
    return submission;
}

// Submits and notes what must have completed first: a start before that breaks a rule.
Task<Json> submit(Site& s, Json submission) {
    const std::string id = submission["id"];
    if (submission.contains("awaits")) {
        for (const auto& resources : submission["awaits"])
            s.world.needs[id].push_back(resources.get<std::string>() + "/0");
    }
    auto task = s.insist("POST", "/api/jobs", std::move(submission), {200, 201});
    Json answer = co_await std::move(task);
    co_return answer;
}
Task<Json> cancel(Site& s, std::string id) {
    auto task = s.insist("POST", "/api/jobs/" + id + "/cancel", nullptr, {200});
    Json answer = co_await std::move(task);
    co_return answer;
}
// What each live controller answers to a poll of the job, repeated until it is a 200.
Task<std::set<std::string>> statuses(Site& s, std::string id) {
    std::set<std::string> told;
    for (std::size_t node = 0; node < s.labels().size(); ++node) {
        while (s.up(node)) {
            auto task = s.call(node, "GET", "/api/jobs/" + id, nullptr);
            const auto [status, body] = co_await std::move(task);
            if (status == 200) {
                told.insert(body.value("status", ""));
                break;
            }
            co_await s.loop.sleep(Micros{50'000});
        }
    }
    co_return told;
}
// One task that ends when the test says so.
Task<void> submit_endless(Site& s, std::string id, std::string team) {
    s.world.endless.insert(id);
    auto step = submit(s, Site::submission(id, team, "sweep", 1));
    co_await std::move(step);
    const std::function<bool()> runs = [&s, id] { return s.world.running.contains(id + "/0"); };
    auto waiting = s.until(runs);
    co_await std::move(waiting);
}
std::string final_state(const Site& s, const std::string& id) {
    const auto it = s.state.items.find("f/" + id);
    return it == s.state.items.end() ? "" : it->second.value["s"].get<std::string>();
}
bool writes_key(const Json& transaction, const std::string& key) {
    const auto& writes = transaction["writes"];
    return std::any_of(writes.begin(), writes.end(),
                       [&](const Json& w) { return w.value("write", "") == key; });
}
// The record of the job as a job that waits no more.
bool releases(const Json& transaction, const std::string& id) {
    const auto& writes = transaction["writes"];
    return std::any_of(writes.begin(), writes.end(), [&](const Json& w) {
        return w.value("write", "") == "h/job/" + id && w["v"]["team"] != core::kWaitingTeam;
    });
}
const std::set<std::string> kQueued{"queued"};
const std::set<std::string> kCancelled{"cancelled"};

TEST(PipelineSubmission, TheNamesOfOtherJobsAreCheckedForTheirShape) {
    const auto parse = [](const Json& dependencies) {
        Json submission = Site::submission("req-7", "x", "sweep", 1);
        submission["awaits"] = dependencies;
        return wire::parse_submission(submission);
    };
    const std::vector<Json> malformed = {Json("req-1"),
                                         Json(1),
                                         Json::object(),
                                         Json::array({1}),
                                         Json(true),
                                         Json::array({"req-1", "job-2"}),
                                         Json::array({"req-1", nullptr}),
                                         Json::array({"req-7"})};
    for (const Json& dependencies : malformed) {
        const auto parsed = parse(dependencies);
        ASSERT_FALSE(parsed.has_value()) << dependencies;
        EXPECT_EQ(parsed.error().field, "awaits");
    }
    EXPECT_TRUE(parse(nullptr)->dependencies.empty());
    EXPECT_TRUE(parse(Json::array())->dependencies.empty());
    const auto twice = *parse(Json::array({"req-2", "req-1", "req-2"}));
    EXPECT_EQ(twice.dependencies, (std::vector<std::string>{"req-1", "req-2"}));
}

TEST(PipelineSubmission, WrongShapeIs400NeverAcceptedIs422AndUndecidedIs503) {
    Site site{3};
    site.play([](Site& s) -> Task<void> {
        auto first = submit_endless(s, "req-1", "x");
        co_await std::move(first);
        for (std::size_t node = 0; node < 3; ++node) {
            Json wrong = dependent("req-2", "y", {});
            wrong["awaits"] = "req-1";
            auto malformed = s.call(node, "POST", "/api/jobs", wrong);
            const auto reply1 = co_await std::move(malformed);
            EXPECT_EQ(reply1.first, 400);
            auto itself = s.call(node, "POST", "/api/jobs", dependent("req-2", "y", {"req-1", "req-2"}));
            const auto reply2 = co_await std::move(itself);
            EXPECT_EQ(reply2.first, 400);
            auto never = s.call(node, "POST", "/api/jobs", dependent("req-2", "y", {"req-1", "req-99"}));
            const auto reply3 = co_await std::move(never);
            EXPECT_EQ(reply3.first, 422);
        }
        // The state service answers too late for certainty.
        s.state.read_latency = Micros{4'000'000};
        auto late = s.call(1, "POST", "/api/jobs", dependent("req-2", "y", {"req-1", "req-99"}));
        const auto reply4 = co_await std::move(late);
        EXPECT_EQ(reply4.first, 503);
        s.state.read_latency = Micros{0};
        // A repeat of what was accepted gets its state, whatever it looks like.
        auto accepted = submit(s, dependent("req-2", "y", {"req-1"}));
        const auto answer5 = co_await std::move(accepted);
        EXPECT_EQ(answer5["status"], "queued");
        Json repeat = dependent("req-2", "y", {"req-99"});
        auto again = s.insist("POST", "/api/jobs", repeat, {200, 201, 400, 422});
        const auto answer6 = co_await std::move(again);
        EXPECT_EQ(answer6["status"], "queued");
        repeat["awaits"] = 5;
        auto again_2 = s.insist("POST", "/api/jobs", repeat, {200, 201, 400, 422});
        const auto answer7 = co_await std::move(again_2);
        EXPECT_EQ(answer7["status"], "queued");
        EXPECT_EQ(s.state.items.at("h/job/req-2").value["team"], core::kWaitingTeam);
    });
}

// The jobs of a pipeline are of three teams, with a shard owner each; the deadline counts from the
// submission.
TEST(Pipelines, AJobWaitsQueuedAndRunsOnceAllItNeedsIsDone) {
    Site site{3};
    site.play([](Site& s) -> Task<void> {
        auto root = submit_endless(s, "req-1", "x");
        co_await std::move(root);
        Json second = dependent("req-2", "y", {"req-1", "req-1"});
        second["dueS"] = 900.0;
        Json third = dependent("req-3", "z", {"req-2", "req-1"});
        third["dueS"] = 0.0;  // missed long before the release
        std::vector<Json> jobs{second, third};
        for (Json& job : jobs) {
            auto step = submit(s, job);
            const auto answer8 = co_await std::move(step);
            EXPECT_EQ(answer8["status"], "queued");
        }
        const auto submitted = s.state.items.at("h/job/req-2").value["at"].get<double>();
        std::map<std::string, Json> released;
        s.state.on_commit = [&released](const Json& t) {
            for (const std::string id : {"req-2", "req-3"}) {
                if (!releases(t, id) || released.contains(id)) continue;
                for (const auto& w : t["writes"]) {
                    if (w.value("write", "") == "h/job/" + id) released[id] = w["v"];
                }
            }
        };
        co_await s.loop.sleep(Micros{600'000});
        for (const std::string id : {"req-2", "req-3"}) {
            auto asking = statuses(s, id);
            const auto told9 = co_await std::move(asking);
            EXPECT_EQ(told9, kQueued);
            EXPECT_EQ(s.state.items.at("h/job/" + id).value["team"], core::kWaitingTeam);
        }
        s.world.endless.clear();
        auto done = s.until_status("req-3", "done");
        co_await std::move(done);
        EXPECT_EQ(s.world.completed["req-2/0"], 1);
        EXPECT_EQ(final_state(s, "req-2"), "done");
        const Json& record = released.at("req-2");
        EXPECT_FALSE(record.contains("awaits"));
        EXPECT_EQ(record["team"], "y");
        EXPECT_NEAR(record["at"].get<double>() + record["due"].get<double>() * 1e6, submitted + 900e6, 1e3);
        EXPECT_GT(record["at"].get<double>(), submitted + 0.5e6);
        EXPECT_LT(released.at("req-3")["due"].get<double>(), 0);
        s.state.on_commit = nullptr;
        // What is over by the time of the submission is not waited for.
        auto last = submit(s, dependent("req-4", "x", {"req-1", "req-2", "req-3"}));
        co_await std::move(last);
        EXPECT_EQ(s.state.items.at("h/job/req-4").value["team"], "x");
        auto end = s.until_status("req-4", "done");
        co_await std::move(end);
    });
}

// Several hundred jobs in one chain; its first is cancelled. Every controller answers so for all of them at
// once, and none answers anything older later, while the records follow in many transactions.
TEST(Pipelines, ACancelReachesTheEndOfALongChainAtOnce) {
    Site site{3};
    site.play([](Site& s) -> Task<void> {
        constexpr int kLast = 300;
        const std::vector<std::string> teams{"x", "y", "z"};
        auto root = submit_endless(s, id_of(0), "x");
        co_await std::move(root);
        for (int i = 1; i <= kLast; ++i) {
            auto step = submit(
                s, dependent(id_of(i), teams[static_cast<std::size_t>(i) % 3], {id_of(i - 1), id_of(0)}));
            co_await std::move(step);
        }
        auto asking = statuses(s, id_of(kLast));
        const auto told10 = co_await std::move(asking);
        EXPECT_EQ(told10, kQueued);
        auto cancelling = cancel(s, id_of(0));
        const auto answer11 = co_await std::move(cancelling);
        EXPECT_EQ(answer11["status"], "cancelled");
        for (const int i : {kLast, 1, kLast / 2}) {
            auto asking_2 = statuses(s, id_of(i));
            const auto told12 = co_await std::move(asking_2);
            EXPECT_EQ(told12, kCancelled) << i;
        }
        auto later = submit(s, dependent(id_of(kLast + 1), "y", {id_of(kLast)}));
        const auto answer13 = co_await std::move(later);
        EXPECT_EQ(answer13["status"], "cancelled");
        const std::function<bool()> written = [&s] {
            for (int i = 0; i <= kLast + 1; ++i) {
                if (final_state(s, id_of(i)) != "cancelled") return false;
            }
            return true;
        };
        auto waiting = s.until(written);
        co_await std::move(waiting);
        for (int i = 1; i <= kLast + 1; i += 50) {
            auto asking_3 = statuses(s, id_of(i));
            const auto told14 = co_await std::move(asking_3);
            EXPECT_EQ(told14, kCancelled) << i;
        }
        EXPECT_EQ(s.world.started.size(), 1U);
    });
}

// A fan of several hundred jobs, and one that names them all, twice, with values so small that the list has
// records of its own. The middle is over before the last may start; the lists leave the store.
TEST(Pipelines, AWideFanAndAListBeyondTheValueLimitAreReleased) {
    Site site{3};
    const auto start_again = [&site](controller::Settings& settings) {
        settings.value_kb = 2;
        settings.txn_ops = 4;
    };
    for (std::size_t i = 0; i < 3; ++i) site.kill(i);
    site.adjust = start_again;
    for (std::size_t i = 0; i < 3; ++i) site.start(i);
    site.play([](Site& s) -> Task<void> {
        constexpr int kWidth = 250;
        s.world.run_time = Micros{50'000};
        auto root = submit_endless(s, id_of(100'000), "x");
        co_await std::move(root);
        std::vector<std::string> fan;
        for (int i = 1; i <= kWidth; ++i) {
            fan.push_back(id_of(100'000 + i));
            auto step = submit(s, dependent(fan.back(), i % 2 == 0 ? "x" : "y", {id_of(100'000)}));
            co_await std::move(step);
        }
        std::vector<std::string> twice = fan;
        twice.insert(twice.end(), fan.begin(), fan.end());
        auto last = submit(s, dependent(id_of(200'000), "z", twice));
        co_await std::move(last);
        const auto parts = [&s] {
            std::size_t count = 0;
            for (const auto& [key, item] : s.state.items) {
                count += key.starts_with("h/awaits/req-200000/") ? 1 : 0;
                EXPECT_LE(item.value.dump().size(), 2048U) << key;
            }
            return count;
        };
        EXPECT_GE(parts(), 2U);
        // A controller that reloads the store knows the list as well.
        s.kill(0);
        co_await s.loop.sleep(Micros{300'000});
        s.start(0);
        auto asking = statuses(s, id_of(200'000));
        const auto told15 = co_await std::move(asking);
        EXPECT_EQ(told15, kQueued);
        s.world.endless.clear();
        auto done = s.until_status(id_of(200'000), "done");
        co_await std::move(done);
        EXPECT_EQ(s.world.completed.size(), static_cast<std::size_t>(kWidth + 2));
        const std::function<bool()> removed = [&parts] { return parts() == 0; };
        auto waiting = s.until(removed);
        co_await std::move(waiting);
        EXPECT_LE(s.state.most_writes, 4U);
    });
}

// A request full of names of jobs that are over: their endings are read as pages, and all but one are
// dropped.
TEST(Pipelines, ARequestFullOfNamesIsDecidedWithFewReads) {
    Site site{2};
    constexpr int kNames = 4500;
    for (int i = 0; i < kNames; ++i)
        site.state.items["f/" + id_of(100'000 + i)] = {{{"s", "done"}, {"done", 1}}, 1, 0};
    site.play([](Site& s) -> Task<void> {
        auto root = submit_endless(s, "req-1", "x");
        co_await std::move(root);
        std::vector<std::string> names{"req-1"};
        for (int i = 0; i < kNames; ++i) names.push_back(id_of(100'000 + i));
        Json submission = dependent("req-2", "y", names);
        EXPECT_GT(submission.dump().size(), 58'000U);
        EXPECT_LE(submission.dump().size(), 65'536U);
        auto accepting = s.insist("POST", "/api/jobs", submission, {200, 201, 400, 422});
        const auto answer16 = co_await std::move(accepting);
        EXPECT_EQ(answer16["status"], "queued");
        EXPECT_EQ(s.state.items.at("h/job/req-2").value["awaits"], Json::array({"req-1"}));
        s.world.endless.clear();
        auto done = s.until_status("req-2", "done");
        co_await std::move(done);
        // Likewise when all are over.
        submission["id"] = "req-3";
        auto ordinary = s.insist("POST", "/api/jobs", submission, {201, 400, 422});
        co_await std::move(ordinary);
        auto done_2 = s.until_status("req-3", "done");
        co_await std::move(done_2);
    });
}

// The shard owner of the waiting job's team crashes when the last job that it needs is done; twice in a row.
TEST(Pipelines, TheNextShardOwnerReleasesWhatTheLastOneLeftWaiting) {
    Site site{3};
    site.play([](Site& s) -> Task<void> {
        auto root = submit_endless(s, "req-1", "x");
        co_await std::move(root);
        auto second = submit(s, dependent("req-2", "y", {"req-1"}));
        co_await std::move(second);
        auto third = submit(s, dependent("req-3", "z", {"req-2"}));
        co_await std::move(third);
        // No release is carried out before the shard owner of its team is gone.
        std::set<std::string> held_back{"req-2", "req-3"};
        s.state.treat = [&held_back](const Json& t) {
            for (const auto& id : held_back) {
                if (releases(t, id)) return Treatment::refuse;
            }
            return Treatment::carry_out;
        };
        s.world.endless.clear();
        const std::vector<std::pair<std::string, std::string>> steps{{"req-1", "y"}, {"req-2", "z"}};
        for (const auto& [ended, team] : steps) {
            const std::function<bool()> over = [&s, ended = ended] {
                return final_state(s, ended) == "done";
            };
            auto waiting = s.until(over);
            co_await std::move(waiting);
            co_await s.loop.sleep(Micros{100'000});
            const std::string owner = s.state.items.at("h/epoch").value["owners"][team];
            const std::size_t gone = s.index(owner);
            s.kill(gone);
            held_back.erase(team == "y" ? "req-2" : "req-3");
            const std::string next = team == "y" ? "req-2" : "req-3";
            const std::function<bool()> released = [&s, next] {
                return !final_state(s, next).empty() ||
                       s.state.items.at("h/job/" + next).value["team"] != core::kWaitingTeam;
            };
            auto waiting_2 = s.until(released);
            co_await std::move(waiting_2);
            s.start(gone);
        }
        auto done = s.until_status("req-3", "done");
        co_await std::move(done);
        EXPECT_EQ(s.world.started["req-2/0"], 1);
        EXPECT_EQ(s.world.started["req-3/0"], 1);
    });
}

// Across teams and shard owners, with the cascade held back, its author ending and submissions that come
// during and after the cancel: from its confirmation on every controller calls every dependent cancelled, and
// nothing starts.
TEST(Pipelines, ACancelTakesAllDependentsThoughTheCascadeIsHeldAndItsAuthorEnds) {
    Site site{3};
    site.state.watch_latency = Micros{80'000};
    site.play([](Site& s) -> Task<void> {
        auto root = submit_endless(s, "req-1", "x");
        co_await std::move(root);
        auto other = submit_endless(s, "req-2", "x");
        co_await std::move(other);
        const std::vector<Json> jobs{dependent("req-3", "y", {"req-1"}), dependent("req-4", "z", {"req-3"}),
                                     dependent("req-5", "x", {"req-2", "req-4"}),
                                     dependent("req-6", "y", {"req-2"})};
        for (const Json& job : jobs) {
            auto step = submit(s, job);
            co_await std::move(step);
        }
        bool hold = true;
        s.state.treat = [&hold](const Json& t) {
            for (const std::string id : {"req-3", "req-4", "req-5"}) {
                if (hold && writes_key(t, "f/" + id)) return Treatment::refuse;
            }
            return Treatment::carry_out;
        };
        io::Scope racing;
        const auto race = [](Site& site, Json job, bool& accepted) -> Task<void> {
            auto step = submit(site, std::move(job));
            co_await std::move(step);
            accepted = true;
        };
        bool accepted = false;
        racing.spawn(race(s, dependent("req-7", "z", {"req-1"}), accepted));
        auto cancelling = cancel(s, "req-1");
        const auto answer17 = co_await std::move(cancelling);
        EXPECT_EQ(answer17["status"], "cancelled");
        std::vector<std::string> dependents{"req-3", "req-4", "req-5"};
        for (const auto& id : dependents) {
            auto asking = statuses(s, id);
            const auto told18 = co_await std::move(asking);
            EXPECT_EQ(told18, kCancelled) << id;
        }
        auto repeat = s.insist("POST", "/api/jobs", dependent("req-5", "x", {"req-2", "req-4"}), {200, 201});
        const auto answer19 = co_await std::move(repeat);
        EXPECT_EQ(answer19["status"], "cancelled");
        auto later = submit(s, dependent("req-8", "y", {"req-4"}));
        co_await std::move(later);
        const std::function<bool()> raced = [&accepted] { return accepted; };
        auto waiting = s.until(raced);
        co_await std::move(waiting);
        dependents.insert(dependents.end(), {"req-7", "req-8"});
        for (const auto& id : dependents) {
            auto asking = statuses(s, id);
            const auto told20 = co_await std::move(asking);
            EXPECT_EQ(told20, kCancelled) << id;
        }
        const std::string author = s.state.items.at("h/epoch").value["owners"]["y"];
        s.kill(s.index(author));
        hold = false;
        const std::function<bool()> written = [&] {
            return std::all_of(dependents.begin(), dependents.end(),
                               [&](const auto& id) { return final_state(s, id) == "cancelled"; });
        };
        auto waiting_2 = s.until(written);
        co_await std::move(waiting_2);
        s.start(s.index(author));
        for (const auto& id : dependents) {
            auto asking = statuses(s, id);
            const auto told21 = co_await std::move(asking);
            EXPECT_EQ(told21, kCancelled) << id;
            EXPECT_EQ(s.world.started[id + "/0"], 0) << id;
        }
        // The others go on.
        s.world.endless.clear();
        auto done = s.until_status("req-6", "done");
        co_await std::move(done);
    });
}

// An answer of `done` to a cancel, and a cancel of a waiting job by its own user.
TEST(Pipelines, ACancelAnsweredWithDoneLetsTheRestGoOn) {
    Site site{3};
    site.play([](Site& s) -> Task<void> {
        auto root = submit_endless(s, "req-1", "x");
        co_await std::move(root);
        auto other = submit_endless(s, "req-2", "x");
        co_await std::move(other);
        const std::vector<Json> jobs{dependent("req-3", "y", {"req-1", "req-2"}),
                                     dependent("req-4", "z", {"req-1", "req-2"}),
                                     dependent("req-5", "x", {"req-4"})};
        for (const Json& job : jobs) {
            auto step = submit(s, job);
            co_await std::move(step);
        }
        s.world.endless.erase("req-1");
        auto over = s.until_status("req-1", "done");
        co_await std::move(over);
        auto cancelling = cancel(s, "req-1");
        const auto answer22 = co_await std::move(cancelling);
        EXPECT_EQ(answer22["status"], "done");
        auto cancelling_2 = cancel(s, "req-4");
        const auto answer23 = co_await std::move(cancelling_2);
        EXPECT_EQ(answer23["status"], "cancelled");
        for (const std::string id : {"req-4", "req-5"}) {
            auto asking = statuses(s, id);
            const auto told24 = co_await std::move(asking);
            EXPECT_EQ(told24, kCancelled) << id;
        }
        s.world.endless.clear();
        auto over_2 = s.until_status("req-3", "done");
        co_await std::move(over_2);
        const std::function<bool()> written = [&s] {
            return final_state(s, "req-4") == "cancelled" && final_state(s, "req-5") == "cancelled";
        };
        auto waiting = s.until(written);
        co_await std::move(waiting);
        EXPECT_EQ(s.world.started["req-4/0"] + s.world.started["req-5/0"], 0);
    });
}

// A release gets no answer and is not carried out; the job is cancelled; the release arrives. And a duplicate
// of a release that was repeated meanwhile, and of a cancel's writes.
TEST(Pipelines, LateDuplicatesOfAReleaseOrOfACascadeChangeNothing) {
    Site site{3};
    site.play([](Site& s) -> Task<void> {
        auto root = submit_endless(s, "req-1", "x");
        co_await std::move(root);
        for (const std::string id : {"req-2", "req-3"}) {
            auto step = submit(s, dependent(id, id == "req-2" ? "y" : "z", {"req-1"}));
            co_await std::move(step);
        }
        std::map<std::string, Json> late;
        s.state.treat = [&late](const Json& t) {
            // Every release of the one that will be cancelled, and the first of the other.
            if (releases(t, "req-2") || (releases(t, "req-3") && !late.contains("req-3"))) {
                late[releases(t, "req-2") ? "req-2" : "req-3"] = t;
                return Treatment::hold;
            }
            if (writes_key(t, "f/req-2") && !late.contains("f/req-2")) {
                late["f/req-2"] = t;
                return Treatment::hold;
            }
            return Treatment::carry_out;
        };
        s.world.endless.clear();
        const std::function<bool()> recorded_attempts = [&late] {
            return late.contains("req-2") && late.contains("req-3");
        };
        auto waiting = s.until(recorded_attempts);
        co_await std::move(waiting);
        auto cancelling = cancel(s, "req-2");
        const auto answer25 = co_await std::move(cancelling);
        EXPECT_EQ(answer25["status"], "cancelled");
        EXPECT_EQ(s.state.late_commit(late.at("req-2")), 409);
        auto done = s.until_status("req-3", "done");
        co_await std::move(done);
        EXPECT_EQ(s.state.late_commit(late.at("req-3")), 409);
        const std::function<bool()> written = [&s] { return final_state(s, "req-2") == "cancelled"; };
        auto waiting_2 = s.until(written);
        co_await std::move(waiting_2);
        EXPECT_EQ(s.state.late_commit(late.at("f/req-2")), 409);
        EXPECT_EQ(s.state.late_commit(late.at("req-2")), 409);
        co_await s.loop.sleep(Micros{500'000});
        auto asking = statuses(s, "req-2");
        const auto told26 = co_await std::move(asking);
        EXPECT_EQ(told26, kCancelled);
        EXPECT_EQ(s.world.started["req-2/0"], 0);
        EXPECT_EQ(s.world.started["req-3/0"], 1);
        EXPECT_FALSE(s.state.items.contains("h/job/req-2"));
    });
}

// A release, a cascade and a submission are carried out and only their answers are lost.
TEST(Pipelines, LostAnswersOfTheStateServiceAreRecoveredFrom) {
    Site site{3};
    site.play([](Site& s) -> Task<void> {
        auto root = submit_endless(s, "req-1", "x");
        co_await std::move(root);
        std::set<std::string> lost;
        s.state.treat = [&lost](const Json& t) {
            for (const auto& w : t["writes"]) {
                const std::string key = w.value("write", "");
                const bool concerned = key.ends_with("/req-2") || key.ends_with("/req-3");
                const std::string kind = key + (w.contains("v") ? w["v"].value("team", "") : "");
                if (concerned && lost.insert(kind).second) return Treatment::lose_answer;
            }
            return Treatment::carry_out;
        };
        for (const std::string id : {"req-2", "req-3"}) {
            auto step = submit(s, dependent(id, "y", {id == "req-2" ? "req-1" : "req-2"}));
            co_await std::move(step);
        }
        s.world.endless.clear();
        auto done = s.until_status("req-3", "done");
        co_await std::move(done);
        EXPECT_EQ(s.world.started["req-2/0"], 1);
        EXPECT_EQ(s.world.started["req-3/0"], 1);
        EXPECT_GE(lost.size(), 6U);
    });
}

// While a controller that doesn't announce waiting jobs runs, nothing that waits is stored; what need not
// wait is accepted.
TEST(MixedVersions, NothingWaitsWhileAControllerOfAnEarlierVersionRuns) {
    Site site{2};
    site.play([](Site& s) -> Task<void> {
        auto root = submit_endless(s, "req-1", "x");
        co_await std::move(root);
        auto over = submit(s, Site::submission("req-2", "x", "sweep", 1));
        co_await std::move(over);
        auto done = s.until_status("req-2", "done");
        co_await std::move(done);
        // Its key as production writes it.
        EXPECT_EQ(s.state.late_commit({{"when", Json::array()},
                                       {"writes", {{{"write", "h/node/n9"}, {"v", {{"grant", 77}}}}}}}),
                  200);
        co_await s.loop.sleep(Micros{400'000});
        for (std::size_t node = 0; node < 2; ++node) {
            auto refused = s.call(node, "POST", "/api/jobs", dependent("req-3", "y", {"req-1"}));
            const auto reply27 = co_await std::move(refused);
            EXPECT_EQ(reply27.first, 503);
        }
        auto taken = s.call(0, "POST", "/api/jobs", dependent("req-4", "y", {"req-2"}));
        const auto reply28 = co_await std::move(taken);
        EXPECT_EQ(reply28.first, 201);
        EXPECT_FALSE(s.state.items.contains("h/job/req-3"));
        s.state.late_commit({{"when", Json::array()}, {"writes", Json::array({{{"delete", "h/node/n9"}}})}});
        auto accepted = submit(s, dependent("req-3", "y", {"req-1"}));
        co_await std::move(accepted);
        s.world.endless.clear();
        auto done_2 = s.until_status("req-3", "done");
        co_await std::move(done_2);
    });
}

// An earlier version writes a waiting job's record anew when a user cancels the job there, with the fields
// that it knows; the team that the job would have had is lost.
TEST(MixedVersions, AWaitingJobThatAnEarlierVersionHasCancelledEnds) {
    Site site{3};
    site.play([](Site& s) -> Task<void> {
        auto root = submit_endless(s, "req-1", "x");
        co_await std::move(root);
        for (const std::string id : {"req-2", "req-3"}) {
            auto step = submit(s, dependent(id, "y", {id == "req-2" ? "req-1" : "req-2"}));
            co_await std::move(step);
        }
        const auto& item = s.state.items.at("h/job/req-2");
        Json rewritten = item.value;
        rewritten.erase("awaits");
        rewritten.erase("later_team");
        rewritten["cancelled"] = io::wall_now().count();
        EXPECT_EQ(s.state.late_commit({{"when", {{{"path", "h/job/req-2"}, {"stamp", item.mod_revision}}}},
                                       {"writes", {{{"write", "h/job/req-2"}, {"v", rewritten}}}}}),
                  200);
        for (const std::string id : {"req-2", "req-3"}) {
            auto asking = statuses(s, id);
            const auto told29 = co_await std::move(asking);
            EXPECT_EQ(told29, kCancelled) << id;
        }
        const std::function<bool()> written = [&s] {
            return final_state(s, "req-2") == "cancelled" && final_state(s, "req-3") == "cancelled";
        };
        auto waiting = s.until(written);
        co_await std::move(waiting);
    });
}

// What production makes of the record of a waiting job: it reads the fields that it knows, and a team that no
// settings name is nobody's. The controller never releases a job whose dependencies it can't read, and never
// places it.
TEST(MixedVersions, ARecordWithoutItsNewFieldsIsKeptQueuedAndNeverPlaced) {
    Site site{2};
    site.play([](Site& s) -> Task<void> {
        auto root = submit_endless(s, "req-1", "x");
        co_await std::move(root);
        auto second = submit(s, dependent("req-2", "y", {"req-1"}));
        co_await std::move(second);
        auto& item = s.state.items.at("h/job/req-2");
        Json stripped = item.value;
        stripped.erase("awaits");
        stripped.erase("later_team");
        const auto read = wire::parse_job_record("req-2", stripped);
        EXPECT_TRUE(read && read->waiting() && !read->dependencies_known());
        s.state.late_commit(
            {{"when", Json::array()}, {"writes", {{{"write", "h/job/req-2"}, {"v", stripped}}}}});
        s.world.endless.clear();
        auto over = s.until_status("req-1", "done");
        co_await std::move(over);
        auto busy = s.run("req-5", "y", "sweep", 4);
        co_await std::move(busy);
        EXPECT_EQ(s.world.started["req-2/0"], 0);
        EXPECT_TRUE(s.state.items.contains("h/job/req-2"));
    });
}

// A heartbeat as an earlier version sends it ends before the capabilities.
TEST(MixedVersions, AHeartbeatOfAnEarlierVersionAnnouncesNothing) {
    wire::PeerHeartbeat heartbeat;
    heartbeat.label = "n1";
    heartbeat.capabilities = core::kCapabilities;
    std::string frame = wire::encode_frame(heartbeat);
    wire::FrameReader reader;
    reader.add(frame);
    EXPECT_EQ(std::get<wire::PeerHeartbeat>(*reader.next()).capabilities, core::kCapabilities);
    frame.pop_back();
    frame[0] = static_cast<char>(frame[0] - 1);
    reader.add(frame);
    const auto earlier = reader.next();
    ASSERT_TRUE(earlier);
    EXPECT_EQ(std::get<wire::PeerHeartbeat>(*earlier).capabilities, 0U);
}

}  // namespace
}  // namespace hatchwind
