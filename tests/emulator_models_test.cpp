// The emulator's models: each broken rule is found in a made-up list of events, a right one stays quiet, and
// workers and cloud hold to the protocol.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <memory>
#include <set>

#include "emulator/checker.hpp"
#include "emulator/model_faults.hpp"
#include "emulator/report.hpp"
#include "emulator/scenario.hpp"
#include "emulator/worker.hpp"
#include "fake_services.hpp"

namespace hatchwind::emulator {
namespace {

Micros at(double seconds) { return from_seconds(seconds); }

// --- checker ---

JobSpec plain_job(const std::string& id) {
    JobSpec spec;
    spec.id = id;
    spec.job_class = "maps";
    spec.team = "survey";
    spec.tasks = 2;
    spec.per_task = {2, 0, 4};
    spec.image = "base";
    spec.image_gb = 1;
    return spec;
}

class CheckerTest : public testing::Test {
  protected:
    CheckerTest() {
        CheckerRules rules;
        rules.teams["survey"] = {8, 0};
        rules.cancel_time = at(20);
        checker_ = std::make_unique<Checker>(rules);
        tell(0, MachineUp{"n-1", "small", "a", false, {8, 0, 32}});
        tell(0, MachineUp{"n-2", "small", "b", false, {8, 0, 32}});
        tell(0, MachineUp{"n-3", "large", "a", true, {8, 0, 32}});
    }
    void tell(double seconds, EventBody body) { checker_->observe({at(seconds), std::move(body)}); }
    void submit(double seconds, const JobSpec& spec) {
        tell(seconds, JobSubmitted{spec, JobValidity::valid});
        answer(seconds, RequestKind::submit, spec.id, 201, JobStatus::queued);
    }
    void answer(double seconds, RequestKind kind, const std::string& job, int status,
                std::optional<JobStatus> told = std::nullopt, double sent_before = 0.01) {
        tell(seconds, UserAnswer{kind, job, "ctl-0", at(seconds - sent_before), status, told});
    }
    void poll(double seconds, const std::string& job, JobStatus told) {
        answer(seconds, RequestKind::poll, job, 200, told);
    }
    void place(double seconds, const std::string& job, std::uint32_t index, const std::string& machine,
               std::uint64_t attempt = 1) {
        tell(seconds, TaskClaimed{{job, index, attempt}, machine});
        tell(seconds, TaskPlaced{{job, index, attempt}, machine});
        tell(seconds, TaskStarted{{job, index, attempt}, machine});
    }
    void leave(double seconds, const std::string& job, std::uint32_t index, const std::string& machine,
               std::uint64_t attempt = 1) {
        tell(seconds, TaskGone{{job, index, attempt}, machine, "stopped"});
    }
    void complete(double seconds, const std::string& job, std::uint32_t index, const std::string& machine) {
        tell(seconds, TaskCompleted{{job, index, 1}});
        leave(seconds, job, index, machine);
    }
    void cancel(double asked, double told, const std::string& job) {
        tell(asked, CancelAsked{job});
        answer(told, RequestKind::cancel, job, 200, JobStatus::cancelled);
    }
    void expect_only(Rule rule) {
        ASSERT_EQ(checker_->violations().size(), 1U);
        EXPECT_STREQ(rule_name(checker_->violations()[0].rule), rule_name(rule));
    }
    std::unique_ptr<Checker> checker_;
};

TEST_F(CheckerTest, ARightRunBreaksNoRule) {
    submit(1, plain_job("req-1"));
    place(2, "req-1", 0, "n-1");
    place(2, "req-1", 1, "n-2");
    leave(3, "req-1", 1, "n-2");
    place(4, "req-1", 1, "n-1", 2);
    poll(5, "req-1", JobStatus::running);
    complete(10, "req-1", 0, "n-1");
    tell(11, TaskCompleted{{"req-1", 1, 2}});
    leave(11, "req-1", 1, "n-1", 2);
    poll(12, "req-1", JobStatus::done);
    submit(13, plain_job("req-2"));
    place(14, "req-2", 0, "n-1");
    cancel(20, 21, "req-2");
    leave(40.9, "req-2", 0, "n-1");
    poll(60, "req-2", JobStatus::cancelled);
    answer(61, RequestKind::poll, "req-99", 404);
    tell(62, TroublesOver{});
    checker_->finish(at(200));
    EXPECT_TRUE(checker_->violations().empty());
    EXPECT_TRUE(checker_->counts().clean());
}

TEST_F(CheckerTest, ATaskOnTwoMachinesRanTwice) {
    submit(1, plain_job("req-1"));
    place(2, "req-1", 0, "n-1");
    place(3, "req-1", 0, "n-2", 2);
    expect_only(Rule::ran_twice);
    const auto& history = checker_->violations()[0].history;
    ASSERT_GE(history.size(), 3U);
    EXPECT_NE(history.front().find("req-1 submitted"), std::string::npos);
    EXPECT_NE(history.back().find("req-1/0 attempt 2 on machine n-2"), std::string::npos);
}

TEST_F(CheckerTest, MoreThanATeamsLimitBreaksTheQuota) {
    for (const char* id : {"req-1", "req-2"}) {
        submit(1, plain_job(id));
        place(2, id, 0, "n-1");
        place(2, id, 1, "n-1");
    }
    EXPECT_TRUE(checker_->violations().empty());
    submit(3, plain_job("req-3"));
    place(4, "req-3", 0, "n-2");
    expect_only(Rule::quota);
}

TEST_F(CheckerTest, TypeZoneAndKindOfMachineAreHeldTo) {
    auto typed = plain_job("req-1");
    typed.machine_types = {"large"};
    submit(1, typed);
    place(2, "req-1", 0, "n-1");
    auto zoned = plain_job("req-2");
    zoned.zone = "b";
    submit(1, zoned);
    place(2, "req-2", 0, "n-1");
    auto ordinary = plain_job("req-3");
    ordinary.spot_allowed = false;
    submit(1, ordinary);
    place(2, "req-3", 0, "n-3");
    ASSERT_EQ(checker_->violations().size(), 3U);
    for (const auto& violation : checker_->violations()) EXPECT_EQ(violation.rule, Rule::wrong_place);
}

TEST_F(CheckerTest, OneZoneHoldsUntilTheOtherTaskHasLeft) {
    auto spec = plain_job("req-1");
    spec.one_zone = true;
    submit(1, spec);
    place(2, "req-1", 0, "n-1");
    leave(3, "req-1", 0, "n-1");
    place(4, "req-1", 1, "n-2");
    EXPECT_TRUE(checker_->violations().empty());
    place(5, "req-1", 0, "n-1", 2);
    expect_only(Rule::wrong_place);
}

TEST_F(CheckerTest, SpreadAllowsHalfOfTheTasksInAZone) {
    auto spec = plain_job("req-1");
    spec.spread = true;
    submit(1, spec);
    place(2, "req-1", 0, "n-1");
    place(3, "req-1", 1, "n-3");
    expect_only(Rule::wrong_place);
}

TEST_F(CheckerTest, ACancelledTaskThatStaysIsFoundByTimeAlone) {
    submit(1, plain_job("req-1"));
    place(2, "req-1", 0, "n-1");
    cancel(5, 6, "req-1");
    checker_->advance(at(25.9));
    EXPECT_TRUE(checker_->violations().empty());
    checker_->advance(at(26.1));
    expect_only(Rule::ran_cancelled);
}

TEST_F(CheckerTest, ACancelledTaskThatLeavesBetweenTwoChecksIsFound) {
    submit(1, plain_job("req-1"));
    place(2, "req-1", 0, "n-1");
    cancel(5, 6, "req-1");
    checker_->advance(at(25.9));
    leave(26.05, "req-1", 0, "n-1");
    expect_only(Rule::ran_cancelled);
}

TEST_F(CheckerTest, AStartAfterACancellationIsCountedAndLaterBreaksTheRule) {
    submit(1, plain_job("req-1"));
    cancel(5, 6, "req-1");
    place(7, "req-1", 0, "n-1");
    leave(8, "req-1", 0, "n-1");
    EXPECT_EQ(checker_->counts().starts_after_cancellation, 1U);
    EXPECT_TRUE(checker_->violations().empty());
    place(27, "req-1", 1, "n-1");
    expect_only(Rule::ran_cancelled);
}

TEST_F(CheckerTest, AnAcceptedJobThatIsUnknownOrRefusedIsForgotten) {
    submit(1, plain_job("req-1"));
    answer(2, RequestKind::poll, "req-1", 404);
    expect_only(Rule::forgotten);
    submit(3, plain_job("req-2"));
    answer(4, RequestKind::submit, "req-2", 422);
    EXPECT_EQ(checker_->violations().size(), 2U);
}

TEST_F(CheckerTest, AQuestionSentBeforeTheAcceptanceMayBeAnsweredWithNotFound) {
    submit(1, plain_job("req-1"));
    answer(1.01, RequestKind::poll, "req-1", 404, std::nullopt, 0.05);
    EXPECT_TRUE(checker_->violations().empty());
}

TEST_F(CheckerTest, AJobWithoutAnswersForNinetySecondsIsForgottenWhileOthersAreAnswered) {
    submit(1, plain_job("req-1"));
    submit(1, plain_job("req-2"));
    submit(1, plain_job("req-3"));
    for (double time = 5; time < 94; time += 5) {
        answer(time, RequestKind::poll, "req-1", 503);
        poll(time, "req-2", JobStatus::queued);
        poll(time, "req-3", JobStatus::queued);
    }
    EXPECT_TRUE(checker_->violations().empty());
    answer(95.5, RequestKind::poll, "req-1", 0, std::nullopt, 0.4);
    expect_only(Rule::forgotten);
}

TEST_F(CheckerTest, AnOutageForEverybodyForgetsNobodyUntilFaultsAreOverForSeventyFiveSeconds) {
    submit(1, plain_job("req-1"));
    for (double time = 5; time < 200; time += 5) answer(time, RequestKind::poll, "req-1", 503);
    EXPECT_TRUE(checker_->violations().empty());
    tell(200, TroublesOver{});
    for (double time = 200; time < 275; time += 5) answer(time, RequestKind::poll, "req-1", 503);
    EXPECT_TRUE(checker_->violations().empty());
    answer(275.1, RequestKind::poll, "req-1", 503);
    expect_only(Rule::forgotten);
}

TEST_F(CheckerTest, AnAnswerAboutAJobThatNobodySubmittedIsInvented) {
    poll(1, "req-7", JobStatus::queued);
    expect_only(Rule::invented);
}

TEST_F(CheckerTest, DoneBeforeTheLastTaskIsNotDone) {
    submit(1, plain_job("req-1"));
    place(2, "req-1", 0, "n-1");
    complete(3, "req-1", 0, "n-1");
    poll(4, "req-1", JobStatus::done);
    expect_only(Rule::not_done);
}

TEST_F(CheckerTest, AnEndThatIsTakenBackWentBack) {
    submit(1, plain_job("req-1"));
    cancel(2, 3, "req-1");
    answer(3.005, RequestKind::poll, "req-1", 200, JobStatus::running,
           0.01);  // requested before the end was answered
    EXPECT_TRUE(checker_->violations().empty());
    poll(4, "req-1", JobStatus::running);
    expect_only(Rule::went_back);
}

TEST_F(CheckerTest, CancelledWithoutAnybodyAskingWentBack) {
    submit(1, plain_job("req-1"));
    poll(2, "req-1", JobStatus::cancelled);
    expect_only(Rule::went_back);
}

TEST_F(CheckerTest, ARunWithoutAStartIsFound) {
    submit(1, plain_job("req-1"));
    checker_->finish(at(100));
    expect_only(Rule::nothing_ran);
}

TEST_F(CheckerTest, AnAcceptedJobThatCannotRunIsCounted) {
    tell(1, JobSubmitted{plain_job("req-1"), JobValidity::impossible});
    answer(1.1, RequestKind::submit, "req-1", 422);
    EXPECT_EQ(checker_->counts().unfit_accepted, 0U);
    tell(2, JobSubmitted{plain_job("req-2"), JobValidity::malformed});
    answer(2.1, RequestKind::submit, "req-2", 201, JobStatus::queued);
    EXPECT_EQ(checker_->counts().unfit_accepted, 1U);
}

TEST_F(CheckerTest, AJobPassedOverForNinetySecondsWithRoomIsCounted) {
    submit(1, plain_job("req-1"));
    tell(10, TroublesOver{});
    for (double time = 10; time < 100; time += 1) checker_->advance(at(time));
    EXPECT_TRUE(checker_->counts().waiting.empty());
    checker_->advance(at(101));
    ASSERT_EQ(checker_->counts().waiting.size(), 1U);
    EXPECT_EQ(checker_->counts().waiting[0], "req-1");
}

TEST_F(CheckerTest, AJobWithoutRoomOrAboveItsTeamsLimitMayWait) {
    auto large = plain_job("req-1");
    large.per_task = {16, 0, 4};
    submit(1, large);
    auto gang = plain_job("req-2");
    gang.form = JobForm::gang;
    gang.tasks = 5;  // ten cores of a team that may use eight
    submit(1, gang);
    tell(2, TroublesOver{});
    for (double time = 2; time < 200; time += 1) checker_->advance(at(time));
    EXPECT_TRUE(checker_->counts().waiting.empty());
}

TEST_F(CheckerTest, AClassServedByLessThanHalfIsCounted) {
    for (int i = 0; i < 4; ++i) submit(1, plain_job("req-" + std::to_string(i)));
    place(2, "req-0", 0, "n-1");
    checker_->finish(at(500));
    ASSERT_EQ(checker_->counts().poorly_served.size(), 3U);  // class, team, largest jobs
    EXPECT_EQ(checker_->counts().poorly_served[0], "team survey: 1 of 4");
}

// --- worker ---

// A controller with scripted answers, and one worker on the same loop.
class WorkerTest : public testing::Test {
  protected:
    struct Watcher : EventSink {
        void observe(const Event& event) override { lines.push_back(describe(event.body)); }
        bool saw(const std::string& part) const {
            return std::ranges::any_of(
                lines, [&part](const auto& line) { return line.find(part) != std::string::npos; });
        }
        std::vector<std::string> lines;
    };
    WorkerTest() {
        recorder.add(watcher);
        auto spec = plain_job("req-1");
        spec.image_gb = 0.01;
        board.upload(spec, JobTruth{1000, 0, false});
        answer = [this](const Json&) { return test::reply(200, {{"baton", 5}, {"calls", Json::array()}}); };
        MachineIdentity machine;
        machine.id = "n-1";
        machine.address = test::address_text(worker_address);
        machine.type = {"small", {8, 0, 32}, 20, 1, 1, 0.5, 1, {"a"}};
        machine.zone = "a";
        worker = std::make_unique<Worker>(loop, world, machine, worker_address);
    }
    void play(double seconds) {
        scope.spawn(stop_after(seconds));
        loop.run();
    }
    // Checks in the midst of a play; the loop runs once only.
    void after(double seconds, std::function<void()> action) {
        scope.spawn(act_after(seconds, std::move(action)));
    }
    io::Task<void> act_after(double seconds, std::function<void()> action) {
        co_await loop.sleep(at(seconds));
        action();
    }
    io::Task<void> stop_after(double seconds) {
        co_await loop.sleep(at(seconds));
        loop.stop();
    }
    io::Task<void> command_after(double seconds, std::uint64_t fencing_token, std::uint64_t incarnation,
                                 Json calls) {
        co_await loop.sleep(at(seconds));
        const Json body{{"baton", fencing_token}, {"stint", incarnation}, {"calls", std::move(calls)}};
        const Micros deadline = io::steady_now() + at(10);
        auto sending = client.send(worker_address, "POST", "/orders", wire::encode(body), deadline);
        const io::HttpResult reply = co_await std::move(sending);
        command_statuses.push_back(reply.status_or(0));
    }
    TaskRunner& runner(const std::string& id) {
        MachineIdentity machine;
        machine.id = id;
        machine.type = {"small", {8, 0, 32}, 20, 2, 1, 0.5, 1, {"a"}};
        machine.fetch_gb_per_s = 2;
        runners.push_back(std::make_unique<TaskRunner>(machine, board, gangs, recorder, random, [] {}));
        return *runners.back();
    }
    static Json start_call(int index) {
        return {{{"call", "start"}, {"leg", "req-1/" + std::to_string(index)}, {"try", 1}}};
    }
    static Json stop_and_acknowledge_calls(int index) {
        const std::string task = "req-1/" + std::to_string(index);
        return Json::array({{{"call", "halt"}, {"leg", task}, {"try", 1}, {"settleS", 0.0}},
                            {{"call", "reap"}, {"leg", task}, {"try", 1}}});
    }

