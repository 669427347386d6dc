#include "scaling/pool_backoff.hpp"

#include <algorithm>

namespace hatchwind::controller {

using core::from_seconds;
using io::steady_now;

namespace {
constexpr double kBackoffSeconds = 2.5;  // doubled with each refusal, from the first one on
constexpr int kMostDoublings = 4;
constexpr double kLeastCapSeconds = 10;
// Requests to refusing pools may take one of so many of the cloud's calls.
constexpr double kCallsPerRefusal = 10;
constexpr double kPoolsPerTypeAndZone = 2;  // spot and on demand
}  // namespace

// The cap keeps requests to all pools together at a tenth of the cloud's calls, and is no longer than that
// takes: after many machines were lost, backoffs of 40 s kept the fleet small for a minute.
double PoolBackoff::longest_backoff_s() const {
    double pools = 0;
    for (const auto& [name, type] : *catalog_)
        pools += kPoolsPerTypeAndZone * static_cast<double>(type.zones.size());
    return std::max(kLeastCapSeconds, kCallsPerRefusal * pools / settings_.cloud_rps);
}

void PoolBackoff::record_refusal(const core::InstancePool& pool) {
    const int doublings = std::min(++refusals_[pool], kMostDoublings);
    const double backoff_s = std::min(kBackoffSeconds * (1 << doublings), longest_backoff_s());
    refused_until_[pool] = steady_now() + from_seconds(backoff_s);
}

void PoolBackoff::reset(const core::InstancePool& pool) {
    refused_until_.erase(pool);
    refusals_.erase(pool);
}

}  // namespace hatchwind::controller
