// The order, interval and backoff of reachability probes.
#include "workers/reachability_probes.hpp"

#include <gtest/gtest.h>

#include "support.hpp"

namespace hatchwind {
namespace {

using controller::ReachabilityProbes;
using core::Micros;
using Machines = std::vector<std::string>;

constexpr Micros kSecond{1'000'000};
constexpr std::size_t kAll = 100;

TEST(ReachabilityProbes, TheLongestOverdueGoFirstAndNoMoreThanAllowed) {
    ReachabilityProbes probes;
    for (const char* machine : {"n-1", "n-2", "n-3"}) probes.request(machine);
    probes.record_unanswered("n-1", 10 * kSecond);
    probes.record_unanswered("n-2", 9 * kSecond);
    EXPECT_EQ(probes.due(20 * kSecond, kAll), (Machines{"n-3", "n-2", "n-1"}));
    EXPECT_EQ(probes.due(20 * kSecond, 2), (Machines{"n-3", "n-2"}));
    EXPECT_EQ(probes.due(10 * kSecond, kAll), (Machines{"n-3", "n-2"})) << "n-1 is not due yet";
}

TEST(ReachabilityProbes, AMachineIsNotProbedAgainWhileAProbeIsUnderWay) {
    ReachabilityProbes probes;
    probes.request("n-1");
    probes.record_probe_sent("n-1", 10 * kSecond);
    EXPECT_TRUE(probes.due(11 * kSecond, kAll).empty());
    EXPECT_EQ(probes.due(12 * kSecond, kAll), Machines{"n-1"});
}

TEST(ReachabilityProbes, EachUnansweredProbeDoublesTheIntervalUpToABound) {
    ReachabilityProbes probes;
    probes.request("n-1");
    for (const int seconds : {1, 2, 4, 8, 8}) {
        probes.back_off("n-1", 100 * kSecond);
        EXPECT_EQ(probes.find("n-1")->next_probe, (100 + seconds) * kSecond);
    }
    EXPECT_EQ(probes.find("n-1")->unanswered_since, 100 * kSecond);
}

TEST(ReachabilityProbes, AMachineThatSendsAHeartbeatIsProbedSoon) {
    ReachabilityProbes probes;
    probes.request("n-1");
    probes.record_probe_sent("n-1", 10 * kSecond);
    for (int probe = 0; probe < 5; ++probe) probes.back_off("n-1", 10 * kSecond);
    probes.expedite("n-1");
    EXPECT_EQ(probes.find("n-1")->next_probe, 10 * kSecond + controller::kMinProbeInterval);
}

TEST(ReachabilityProbes, BackingOffAddsNoMachineThatHasAnswered) {
    ReachabilityProbes probes;
    probes.request("n-1");
    probes.remove("n-1");
    probes.back_off("n-1", kSecond);
    probes.record_probe_sent("n-1", kSecond);
    EXPECT_EQ(probes.find("n-1"), nullptr);
}

TEST(ReachabilityProbes, MachinesThatTheClusterViewDoesNotHaveAreDropped) {
    core::ClusterView cluster_view;
    cluster_view.apply(test::heartbeat("n-1", "small", "a"), kSecond, kSecond);
    ReachabilityProbes probes;
    probes.request("n-1");
    probes.request("n-2");
    probes.remove_unknown(cluster_view);
    EXPECT_NE(probes.find("n-1"), nullptr);
    EXPECT_EQ(probes.find("n-2"), nullptr);
}

}  // namespace
}  // namespace hatchwind