    io::Loop loop;
    io::Scope scope;
    io::HttpClient client{loop};
    Watcher watcher;
    Recorder recorder{[] { return io::steady_now(); }};
    JobBoard board{recorder};
    GangHall gangs{board, {at(2), at(1)}, 1};
    io::Address node = test::loopback_address(test::free_port());
    io::Address worker_address = test::loopback_address(test::free_port());
    std::vector<Json> reports;
    std::function<io::HttpResponse(const Json&)> answer;
    std::vector<int> command_statuses;
    io::HttpServer server{loop, node, {}, [this](io::HttpRequest request) -> io::Task<io::HttpResponse> {
                              reports.push_back(*wire::decode(request.body));
                              co_return answer(reports.back());
                          }};
    WorkerWorld world{board, gangs, recorder, {{"ctl-0", node}}, {at(0.1), at(0.4)}, 1};
    Random random{1};
    std::vector<std::unique_ptr<TaskRunner>> runners;
    std::unique_ptr<Worker> worker;
    bool serving = (scope.spawn(server.serve()), true);
};

TEST_F(WorkerTest, AnAnsweredWorkerKeepsItsIncarnationAndLearnsTheFencingToken) {
    play(1);
    EXPECT_EQ(worker->incarnation(), 1U);
    EXPECT_EQ(worker->fencing_token(), 5U);
    EXPECT_GE(reports.size(), 5U);
}

TEST_F(WorkerTest, AnswersWithALowerTokenOrNoneDoNotRenewTheLease) {
    scope.spawn(command_after(0.1, 9, 1, start_call(0)));
    play(0.9);
    EXPECT_EQ(worker->fencing_token(), 9U);
    EXPECT_GE(worker->incarnation(), 2U);
    EXPECT_TRUE(watcher.saw("gone from n-1: lease over"));
}

TEST_F(WorkerTest, DirectCommandsCountOnlyWithFencingTokenAndIncarnation) {
    scope.spawn(command_after(0.15, 4, 1, start_call(0)));
    scope.spawn(command_after(0.16, 5, 2, start_call(0)));
    after(0.25, [&] {
        EXPECT_EQ(command_statuses, (std::vector<int>{409, 409}));
        EXPECT_TRUE(worker->tasks().empty());
    });
    scope.spawn(command_after(0.3, 5, 1, start_call(0)));
    play(0.4);
    EXPECT_EQ(command_statuses, (std::vector<int>{409, 409, 200}));
    EXPECT_EQ(worker->tasks().size(), 1U);
}

TEST_F(WorkerTest, RefusalsNameTheirCause) {
    const Json calls{{{"call", "start"}, {"leg", "req-1/0"}, {"try", 1}},
                     {{"call", "start"}, {"leg", "req-1/0"}, {"try", 2}},
                     {{"call", "start"}, {"leg", "req-2/0"}, {"try", 1}}};
    scope.spawn(command_after(0, 5, 1, calls));
    play(0.1);
    const auto tasks = worker->tasks();
    ASSERT_EQ(tasks.size(), 3U);
    EXPECT_EQ(tasks[1].cause, ExitCause::in_use);
    EXPECT_EQ(tasks[2].cause, ExitCause::unknown);
}

TEST_F(WorkerTest, AMuteWorkerLosesItsLeaseAndIsStillCommanded) {
    worker->set_mute(true);
    scope.spawn(command_after(0.6, 5, 2, start_call(0)));
    after(0.7, [&] {
        EXPECT_LE(reports.size(), 1U);  // the one that it sent when it began
        EXPECT_EQ(command_statuses, std::vector<int>{200});
        EXPECT_EQ(worker->tasks().size(), 1U);
    });
    play(1.1);
    EXPECT_EQ(worker->incarnation(), 3U);
    EXPECT_TRUE(worker->tasks().empty());
}

TEST_F(WorkerTest, ADeafWorkerSendsHeartbeatsAndReceivesNothing) {
    worker->set_deaf(true);
    scope.spawn(command_after(0.05, 5, 1, start_call(0)));
    play(0.6);
    EXPECT_FALSE(reports.empty());
    EXPECT_EQ(worker->fencing_token(), 0U);
    EXPECT_EQ(worker->incarnation(), 2U);
    EXPECT_TRUE(worker->tasks().empty());
}

TEST_F(WorkerTest, CommandsToAHangingMachineAreCarriedOutWhenItResumesInItsIncarnation) {
    after(0.2, [&] { worker->hang(); });
    scope.spawn(command_after(0.22, 5, 1, start_call(0)));
    after(0.3, [&] {
        EXPECT_TRUE(worker->tasks().empty());
        worker->resume();
    });
    after(0.35, [&] { EXPECT_EQ(worker->tasks().size(), 1U); });
    play(0.4);
    EXPECT_EQ(command_statuses, std::vector<int>{200});
}

TEST_F(WorkerTest, AHangingMachinesTasksEndWithItsLeaseAndOldCommandsAreRefused) {
    scope.spawn(command_after(0.1, 5, 1, start_call(0)));
    after(0.2, [&] { worker->hang(); });
    scope.spawn(command_after(0.25, 5, 1, start_call(1)));
    after(0.8, [&] {
        EXPECT_TRUE(watcher.saw("gone from n-1: lease over"));
        worker->resume();
    });
    play(0.85);
    EXPECT_TRUE(worker->tasks().empty());
    EXPECT_EQ(command_statuses, (std::vector<int>{200, 409}));
}

TEST_F(WorkerTest, DelayedCommandsAreCarriedOutOnce) {
    worker->set_late_commands({1.0, at(0.1), at(0.11)});
    scope.spawn(command_after(0, 5, 1, start_call(0)));
    after(0.05, [&] { EXPECT_TRUE(worker->tasks().empty()); });
    play(0.2);
    EXPECT_EQ(worker->tasks().size(), 1U);
    EXPECT_TRUE(command_statuses.empty());
}

TEST_F(WorkerTest, ADuplicateOfAnsweredCommandsIsCarriedOutUnlessTheFencingTokenHasRisen) {
    worker->set_duplicate_commands({1.0, at(0.2), at(0.21)});
    scope.spawn(command_after(0, 5, 1, start_call(0)));
    after(0.05, [&] { worker->set_duplicate_commands({}); });
    scope.spawn(command_after(0.1, 5, 1, stop_and_acknowledge_calls(0)));
    after(0.15, [&] { EXPECT_TRUE(worker->tasks().empty()); });
    after(0.3, [&] {
        EXPECT_EQ(worker->tasks().size(), 1U);
        worker->set_duplicate_commands({1.0, at(0.2), at(0.21)});
    });
    scope.spawn(command_after(0.35, 5, 1, start_call(1)));
    scope.spawn(command_after(0.4, 6, 1, stop_and_acknowledge_calls(1)));
    after(0.45, [&] { EXPECT_EQ(worker->tasks().size(), 1U); });
    play(0.7);
    EXPECT_EQ(worker->tasks().size(), 1U);
    EXPECT_EQ(command_statuses, (std::vector<int>{200, 200, 200, 200}));
}

TEST_F(WorkerTest, HeartbeatsRecordedForTheNextLeaderArriveWhenReleased) {
    worker->set_late_reports({1.0, at(0), at(0), true});
    Json oldest;
    after(0.3, [&] {
        worker->set_late_reports({});
        oldest = reports[1]["tick"];  // the first one was sent before
        reports.clear();
        worker->release_report_copies({node});
    });
    play(0.35);
    const auto copy = std::find_if(reports.begin(), reports.end(),
                                   [&](const Json& report) { return report["tick"] == oldest; });
    EXPECT_NE(copy, reports.end());
}

// --- gangs and images ---

TEST_F(WorkerTest, AGangWaitsForItsTasksStartsTogetherAndSavesWhenAllAreStopped) {
    auto spec = plain_job("req-2");
    spec.form = JobForm::gang;
    spec.checkpoint_s = 10;
    spec.save_s = 0.2;
    board.upload(spec, {1000, 0, false});
    TaskRunner& first = runner("n-8");
    TaskRunner& second = runner("n-9");
    first.execute(StartCommand{{"req-2", 0, 1}}, at(10));
    first.advance(at(10.6));
    EXPECT_EQ(first.statuses()[0].state, TaskState::gathering);
    second.execute(StartCommand{{"req-2", 1, 1}}, at(10.6));
    second.advance(at(11.2));
    first.advance(at(11.2));
    EXPECT_EQ(first.statuses()[0].state, TaskState::running);
    EXPECT_EQ(second.statuses()[0].state, TaskState::running);
    first.execute(HaltCommand{{"req-2", 0, 1}, 1}, at(16.2));
    second.execute(HaltCommand{{"req-2", 1, 1}, 1}, at(16.5));
    first.advance(at(16.8));
    second.advance(at(16.8));
    EXPECT_TRUE(first.statuses()[0].progress_saved);
    EXPECT_TRUE(second.statuses()[0].progress_saved);
    EXPECT_NEAR(board.saved_s("req-2", 0), 5, 0.01);
}

TEST_F(WorkerTest, AGangWhoseMachineHangsFallsBackToItsCheckpoint) {
    auto spec = plain_job("req-2");
    spec.form = JobForm::gang;
    spec.checkpoint_s = 10;
    board.upload(spec, {1000, 0, false});
    TaskRunner& first = runner("n-8");
    TaskRunner& second = runner("n-9");
    first.execute(StartCommand{{"req-2", 0, 1}}, at(10));
    second.execute(StartCommand{{"req-2", 1, 1}}, at(10));
    first.advance(at(10.5));
    second.advance(at(10.5));
    first.freeze(at(26));
    second.advance(at(27.1));
    ASSERT_EQ(second.statuses()[0].state, TaskState::exited);
    EXPECT_EQ(second.statuses()[0].cause, ExitCause::peers);
    EXPECT_DOUBLE_EQ(board.saved_s("req-2", 0), 10);
    first.thaw(at(28));
    EXPECT_EQ(first.statuses()[0].cause, ExitCause::peers);
}

TEST(ImageCacheTest, FetchesShareTheRateAndTheLeastRecentlyUsedImageIsDropped) {
    ImageCache images(3, 1);
    images.wait_for("one", 1, at(0));
    images.wait_for("two", 2, at(0));
    images.advance(at(1.9));
    EXPECT_FALSE(images.use("one"));
    images.advance(at(2.1));
    EXPECT_TRUE(images.use("one"));
    images.advance(at(3.1));
    EXPECT_TRUE(images.use("two"));
    images.wait_for("three", 1, at(4));
    images.advance(at(5.1));
    EXPECT_TRUE(images.use("three"));
    EXPECT_FALSE(images.use("one"));
}

TEST(ImageCacheTest, AFetchIsGivenUpWithItsLastTask) {
    ImageCache images(10, 1);
    images.wait_for("one", 1, at(0));
    images.wait_for("one", 1, at(0.5));
    images.give_up("one", at(0.6));
    EXPECT_TRUE(images.is_fetching("one"));
    images.give_up("one", at(0.7));
    images.advance(at(5));
    EXPECT_FALSE(images.use("one"));
}

// --- scenarios ---

constexpr const char* small_scenario = R"(
name = "small"
duration_s = 100
[workers]
report_s = 1
lease_s = 9
[[machine_type]]
name = "m4"
cores = 4
memory_gb = 16
price = 0.2
boot_s = 1
zones = ["north"]
[[capacity]]
type = "m4"
zone = "north"
ordinary = 2
[[team]]
name = "charts"
cores = 8
cores_max = 16
[[job_class]]
name = "tiles"
cores = 2
run_s = { median = 20 }
)";

std::string error_of(const std::string& text) {
    try {
        parse_scenario(text);
    } catch (const ScenarioError& error) {
        return error.what();
    }
    return "";
}

TEST(ScenarioTest, EveryScenarioFileIsReadAndItsFaultsAreInOrder) {
    std::size_t read = 0;
    for (const auto& entry : std::filesystem::directory_iterator(HATCHWIND_SCENARIOS)) {
        const Scenario scenario = read_scenario(entry.path().string());
        EXPECT_FALSE(scenario.job_classes.empty()) << entry.path();
        EXPECT_TRUE(std::is_sorted(scenario.faults.begin(), scenario.faults.end(),
                                   [](const Fault& a, const Fault& b) { return a.at < b.at; }));
        EXPECT_LT(scenario.troubles_over_at(), from_seconds(scenario.duration_s)) << entry.path();
        ++read;
    }
    EXPECT_GE(read, 4U);
}

TEST(ScenarioTest, ErrorsNameTheField) {
    const std::string small = small_scenario;
    EXPECT_EQ(error_of(small), "");
    EXPECT_EQ(error_of("duration_s = 1"), "name: is missing (line 1)");
    EXPECT_NE(error_of("name = \"x\"\nduration_s = true").find("duration_s: must be a number (line 2)"),
              std::string::npos);
    EXPECT_NE(error_of("colour = 1\n" + small).find("colour: is not known (line 1)"), std::string::npos);
    EXPECT_NE(
        error_of(small + "form = \"choir\"\n").find("job_class[0].form: is \"choir\", must be one of array"),
        std::string::npos);
    EXPECT_NE(
        error_of(small + "accelerators = 1\n").find("job_class.cores: a task of \"tiles\" fits no machine"),
        std::string::npos);
    EXPECT_NE(error_of(small + "team = \"nobody\"\n").find("job_class.team: team \"nobody\""),
              std::string::npos);
    EXPECT_NE(
        error_of(small + "[[fault]]\nat_s = 3\nkind = \"state_outage\"\n").find("fault[0].for_s: is missing"),
        std::string::npos);
    EXPECT_NE(error_of(small + "[[fault]]\nat_s = 3\nkind = \"earthquake\"\n").find("fault[0].kind: is"),
              std::string::npos);
    EXPECT_NE(error_of(small + "[[fault]]\nat_s = 3\nkind = \"late_writes\"\nfor_s = 2\nshare = 2\n")
                  .find("fault[0].share: must be from 0 to 1"),
              std::string::npos);
    EXPECT_NE(error_of(small + "[[fault]]\nat_s = 3\nkind = \"odd_requests\"\nfor_s = 2\nmode = \"hold\"\n")
                  .find("fault[0].mode: is not known"),
              std::string::npos);
    EXPECT_NE(error_of("name =").find("not TOML"), std::string::npos);
}

TEST(ScenarioTest, ValuesArriveWhereTheyBelong) {
    const Scenario scenario =
        parse_scenario(std::string{small_scenario} +
                       "[[fault]]\nat_s = 30\nkind = \"controller_cut\"\nbusiest = true\n"
                       "from = [\"state\", \"peers\"]\nmode = \"refuse\"\nfor_s = 12\n");
    ASSERT_EQ(scenario.faults.size(), 1U);
    const Fault& fault = scenario.faults[0];
    EXPECT_EQ(fault.mode, CutBehaviour::refuse);
    EXPECT_TRUE(fault.from.state && fault.from.peers);
    EXPECT_FALSE(fault.from.workers || fault.from.users);
    EXPECT_EQ(scenario.troubles_over_at(), at(42));
    EXPECT_EQ(checker_rules(scenario).teams.at("charts").cores, 16);
    EXPECT_EQ(worker_times(scenario).lease, at(9));
}

TEST(JobDrawerTest, IdsAreNotRepeatedAndJobsFitTheirTeamsLimit) {
    JobClass drawn;
    drawn.name = "tiles";
    drawn.form = JobForm::service;
    drawn.per_task = {4, 0, 1};
    drawn.tasks.distribution = {20, 50, 100};
    drawn.run_s = {10, 20, 30};
    JobDrawer drawer({{"charts", {1, {16, 0}}}, {"tiny", {5, {2, 0}}}}, 7);
    std::set<std::string> ids;
    for (int i = 0; i < 2000; ++i) {
        const auto [spec, truth] = drawer.draw(drawn);
        EXPECT_EQ(spec.team, "charts");
        EXPECT_LE(spec.tasks, 4U);
        EXPECT_LE(truth.run_s, 30);
        ids.insert(spec.id);
    }
    EXPECT_EQ(ids.size(), 2000U);
}

// --- cloud ---

class CloudTest : public testing::Test {
  protected:
    CloudTest() {
        CloudConfig config = cloud_config(parse_scenario(small_scenario));
        config.requests_per_s = 100;
        config.answer_s = 0.001;
        config.slow_boot_share = 0;
        config.address_of = [](std::uint32_t number) { return io::Address{0x0a010000U + number, 9000}; };
        CloudHooks hooks;
        hooks.boot = [this](const MachineIdentity& machine, io::Address) { up.push_back(machine.id); };
        hooks.remove = [this](const std::string& machine) { removed.push_back(machine); };
        hooks.notice = [this](const std::string& machine, Micros) { noticed.push_back(machine); };
        cloud = std::make_unique<Cloud>(loop, config, hooks, recorder, address);
    }
    // Sends the requests one after the other, then ends the loop after a pause.
    void play(std::vector<std::pair<std::string, Json>> requests, double pause = 0) {
        scope.spawn(send(std::move(requests), pause));
        loop.run();
    }
    io::Task<void> send(std::vector<std::pair<std::string, Json>> requests, double pause) {
        for (const auto& [target, body] : requests) {
            const std::string method = body.is_null() ? "GET" : "POST";
            const std::string encoded = body.is_null() ? "" : wire::encode(body);
            const Micros deadline = io::steady_now() + at(5);
            auto sending = client.send(address, method, target, encoded, deadline);
            const io::HttpResult reply = co_await std::move(sending);
            statuses.push_back(reply.status_or(0));
            answers.push_back(wire::decode(test::body_of(reply)).value_or(Json{}));
        }
        co_await loop.sleep(at(pause));
        loop.stop();
    }
    static Json ask(const std::string& name, int number) {
        return {{"ask", name}, {"build", "m4"}, {"roost", "north"}, {"borrowed", false}, {"number", number}};
    }

