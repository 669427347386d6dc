#include "core/fair_share.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <numeric>

#include "support.hpp"

namespace hatchwind {
namespace {

using core::max_min_share;

std::vector<double> all_shares(const std::vector<double>& demands, double capacity) {
    std::vector<double> shares;
    for (std::size_t i = 0; i < demands.size(); ++i) shares.push_back(max_min_share(demands, i, capacity));
    return shares;
}

TEST(FairShare, EveryShareIsAtLeastTheDemandOrAnEqualShare) {
    test::check_property("max-min fairness", [] {
        constexpr double kTolerance = 1e-9;
        const auto tenths =
            *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 500)));
        const double capacity = *rc::gen::inRange(1, 1000);
        std::vector<double> demands;
        demands.reserve(tenths.size());
        for (const int demand : tenths) demands.push_back(demand / 10.0);
        const auto shares = all_shares(demands, capacity);
        const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
        RC_ASSERT(std::abs(sum - capacity) < kTolerance * capacity * 10);
        const double equal_share = capacity / static_cast<double>(demands.size());
        for (std::size_t i = 0; i < demands.size(); ++i) {
            RC_ASSERT(shares[i] >= std::min(demands[i], equal_share) - kTolerance);
            // A controller that gets less than its demand gets as much as any other.
            if (shares[i] < demands[i] - kTolerance)
                RC_ASSERT(shares[i] >= *std::max_element(shares.begin(), shares.end()) - kTolerance);
        }
    });
}

TEST(FairShare, AHeavyControllerLeavesLightOnesTheirDemand) {
    const auto shares = all_shares({60, 3, 2, 0}, 20);
    EXPECT_DOUBLE_EQ(shares[0], 15);
    EXPECT_DOUBLE_EQ(shares[1], 3);
    EXPECT_DOUBLE_EQ(shares[2], 2);
    EXPECT_DOUBLE_EQ(shares[3], 0);
}

TEST(FairShare, CapacityBeyondTheDemandIsSpreadEvenly) {
    const auto shares = all_shares({1, 3}, 10);
    EXPECT_DOUBLE_EQ(shares[0], 4);
    EXPECT_DOUBLE_EQ(shares[1], 6);
}

}  // namespace
}  // namespace hatchwind
