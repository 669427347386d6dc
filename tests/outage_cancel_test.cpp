// Cancellations and worker leases when the state service, the leader and workers fail at the same time.
#include "controller/controller.hpp"
#include "store/store_keys.hpp"
#include "support.hpp"
#include "test_deployment.hpp"
#include "wire/records.hpp"
#include "worker_state.hpp"

namespace hatchwind {
namespace {

using io::Micros;
using io::Task;
using test::TestDeployment;
using wire::Json;

controller::Settings settings_with_lease(double lease_s) {
    controller::Settings settings;
    settings.label = "n0";
    settings.lease_s = lease_s;
    settings.report_s = 1;
    settings.memory_mb = 64;
    settings.max_connections = 100;
    settings.state_rps = 100;
    settings.state_write_rps = 50;
    return settings;
}

core::WorkerHeartbeat heartbeat_of_incarnation(std::uint64_t incarnation, std::uint64_t heartbeat_sequence) {
    core::WorkerHeartbeat report = test::heartbeat("n-1", "small", "a");
    report.incarnation = incarnation;
    report.heartbeat_sequence = heartbeat_sequence;
    return report;
}

constexpr Micros kSecond{1'000'000};

// The worker's heartbeats reach no controller, and its later incarnations are known only from answers to
// commands. If their leases counted from the last answered heartbeat, they would be taken for expired, and
// tasks would be started twice.
TEST(IncarnationLease, IsCountedFromTheFirstHeartbeatOfTheIncarnation) {
    test::WorkerState state(settings_with_lease(10));
    const Micros now = io::wall_now();
    // No heartbeat has been answered since then.
    state.heartbeat_answered_by_peer(heartbeat_of_incarnation(1, 1), now - 30 * kSecond);
    state.workers.handle_response(heartbeat_of_incarnation(2, 2));
    EXPECT_FALSE(state.leases.is_expired("n-1", 2, now + 9 * kSecond))
        << "the incarnation may have begun just now";
    EXPECT_TRUE(state.leases.is_expired("n-1", 2, now + 13 * kSecond));
}

TEST(IncarnationLease, CountsFromTheRecordOfAnIncarnationWithoutHeartbeats) {
    test::WorkerState state(settings_with_lease(10));
    const Micros now = io::wall_now();
    state.leases.record_renewal("n-1", now - 30 * kSecond);
    EXPECT_FALSE(state.leases.is_expired("n-1", 5, now + 9 * kSecond));
    EXPECT_TRUE(state.leases.is_expired("n-1", 5, now + 13 * kSecond));
}

TEST(IncarnationLease, IsUnchangedByLaterStatusesOfTheIncarnation) {
    test::WorkerState state(settings_with_lease(10));
    const Micros now = io::wall_now();
    for (std::uint64_t sequence = 1; sequence < 4; ++sequence)
        state.workers.handle_response(heartbeat_of_incarnation(2, sequence));
    state.leases.record_incarnation("n-1", 1);
    EXPECT_FALSE(state.leases.is_expired("n-1", 2, now + 9 * kSecond));
    EXPECT_TRUE(state.leases.is_expired("n-1", 2, now + 13 * kSecond));
}

TEST(Placement, AMachineWhoseHeartbeatsAreUnansweredTakesNoTasks) {
    core::ClusterView cluster_view;
    core::JobTable job_table;
    const core::Catalog catalog = test::catalog();
    cluster_view.apply(heartbeat_of_incarnation(1, 1), kSecond, 50 * kSecond, true);
    core::Availability availability;
    availability.now = kSecond;
    availability.unresponsive_after = 5 * kSecond;
    availability.answered_since = 45 * kSecond;
    EXPECT_TRUE(
        core::FreeCapacity::build(cluster_view, job_table, catalog, availability).machines().front().usable);
    availability.answered_since = 55 * kSecond;
    EXPECT_FALSE(
        core::FreeCapacity::build(cluster_view, job_table, catalog, availability).machines().front().usable);
}

TEST(CancellationNotices, AreAppliedOnceAndNeverToANewerReplica) {
    controller::ReplicatedState replicated;
    replicated.apply({controller::keys::job("req-1"), wire::job_record(test::job("req-1", "x", 1, 1)), 10});
    replicated.advance_to(12);
    EXPECT_FALSE(replicated.apply_cancellations({{"req-1", 11, 5}}));
    EXPECT_FALSE(replicated.job_table().find("req-1")->job.cancelled)
        << "the replica is newer than the notice";
    EXPECT_TRUE(replicated.apply_cancellations({{"req-1", 13, 5}, {"req-2", 14, 5}}));
    EXPECT_TRUE(replicated.job_table().find("req-1")->job.cancelled);
    EXPECT_EQ(replicated.job_table().find("req-1")->cancellation_revision(), 13U);
    EXPECT_EQ(replicated.job_table().find("req-1")->mod_revision, 10U) << "the record that was read";
    EXPECT_EQ(replicated.job_table().find("req-2"), nullptr);
    EXPECT_EQ(replicated.cancellations_after(12), (std::vector<wire::CancellationNotice>{{"req-1", 13, 5}}));
    EXPECT_TRUE(replicated.cancellations_after(13).empty());
    EXPECT_FALSE(replicated.apply_cancellations({{"req-1", 13, 5}})) << "applied already";
}

// Parameters of a run with an outage after a cancellation.
struct OutageScenario {
    Micros before_cancel{100'000};    // from the time at which the state service refuses the leader
    Micros before_outage{50'000};     // from the confirmed cancel to the outage
    bool canceller_crashes = false;   // the controller that confirms the cancel ends right after it
    bool mesh_cut = false;            // the refused leader is also cut off from its peers
    bool machine_hangs = false;       // a machine with a task of the job hangs just before the cancel
    Micros max_stop_time{7'000'000};  // maximum time from the confirmed cancel to the end of the last task
};

// The state service first refuses only the leader. Another controller confirms a cancel, and then the state
// service is down for all controllers, for longer than a cancel may take.
void run_outage_scenario(const OutageScenario& scenario) {
    TestDeployment site{3, 0};
    site.workload.lease_s = 4;
    site.cancel_s = 7;
    site.kill(1);  // leaves n0, behind its relay, as leader and shard owner
    site.kill(2);
    site.workload.endless_jobs = {"req-1"};
    site.play([scenario](TestDeployment& s) -> Task<void> {
        const std::function<bool()> led = [&] { return s.leader() == "n0"; };
        auto leading = s.until(led);
        co_await std::move(leading);
        s.start(1);
        s.start(2);
        auto running = s.run("req-1", "x", "sweep", 4);
        co_await std::move(running);
        const std::function<bool()> joined = [&] {
            return s.state.items.at("h/epoch").value["members"].size() == 3;
        };
        auto members = s.until(joined);
        co_await std::move(members);
        if (scenario.mesh_cut) {
            s.isolate(true);
        } else {
            s.block_store(true);
        }
        co_await s.loop.sleep(scenario.before_cancel);
        if (scenario.machine_hangs) s.cloud.workers.at(s.workload.running.begin()->second)->suspended = true;
        auto cancelling = s.call(1, "POST", "/api/jobs/req-1/cancel", nullptr);
        const auto answer = co_await std::move(cancelling);
        EXPECT_EQ(answer.first, 200);
        EXPECT_EQ(answer.second["status"], "cancelled");
        const Micros confirmed = io::steady_now();
        if (scenario.canceller_crashes) s.kill(1);
        co_await s.loop.sleep(scenario.before_outage);
        s.state.down = true;
        const std::function<bool()> all_stopped = [&] {
            return s.workload.running.empty() || io::steady_now() - confirmed > Micros{9'000'000};
        };
        auto ending = s.until(all_stopped);
        co_await std::move(ending);
        EXPECT_LT(io::steady_now() - confirmed, scenario.max_stop_time);
        s.state.down = false;
        if (scenario.mesh_cut) s.isolate(false);
        s.block_store(false);
        if (scenario.canceller_crashes) s.start(1);
        auto final = s.until_status("req-1", "cancelled");
        co_await std::move(final);
    });
}

// The shard owner is notified of the cancellation, so it stops its tasks without waiting for other
// controllers.
TEST(OutageAfterCancel, TheShardOwnerStopsTheTasksAtOnce) {
    OutageScenario scenario;
    scenario.max_stop_time = Micros{1'500'000};
    run_outage_scenario(scenario);
}
TEST(OutageAfterCancel, TasksHaveStoppedWhenTheOutageBeginsASecondLater) {
    run_outage_scenario({Micros{50'000}, Micros{900'000}, false, false, false});
}
TEST(OutageAfterCancel, TasksHaveStoppedWhenTheAnsweringControllerCrashesAtOnce) {
    run_outage_scenario({Micros{100'000}, Micros{50'000}, true, false, false});
}
TEST(OutageAfterCancel, TasksHaveStoppedWhenTheShardOwnerIsPartitioned) {
    run_outage_scenario({Micros{100'000}, Micros{50'000}, false, true, false});
}
TEST(OutageAfterCancel, AMachineThatHangsIsReleasedInTime) {
    run_outage_scenario({Micros{100'000}, Micros{50'000}, false, false, true});
}

}  // namespace
}  // namespace hatchwind