    io::Loop loop;
    io::Scope scope;
    io::HttpClient client{loop};
    Recorder recorder{[] { return io::steady_now(); }};
    io::Address address = test::loopback_address(test::free_port());
    std::vector<std::string> up, removed, noticed;
    std::vector<int> statuses;
    std::vector<Json> answers;
    std::unique_ptr<Cloud> cloud;
};

TEST_F(CloudTest, ARepeatedRequestIdScalesOutNothingAndARefusedOneMayBeUsedAgain) {
    play({{"/rentals", ask("r-1", 1)},
          {"/rentals", ask("r-1", 1)},
          {"/rentals", ask("r-2", 5)},
          {"/rentals", ask("r-3", 1)},
          {"/rentals/release", {{"perches", {"n-000001", "n-000077"}}}},
          {"/rentals", ask("r-3", 1)},
          {"/rentals", ask("r-1", 2)}});
    EXPECT_EQ(statuses, (std::vector<int>{200, 200, 200, 503, 200, 200, 200}));
    EXPECT_EQ(answers[0], answers[1]);
    EXPECT_EQ(answers[2]["perches"].size(), 1U);  // only partly filled
    EXPECT_EQ(answers[3]["error"], "no capacity");
    EXPECT_EQ(answers[5]["perches"][0], "n-000003");
    EXPECT_EQ(answers[6], answers[0]);
    EXPECT_EQ(cloud->name_conflicts(), 1U);
}

TEST_F(CloudTest, MalformedRequestsAreRefused) {
    Json lacking = ask("r-1", 1);
    lacking.erase("borrowed");
    play({{"/rentals", lacking}, {"/rentals", ask("r-1", 51)}, {"/rentals/release", {{"perches", 3}}}});
    EXPECT_EQ(statuses, (std::vector<int>{400, 400, 400}));
}

TEST_F(CloudTest, AMachineComesUpAndTheListLags) {
    play({{"/rentals", ask("r-1", 1)}, {"/rentals?after=&most=500", nullptr}}, 1.7);
    EXPECT_EQ(up, std::vector<std::string>{"n-000001"});
    EXPECT_EQ(cloud->running().size(), 1U);
    EXPECT_GT(cloud->spent(), 0);
    EXPECT_FALSE(answers[1]["hasNext"].get<bool>());
}

TEST_F(CloudTest, AnOutageIsAnsweredWithAnError) {
    cloud->set_outage(true);
    play({{"/catalog", nullptr}});
    EXPECT_EQ(statuses, std::vector<int>{503});
    EXPECT_EQ(answers[0]["error"], "trouble");
}

TEST_F(CloudTest, ASpotMachineIsTakenAfterItsNotice) {
    cloud->start_with("m4", "north", true, 2);
    cloud->take("n-000001", at(0.1));
    cloud->take("n-000002", at(0));
    play({}, 0.2);
    EXPECT_EQ(noticed, std::vector<std::string>{"n-000001"});
    EXPECT_EQ(removed, (std::vector<std::string>{"n-000002", "n-000001"}));
}

// --- users ---

// A controller that accepts every job and calls it done at its third question.
class UsersTest : public testing::Test {
  protected:
    UsersTest() {
        recorder.add(figures);
        scope.spawn(server.serve());
        UsersConfig config = users_config(parse_scenario(small_scenario));
        config.classes[0].initial = 2;
        config.poll_every = at(0.1);
        config.initial_within = at(0.1);
        users = std::make_unique<Users>(loop, config, UsersHooks{}, std::vector<NodeAddress>{{"ctl-0", node}},
                                        board, recorder);
    }
    io::Task<io::HttpResponse> handle(io::HttpRequest request) {
        if (request.target == "/healthz") co_return test::reply(200);
        ++requests;
        if (request.method == "POST" && request.target == "/api/jobs") {
            const Json body = *wire::decode(request.body);
            if (!submitted.insert(body["id"]).second) co_return test::reply(200, {{"status", "running"}});
            co_return test::reply(busy ? 503 : 201, {{"id", body["id"]}, {"status", "queued"}});
        }
        const bool over = ++questions[request.target] >= 3;
        co_return test::reply(200, {{"status", over ? "done" : "running"}, {"done", 0}, {"running", 1}});
    }
    io::Task<void> stop_after(double seconds) {
        co_await loop.sleep(at(seconds));
        loop.stop();
    }
    void play(double seconds) {
        scope.spawn(stop_after(seconds));
        loop.run();
    }

