// End-to-end tests of jobs that depend on other jobs: complete controllers against stand-ins of the store,
// the cloud and the workers.
#include <gtest/gtest.h>

#include "test_deployment.hpp"
#include "wire/records.hpp"
#include "wire/user_api.hpp"

namespace hatchwind {
namespace {

using io::Micros;
using io::Task;
using test::TestDeployment;
using wire::Json;
using CommitHandling = test::FakeStore::CommitHandling;

std::string id_of(int number) { return "req-" + std::to_string(number); }

Json dependent(const std::string& id, const std::string& team, const std::vector<std::string>& dependencies) {
    Json submission = TestDeployment::submission(id, team, "sweep", 1);
    submission["awaits"] = dependencies;
    return submission;
}

// Submits a job and registers its dependencies with the rule checks: a start before they complete is a
// violation.
Task<Json> submit(TestDeployment& site, Json submission) {
    const std::string id = submission["id"];
    if (submission.contains("awaits")) {
        for (const auto& dependency : submission["awaits"])
            site.workload.required_tasks[id].push_back(dependency.get<std::string>() + "/0");
    }
    auto task = site.retry_until("POST", "/api/jobs", std::move(submission), {200, 201});
    Json answer = co_await std::move(task);
    co_return answer;
}
Task<Json> cancel(TestDeployment& site, std::string id) {
    auto task = site.retry_until("POST", "/api/jobs/" + id + "/cancel", nullptr, {200});
    Json answer = co_await std::move(task);
    co_return answer;
}
// Returns the statuses that the live controllers report for the job. Polls each one until it answers with
// 200.
Task<std::set<std::string>> statuses(TestDeployment& site, std::string id) {
    std::set<std::string> reported;
    for (std::size_t node = 0; node < site.labels().size(); ++node) {
        while (site.up(node)) {
            auto task = site.call(node, "GET", "/api/jobs/" + id, nullptr);
            const auto [status, body] = co_await std::move(task);
            if (status == 200) {
                reported.insert(body.value("status", ""));
                break;
            }
            co_await site.loop.sleep(Micros{50'000});
        }
    }
    co_return reported;
}
// Submits a job with one task that runs until the test removes it from `endless_jobs`, and waits for its
// start.
Task<void> submit_endless(TestDeployment& site, std::string id, std::string team) {
    site.workload.endless_jobs.insert(id);
    auto step = submit(site, TestDeployment::submission(id, team, "sweep", 1));
    co_await std::move(step);
    const std::function<bool()> runs = [&site, id] { return site.workload.running.contains(id + "/0"); };
    auto waiting = site.until(runs);
    co_await std::move(waiting);
}
std::string final_state(const TestDeployment& site, const std::string& id) {
    const auto item = site.state.items.find("f/" + id);
    return item == site.state.items.end() ? "" : item->second.value["s"].get<std::string>();
}
bool writes_key(const Json& transaction, const std::string& key) {
    const auto& writes = transaction["writes"];
    return std::any_of(writes.begin(), writes.end(),
                       [&](const Json& write) { return write.value("write", "") == key; });
}
// Returns true if the transaction writes the record of the job as released.
bool releases(const Json& transaction, const std::string& id) {
    const auto& writes = transaction["writes"];
    return std::any_of(writes.begin(), writes.end(), [&](const Json& write) {
        return write.value("write", "") == "h/job/" + id && write["v"]["team"] != core::kWaitingTeam;
    });
}
const std::set<std::string> kQueued{"queued"};
const std::set<std::string> kCancelled{"cancelled"};

TEST(PipelineSubmission, DependencyListsAreValidated) {
    const auto parse = [](const Json& dependencies) {
        Json submission = TestDeployment::submission("req-7", "x", "sweep", 1);
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

TEST(PipelineSubmission, MalformedIs400UnknownDependencyIs422AndUndecidedIs503) {
    TestDeployment test_site{3};
    test_site.play([](TestDeployment& site) -> Task<void> {
        auto first = submit_endless(site, "req-1", "x");
        co_await std::move(first);
        for (std::size_t node = 0; node < 3; ++node) {
            Json wrong = dependent("req-2", "y", {});
            wrong["awaits"] = "req-1";
            auto malformed = site.call(node, "POST", "/api/jobs", wrong);
            const auto malformed_reply = co_await std::move(malformed);
            EXPECT_EQ(malformed_reply.first, 400);
            auto self_dependency =
                site.call(node, "POST", "/api/jobs", dependent("req-2", "y", {"req-1", "req-2"}));
            const auto self_dependency_reply = co_await std::move(self_dependency);
            EXPECT_EQ(self_dependency_reply.first, 400);
            auto unknown_dependency =
                site.call(node, "POST", "/api/jobs", dependent("req-2", "y", {"req-1", "req-99"}));
            const auto unknown_dependency_reply = co_await std::move(unknown_dependency);
            EXPECT_EQ(unknown_dependency_reply.first, 422);
        }
        // The store answers too late for the controller to determine whether the dependency exists.
        site.state.read_latency = Micros{4'000'000};
        auto late = site.call(1, "POST", "/api/jobs", dependent("req-2", "y", {"req-1", "req-99"}));
        const auto late_reply = co_await std::move(late);
        EXPECT_EQ(late_reply.first, 503);
        site.state.read_latency = Micros{0};
        // A repeated submission of an accepted job returns the job's status, even if its content differs.
        auto accepted = submit(site, dependent("req-2", "y", {"req-1"}));
        const auto accepted_answer = co_await std::move(accepted);
        EXPECT_EQ(accepted_answer["status"], "queued");
        Json repeat = dependent("req-2", "y", {"req-99"});
        auto repeating = site.retry_until("POST", "/api/jobs", repeat, {200, 201, 400, 422});
        const auto repeat_answer = co_await std::move(repeating);
        EXPECT_EQ(repeat_answer["status"], "queued");
        repeat["awaits"] = 5;
        auto repeating_malformed = site.retry_until("POST", "/api/jobs", repeat, {200, 201, 400, 422});
        const auto malformed_repeat_answer = co_await std::move(repeating_malformed);
        EXPECT_EQ(malformed_repeat_answer["status"], "queued");
        EXPECT_EQ(site.state.items.at("h/job/req-2").value["team"], core::kWaitingTeam);
    });
}

// The jobs of the pipeline belong to three teams, each with its own shard owner. Deadlines count from the
// submission, not from the release.
TEST(Pipelines, AJobStaysQueuedUntilItsDependenciesAreDoneAndRunsOnce) {
    TestDeployment test_site{3};
    test_site.play([](TestDeployment& site) -> Task<void> {
        auto root = submit_endless(site, "req-1", "x");
        co_await std::move(root);
        Json second = dependent("req-2", "y", {"req-1", "req-1"});
        second["dueS"] = 900.0;
        Json third = dependent("req-3", "z", {"req-2", "req-1"});
        third["dueS"] = 0.0;  // missed long before the release
        std::vector<Json> jobs{second, third};
        for (Json& job : jobs) {
            auto step = submit(site, job);
            const auto answer = co_await std::move(step);
            EXPECT_EQ(answer["status"], "queued");
        }
        const auto submitted = site.state.items.at("h/job/req-2").value["at"].get<double>();
        std::map<std::string, Json> released;
        site.state.on_commit = [&released](const Json& transaction) {
            for (const std::string id : {"req-2", "req-3"}) {
                if (!releases(transaction, id) || released.contains(id)) continue;
                for (const auto& write : transaction["writes"]) {
                    if (write.value("write", "") == "h/job/" + id) released[id] = write["v"];
                }
            }
        };
        co_await site.loop.sleep(Micros{600'000});
        for (const std::string id : {"req-2", "req-3"}) {
            auto polling = statuses(site, id);
            const auto reported = co_await std::move(polling);
            EXPECT_EQ(reported, kQueued);
            EXPECT_EQ(site.state.items.at("h/job/" + id).value["team"], core::kWaitingTeam);
        }
        site.workload.endless_jobs.clear();
        auto done = site.until_status("req-3", "done");
        co_await std::move(done);
        EXPECT_EQ(site.workload.completed["req-2/0"], 1);
        EXPECT_EQ(final_state(site, "req-2"), "done");
        const Json& record = released.at("req-2");
        EXPECT_FALSE(record.contains("awaits"));
        EXPECT_EQ(record["team"], "y");
        EXPECT_NEAR(record["at"].get<double>() + record["due"].get<double>() * 1e6, submitted + 900e6, 1e3);
        EXPECT_GT(record["at"].get<double>(), submitted + 0.5e6);
        EXPECT_LT(released.at("req-3")["due"].get<double>(), 0);
        site.state.on_commit = nullptr;
        // A job whose dependencies are done at its submission does not wait.
        auto last = submit(site, dependent("req-4", "x", {"req-1", "req-2", "req-3"}));
        co_await std::move(last);
        EXPECT_EQ(site.state.items.at("h/job/req-4").value["team"], "x");
        auto end = site.until_status("req-4", "done");
        co_await std::move(end);
    });
}

// The first job of a chain of several hundred jobs is cancelled. Every controller reports all of them as
// cancelled at once and never reports an older status, although the records are written later in many
// transactions.
TEST(Pipelines, ACancelReachesTheEndOfALongChainAtOnce) {
    TestDeployment test_site{3};
    test_site.play([](TestDeployment& site) -> Task<void> {
        constexpr int kLast = 300;
        const std::vector<std::string> teams{"x", "y", "z"};
        auto root = submit_endless(site, id_of(0), "x");
        co_await std::move(root);
        for (int i = 1; i <= kLast; ++i) {
            auto step = submit(
                site, dependent(id_of(i), teams[static_cast<std::size_t>(i) % 3], {id_of(i - 1), id_of(0)}));
            co_await std::move(step);
        }
        auto polling = statuses(site, id_of(kLast));
        const auto reported = co_await std::move(polling);
        EXPECT_EQ(reported, kQueued);
        auto cancelling = cancel(site, id_of(0));
        const auto cancel_answer = co_await std::move(cancelling);
        EXPECT_EQ(cancel_answer["status"], "cancelled");
        for (const int i : {kLast, 1, kLast / 2}) {
            auto polling_after_cancel = statuses(site, id_of(i));
            const auto reported_after_cancel = co_await std::move(polling_after_cancel);
            EXPECT_EQ(reported_after_cancel, kCancelled) << i;
        }
        auto later = submit(site, dependent(id_of(kLast + 1), "y", {id_of(kLast)}));
        const auto later_answer = co_await std::move(later);
        EXPECT_EQ(later_answer["status"], "cancelled");
        const std::function<bool()> written = [&site] {
            for (int i = 0; i <= kLast + 1; ++i) {
                if (final_state(site, id_of(i)) != "cancelled") return false;
            }
            return true;
        };
        auto waiting = site.until(written);
        co_await std::move(waiting);
        for (int i = 1; i <= kLast + 1; i += 50) {
            auto polling_after_writes = statuses(site, id_of(i));
            const auto reported_after_writes = co_await std::move(polling_after_writes);
            EXPECT_EQ(reported_after_writes, kCancelled) << i;
        }
        EXPECT_EQ(site.workload.started.size(), 1U);
    });
}

// A fan-out of several hundred jobs, and one job that depends on all of them and lists each twice. The value
// limit is so small that the dependency list is stored in separate records. The last job starts only when the
// others are done, and the lists are then removed from the store.
TEST(Pipelines, AWideFanOutAndADependencyListBeyondTheValueLimitAreReleased) {
    TestDeployment test_site{3};
    const auto start_again = [&test_site](controller::Settings& settings) {
        settings.value_kb = 2;
        settings.txn_ops = 4;
    };
    for (std::size_t i = 0; i < 3; ++i) test_site.kill(i);
    test_site.adjust_settings = start_again;
    for (std::size_t i = 0; i < 3; ++i) test_site.start(i);
    test_site.play([](TestDeployment& site) -> Task<void> {
        constexpr int kWidth = 250;
        site.workload.run_time = Micros{50'000};
        auto root = submit_endless(site, id_of(100'000), "x");
        co_await std::move(root);
        std::vector<std::string> fan;
        for (int i = 1; i <= kWidth; ++i) {
            fan.push_back(id_of(100'000 + i));
            auto step = submit(site, dependent(fan.back(), i % 2 == 0 ? "x" : "y", {id_of(100'000)}));
            co_await std::move(step);
        }
        std::vector<std::string> twice = fan;
        twice.insert(twice.end(), fan.begin(), fan.end());
        auto last = submit(site, dependent(id_of(200'000), "z", twice));
        co_await std::move(last);
        const auto parts = [&site] {
            std::size_t count = 0;
            for (const auto& [key, item] : site.state.items) {
                count += key.starts_with("h/awaits/req-200000/") ? 1 : 0;
                EXPECT_LE(item.value.dump().size(), 2048U) << key;
            }
            return count;
        };
        EXPECT_GE(parts(), 2U);
        // A controller that restarts loads the list from the store.
        site.kill(0);
        co_await site.loop.sleep(Micros{300'000});
        site.start(0);
        auto polling = statuses(site, id_of(200'000));
        const auto reported = co_await std::move(polling);
        EXPECT_EQ(reported, kQueued);
        site.workload.endless_jobs.clear();
        auto done = site.until_status(id_of(200'000), "done");
        co_await std::move(done);
        EXPECT_EQ(site.workload.completed.size(), static_cast<std::size_t>(kWidth + 2));
        const std::function<bool()> removed = [&parts] { return parts() == 0; };
        auto waiting = site.until(removed);
        co_await std::move(waiting);
        EXPECT_LE(site.state.max_transaction_writes, 4U);
    });
}

// A submission of nearly the maximum size depends on thousands of finished jobs. Their final states are read
// in pages, and only the dependency that is still running is kept.
TEST(Pipelines, ASubmissionWithThousandsOfDependenciesNeedsFewReads) {
    TestDeployment test_site{2};
    constexpr int kNames = 4500;
    for (int i = 0; i < kNames; ++i)
        test_site.state.items["f/" + id_of(100'000 + i)] = {{{"s", "done"}, {"done", 1}}, 1, 0};
    test_site.play([](TestDeployment& site) -> Task<void> {
        auto root = submit_endless(site, "req-1", "x");
        co_await std::move(root);
        std::vector<std::string> names{"req-1"};
        for (int i = 0; i < kNames; ++i) names.push_back(id_of(100'000 + i));
        Json submission = dependent("req-2", "y", names);
        EXPECT_GT(submission.dump().size(), 58'000U);
        EXPECT_LE(submission.dump().size(), 65'536U);
        auto accepting = site.retry_until("POST", "/api/jobs", submission, {200, 201, 400, 422});
        const auto answer = co_await std::move(accepting);
        EXPECT_EQ(answer["status"], "queued");
        EXPECT_EQ(site.state.items.at("h/job/req-2").value["awaits"], Json::array({"req-1"}));
        site.workload.endless_jobs.clear();
        auto done = site.until_status("req-2", "done");
        co_await std::move(done);
        // The same submission is accepted when all its dependencies are done.
        submission["id"] = "req-3";
        auto ordinary = site.retry_until("POST", "/api/jobs", submission, {201, 400, 422});
        co_await std::move(ordinary);
        auto done_2 = site.until_status("req-3", "done");
        co_await std::move(done_2);
    });
}

// The shard owner of a waiting job's team crashes when the job's last dependency is done; twice in a row.
TEST(Pipelines, TheNextShardOwnerReleasesJobsThatThePreviousOneLeftWaiting) {
    TestDeployment test_site{3};
    test_site.play([](TestDeployment& site) -> Task<void> {
        auto root = submit_endless(site, "req-1", "x");
        co_await std::move(root);
        auto second = submit(site, dependent("req-2", "y", {"req-1"}));
        co_await std::move(second);
        auto third = submit(site, dependent("req-3", "z", {"req-2"}));
        co_await std::move(third);
        // The store refuses each release until the shard owner of the job's team has crashed.
        std::set<std::string> refused_releases{"req-2", "req-3"};
        site.state.commit_handling = [&refused_releases](const Json& transaction) {
            for (const auto& id : refused_releases) {
                if (releases(transaction, id)) return CommitHandling::refuse;
            }
            return CommitHandling::apply;
        };
        site.workload.endless_jobs.clear();
        const std::vector<std::pair<std::string, std::string>> steps{{"req-1", "y"}, {"req-2", "z"}};
        for (const auto& [ended, team] : steps) {
            const std::function<bool()> finished = [&site, ended = ended] {
                return final_state(site, ended) == "done";
            };
            auto waiting = site.until(finished);
            co_await std::move(waiting);
            co_await site.loop.sleep(Micros{100'000});
            const std::string owner = site.state.items.at("h/epoch").value["owners"][team];
            const std::size_t crashed = site.index(owner);
            site.kill(crashed);
            refused_releases.erase(team == "y" ? "req-2" : "req-3");
            const std::string next = team == "y" ? "req-2" : "req-3";
            const std::function<bool()> released = [&site, next] {
                return !final_state(site, next).empty() ||
                       site.state.items.at("h/job/" + next).value["team"] != core::kWaitingTeam;
            };
            auto waiting_2 = site.until(released);
            co_await std::move(waiting_2);
            site.start(crashed);
        }
        auto done = site.until_status("req-3", "done");
        co_await std::move(done);
        EXPECT_EQ(site.workload.started["req-2/0"], 1);
        EXPECT_EQ(site.workload.started["req-3/0"], 1);
    });
}

// A job with dependents of several teams and shard owners is cancelled. The store refuses to record the
// cancellation of the dependents, a shard owner that writes them crashes, and more dependents are submitted
// during and after the cancellation. Once it is confirmed, every controller must report every dependent as
// cancelled, and none may start.
TEST(Pipelines, ACancelCancelsAllDependentsWhenTheirRecordsAreDelayedAndTheShardOwnerCrashes) {
    TestDeployment test_site{3};
    test_site.state.watch_latency = Micros{80'000};
    test_site.play([](TestDeployment& site) -> Task<void> {
        auto root = submit_endless(site, "req-1", "x");
        co_await std::move(root);
        auto other = submit_endless(site, "req-2", "x");
        co_await std::move(other);
        const std::vector<Json> jobs{dependent("req-3", "y", {"req-1"}), dependent("req-4", "z", {"req-3"}),
                                     dependent("req-5", "x", {"req-2", "req-4"}),
                                     dependent("req-6", "y", {"req-2"})};
        for (const Json& job : jobs) {
            auto step = submit(site, job);
            co_await std::move(step);
        }
        bool hold = true;
        site.state.commit_handling = [&hold](const Json& transaction) {
            for (const std::string id : {"req-3", "req-4", "req-5"}) {
                if (hold && writes_key(transaction, "f/" + id)) return CommitHandling::refuse;
            }
            return CommitHandling::apply;
        };
        io::Scope racing;
        const auto race = [](TestDeployment& raced_site, Json job, bool& accepted) -> Task<void> {
            auto step = submit(raced_site, std::move(job));
            co_await std::move(step);
            accepted = true;
        };
        bool accepted = false;
        racing.spawn(race(site, dependent("req-7", "z", {"req-1"}), accepted));
        auto cancelling = cancel(site, "req-1");
        const auto cancel_answer = co_await std::move(cancelling);
        EXPECT_EQ(cancel_answer["status"], "cancelled");
        std::vector<std::string> dependents{"req-3", "req-4", "req-5"};
        for (const auto& id : dependents) {
            auto polling = statuses(site, id);
            const auto reported = co_await std::move(polling);
            EXPECT_EQ(reported, kCancelled) << id;
        }
        auto repeat =
            site.retry_until("POST", "/api/jobs", dependent("req-5", "x", {"req-2", "req-4"}), {200, 201});
        const auto repeat_answer = co_await std::move(repeat);
        EXPECT_EQ(repeat_answer["status"], "cancelled");
        auto later = submit(site, dependent("req-8", "y", {"req-4"}));
        co_await std::move(later);
        const std::function<bool()> raced = [&accepted] { return accepted; };
        auto waiting = site.until(raced);
        co_await std::move(waiting);
        dependents.insert(dependents.end(), {"req-7", "req-8"});
        for (const auto& id : dependents) {
            auto polling = statuses(site, id);
            const auto reported = co_await std::move(polling);
            EXPECT_EQ(reported, kCancelled) << id;
        }
        const std::string shard_owner = site.state.items.at("h/epoch").value["owners"]["y"];
        site.kill(site.index(shard_owner));
        hold = false;
        const std::function<bool()> written = [&] {
            return std::all_of(dependents.begin(), dependents.end(),
                               [&](const auto& id) { return final_state(site, id) == "cancelled"; });
        };
        auto waiting_2 = site.until(written);
        co_await std::move(waiting_2);
        site.start(site.index(shard_owner));
        for (const auto& id : dependents) {
            auto polling = statuses(site, id);
            const auto reported = co_await std::move(polling);
            EXPECT_EQ(reported, kCancelled) << id;
            EXPECT_EQ(site.workload.started[id + "/0"], 0) << id;
        }
        // Jobs that do not depend on the cancelled job still run.
        site.workload.endless_jobs.clear();
        auto done = site.until_status("req-6", "done");
        co_await std::move(done);
    });
}

// Cancelling a job that is already done is answered with `done` and does not affect its dependents.
// Cancelling a waiting job cancels only that job and its dependents.
TEST(Pipelines, ACancelOfADoneJobDoesNotCancelItsDependents) {
    TestDeployment test_site{3};
    test_site.play([](TestDeployment& site) -> Task<void> {
        auto root = submit_endless(site, "req-1", "x");
        co_await std::move(root);
        auto other = submit_endless(site, "req-2", "x");
        co_await std::move(other);
        const std::vector<Json> jobs{dependent("req-3", "y", {"req-1", "req-2"}),
                                     dependent("req-4", "z", {"req-1", "req-2"}),
                                     dependent("req-5", "x", {"req-4"})};
        for (const Json& job : jobs) {
            auto step = submit(site, job);
            co_await std::move(step);
        }
        site.workload.endless_jobs.erase("req-1");
        auto finished = site.until_status("req-1", "done");
        co_await std::move(finished);
        auto cancelling = cancel(site, "req-1");
        const auto done_job_answer = co_await std::move(cancelling);
        EXPECT_EQ(done_job_answer["status"], "done");
        auto cancelling_2 = cancel(site, "req-4");
        const auto waiting_job_answer = co_await std::move(cancelling_2);
        EXPECT_EQ(waiting_job_answer["status"], "cancelled");
        for (const std::string id : {"req-4", "req-5"}) {
            auto polling = statuses(site, id);
            const auto reported = co_await std::move(polling);
            EXPECT_EQ(reported, kCancelled) << id;
        }
        site.workload.endless_jobs.clear();
        auto over_2 = site.until_status("req-3", "done");
        co_await std::move(over_2);
        const std::function<bool()> written = [&site] {
            return final_state(site, "req-4") == "cancelled" && final_state(site, "req-5") == "cancelled";
        };
        auto waiting = site.until(written);
        co_await std::move(waiting);
        EXPECT_EQ(site.workload.started["req-4/0"] + site.workload.started["req-5/0"], 0);
    });
}

// The store delays a release, the job is cancelled, and then the release arrives. Also covers late duplicates
// of a release that was retried and of the writes of a cancellation.
TEST(Pipelines, LateDuplicatesOfAReleaseOrOfACascadeChangeNothing) {
    TestDeployment test_site{3};
    test_site.play([](TestDeployment& site) -> Task<void> {
        auto root = submit_endless(site, "req-1", "x");
        co_await std::move(root);
        for (const std::string id : {"req-2", "req-3"}) {
            auto step = submit(site, dependent(id, id == "req-2" ? "y" : "z", {"req-1"}));
            co_await std::move(step);
        }
        std::map<std::string, Json> late;
        site.state.commit_handling = [&late](const Json& transaction) {
            // Delays every release of the job that will be cancelled, and the first release of the other job.
            if (releases(transaction, "req-2") ||
                (releases(transaction, "req-3") && !late.contains("req-3"))) {
                late[releases(transaction, "req-2") ? "req-2" : "req-3"] = transaction;
                return CommitHandling::hold;
            }
            if (writes_key(transaction, "f/req-2") && !late.contains("f/req-2")) {
                late["f/req-2"] = transaction;
                return CommitHandling::hold;
            }
            return CommitHandling::apply;
        };
        site.workload.endless_jobs.clear();
        const std::function<bool()> recorded_attempts = [&late] {
            return late.contains("req-2") && late.contains("req-3");
        };
        auto waiting = site.until(recorded_attempts);
        co_await std::move(waiting);
        auto cancelling = cancel(site, "req-2");
        const auto cancel_answer = co_await std::move(cancelling);
        EXPECT_EQ(cancel_answer["status"], "cancelled");
        EXPECT_EQ(site.state.deliver_late_commit(late.at("req-2")), 409);
        auto done = site.until_status("req-3", "done");
        co_await std::move(done);
        EXPECT_EQ(site.state.deliver_late_commit(late.at("req-3")), 409);
        const std::function<bool()> written = [&site] { return final_state(site, "req-2") == "cancelled"; };
        auto waiting_2 = site.until(written);
        co_await std::move(waiting_2);
        EXPECT_EQ(site.state.deliver_late_commit(late.at("f/req-2")), 409);
        EXPECT_EQ(site.state.deliver_late_commit(late.at("req-2")), 409);
        co_await site.loop.sleep(Micros{500'000});
        auto polling = statuses(site, "req-2");
        const auto reported = co_await std::move(polling);
        EXPECT_EQ(reported, kCancelled);
        EXPECT_EQ(site.workload.started["req-2/0"], 0);
        EXPECT_EQ(site.workload.started["req-3/0"], 1);
        EXPECT_FALSE(site.state.items.contains("h/job/req-2"));
    });
}

// The store commits submissions, releases and final states, but the first answer to each is lost.
TEST(Pipelines, LostAnswersOfTheStateServiceAreRecoveredFrom) {
    TestDeployment test_site{3};
    test_site.play([](TestDeployment& site) -> Task<void> {
        auto root = submit_endless(site, "req-1", "x");
        co_await std::move(root);
        std::set<std::string> lost;
        site.state.commit_handling = [&lost](const Json& transaction) {
            for (const auto& write : transaction["writes"]) {
                const std::string key = write.value("write", "");
                const bool is_affected = key.ends_with("/req-2") || key.ends_with("/req-3");
                const std::string kind = key + (write.contains("v") ? write["v"].value("team", "") : "");
                if (is_affected && lost.insert(kind).second) return CommitHandling::lose_response;
            }
            return CommitHandling::apply;
        };
        for (const std::string id : {"req-2", "req-3"}) {
            auto step = submit(site, dependent(id, "y", {id == "req-2" ? "req-1" : "req-2"}));
            co_await std::move(step);
        }
        site.workload.endless_jobs.clear();
        auto done = site.until_status("req-3", "done");
        co_await std::move(done);
        EXPECT_EQ(site.workload.started["req-2/0"], 1);
        EXPECT_EQ(site.workload.started["req-3/0"], 1);
        EXPECT_GE(lost.size(), 6U);
    });
}

// While a controller runs that does not announce support for waiting jobs, jobs that would have to wait are
// rejected with 503. Jobs whose dependencies are done are accepted.
TEST(MixedVersions, NoWaitingJobIsAcceptedWhileAControllerOfAnEarlierVersionRuns) {
    TestDeployment test_site{2};
    test_site.play([](TestDeployment& site) -> Task<void> {
        auto root = submit_endless(site, "req-1", "x");
        co_await std::move(root);
        auto submitting = submit(site, TestDeployment::submission("req-2", "x", "sweep", 1));
        co_await std::move(submitting);
        auto done = site.until_status("req-2", "done");
        co_await std::move(done);
        // The key and value that the earlier version writes for a controller.
        EXPECT_EQ(
            site.state.deliver_late_commit(
                {{"when", Json::array()}, {"writes", {{{"write", "h/node/n9"}, {"v", {{"grant", 77}}}}}}}),
            200);
        co_await site.loop.sleep(Micros{400'000});
        for (std::size_t node = 0; node < 2; ++node) {
            auto refused = site.call(node, "POST", "/api/jobs", dependent("req-3", "y", {"req-1"}));
            const auto refused_reply = co_await std::move(refused);
            EXPECT_EQ(refused_reply.first, 503);
        }
        auto taken = site.call(0, "POST", "/api/jobs", dependent("req-4", "y", {"req-2"}));
        const auto accepted_reply = co_await std::move(taken);
        EXPECT_EQ(accepted_reply.first, 201);
        EXPECT_FALSE(site.state.items.contains("h/job/req-3"));
        site.state.deliver_late_commit(
            {{"when", Json::array()}, {"writes", Json::array({{{"delete", "h/node/n9"}}})}});
        auto accepted = submit(site, dependent("req-3", "y", {"req-1"}));
        co_await std::move(accepted);
        site.workload.endless_jobs.clear();
        auto done_2 = site.until_status("req-3", "done");
        co_await std::move(done_2);
    });
}

// When a user cancels a waiting job at a controller of an earlier version, that version rewrites the job's
// record with only the fields that it knows. The team that the job would have belonged to is lost.
TEST(MixedVersions, AWaitingJobThatAnEarlierVersionHasCancelledEnds) {
    TestDeployment test_site{3};
    test_site.play([](TestDeployment& site) -> Task<void> {
        auto root = submit_endless(site, "req-1", "x");
        co_await std::move(root);
        for (const std::string id : {"req-2", "req-3"}) {
            auto step = submit(site, dependent(id, "y", {id == "req-2" ? "req-1" : "req-2"}));
            co_await std::move(step);
        }
        const auto& item = site.state.items.at("h/job/req-2");
        Json rewritten = item.value;
        rewritten.erase("awaits");
        rewritten.erase("later_team");
        rewritten["cancelled"] = io::wall_now().count();
        EXPECT_EQ(site.state.deliver_late_commit(
                      {{"when", {{{"path", "h/job/req-2"}, {"stamp", item.mod_revision}}}},
                       {"writes", {{{"write", "h/job/req-2"}, {"v", rewritten}}}}}),
                  200);
        for (const std::string id : {"req-2", "req-3"}) {
            auto polling = statuses(site, id);
            const auto reported = co_await std::move(polling);
            EXPECT_EQ(reported, kCancelled) << id;
        }
        const std::function<bool()> written = [&site] {
            return final_state(site, "req-2") == "cancelled" && final_state(site, "req-3") == "cancelled";
        };
        auto waiting = site.until(written);
        co_await std::move(waiting);
    });
}

// A controller of an earlier version rewrites the record of a waiting job with only the fields that it knows.
// The record's team is in no settings, so it has no shard owner. A job whose dependencies can't be read is
// neither released nor placed.
TEST(MixedVersions, ARecordWithoutItsNewFieldsIsKeptQueuedAndNeverPlaced) {
    TestDeployment test_site{2};
    test_site.play([](TestDeployment& site) -> Task<void> {
        auto root = submit_endless(site, "req-1", "x");
        co_await std::move(root);
        auto second = submit(site, dependent("req-2", "y", {"req-1"}));
        co_await std::move(second);
        auto& item = site.state.items.at("h/job/req-2");
        Json stripped = item.value;
        stripped.erase("awaits");
        stripped.erase("later_team");
        const auto read = wire::parse_job_record("req-2", stripped);
        EXPECT_TRUE(read && read->waiting() && !read->dependencies_known());
        site.state.deliver_late_commit(
            {{"when", Json::array()}, {"writes", {{{"write", "h/job/req-2"}, {"v", stripped}}}}});
        site.workload.endless_jobs.clear();
        auto finished = site.until_status("req-1", "done");
        co_await std::move(finished);
        auto busy = site.run("req-5", "y", "sweep", 4);
        co_await std::move(busy);
        EXPECT_EQ(site.workload.started["req-2/0"], 0);
        EXPECT_TRUE(site.state.items.contains("h/job/req-2"));
    });
}

// The heartbeat of an earlier version ends before the capabilities field.
TEST(MixedVersions, AHeartbeatOfAnEarlierVersionAnnouncesNoCapabilities) {
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