    io::Loop loop;
    io::Scope scope;
    Figures figures;
    Recorder recorder{[] { return io::steady_now(); }};
    JobBoard board{recorder};
    bool busy = false;
    std::size_t requests = 0;
    std::set<std::string> submitted;
    std::map<std::string, int> questions;
    io::Address node = test::loopback_address(test::free_port());
    io::HttpServer server{
        loop, node, {}, [this](io::HttpRequest request) { return handle(std::move(request)); }};
    std::unique_ptr<Users> users;
};

TEST_F(UsersTest, JobsAreSubmittedAndFollowedToTheirEnd) {
    play(1.5);
    EXPECT_EQ(submitted.size(), 2U);
    EXPECT_EQ(users->unfinished(), 0U);
    EXPECT_NE(figures.figures_text(0).find("class tiles: 2 submitted, 2 accepted, 2 done, 0 cancelled"),
              std::string::npos);
}

TEST_F(UsersTest, ARefusedSubmissionIsRepeatedAfterASecond) {
    busy = true;
    play(3);
    EXPECT_EQ(submitted.size(), 2U);
    EXPECT_NE(figures.figures_text(0).find("submit 200: 2; submit 503: 2;"), std::string::npos);
}

// --- report ---

TEST(ReportTest, PercentilesAreThoseOfTheValues) {
    TimeSeries series;
    for (int i = 1; i <= 101; ++i) series.add(i);
    EXPECT_EQ(series.percentile(0.5), 51);
    EXPECT_EQ(series.percentile(0.95), 96);
    EXPECT_EQ(series.percentile(1), 101);
    EXPECT_NE(series.text("wait").find("wait: 101 values, median 51.000 s"), std::string::npos);
}

TEST_F(CheckerTest, TheVerdictNamesTheRuleAndTellsTheHistory) {
    submit(1, plain_job("req-1"));
    place(2, "req-1", 0, "n-1");
    EXPECT_TRUE(run_is_right(*checker_));
    place(3, "req-1", 0, "n-2", 2);
    EXPECT_FALSE(run_is_right(*checker_));
    const std::string text = verdict_text(*checker_);
    EXPECT_EQ(text.find("BROKEN ran_twice at 3.000 s: req-1/0 starts on n-2 while it is on n-1"), 0U);
    EXPECT_NE(text.find("2.000000 s  req-1/0 attempt 1 on machine n-1"), std::string::npos);
}

}  // namespace
}  // namespace hatchwind::emulator
