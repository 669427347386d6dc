/// Failure detection: which unresponsive machines may be released, and the backoff for machines and jobs with
/// failures. Releasing an unresponsive machine ends its tasks reliably, long before its lease expires. If
/// many machines become unresponsive at the same time, however, the fault is probably in the network between
/// them and the controllers, and the machines still work.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "core/time.hpp"

namespace hatchwind::core {

/// A machine and the time since its last heartbeat.
struct UnresponsiveMachine {
    std::string id;
    Micros unresponsive_for{};
    bool holds_tasks = false;
};

/// Returns how long no task is placed on a machine after `errors` errors on it; doubles with each error up to
/// kMaxDoublings. The maximum is below the wait after which a job must start (kOverdueAfter). Otherwise jobs
/// would stay queued although a machine has free capacity.
constexpr Micros machine_backoff(int errors) {
    constexpr Micros kInitialBackoff{2'000'000};
    constexpr int kMaxDoublings = 5;
    return kInitialBackoff * (1 << std::min(errors, kMaxDoublings));
}

/// Returns how long no task of a job is started after `errors` errors of its tasks on several machines.
constexpr Micros job_backoff(int errors) {
    constexpr Micros kInitialBackoff{500'000};
    constexpr int kMaxDoublings = 6;
    return kInitialBackoff * (1 << std::min(errors, kMaxDoublings));
}

/// Returns the ids of the machines that may be released now: those unresponsive for longer than `limit`, or
/// `2 * limit` if they hold no tasks. Returns nothing if so many machines are unresponsive that a common
/// cause is likely.
///
/// `released_recently`: number of unresponsive machines released within the last minute. Without this count,
/// machines that become unresponsive one after another, for example because their heartbeats go to a
/// partitioned controller, would be released a few at a time until half the fleet is released. Machines that
/// have been unresponsive for half the limit are counted too, because machines with a common cause reach the
/// limit shortly after one another.
inline std::vector<std::string> releasable(const std::vector<UnresponsiveMachine>& machines, Micros limit,
                                           std::size_t released_recently) {
    constexpr std::size_t kMinUnresponsiveLimit = 2;
    constexpr std::size_t kUnresponsiveShareDivisor = 8;
    std::vector<std::string> overdue;
    std::size_t unresponsive_count = 0;
    for (const auto& machine : machines) {
        if (machine.unresponsive_for > limit / 2) ++unresponsive_count;
        // Idle machines only cost money, so they get more time to recover.
        if (machine.unresponsive_for > (machine.holds_tasks ? limit : limit * 2))
            overdue.push_back(machine.id);
    }
    const std::size_t max_unresponsive =
        std::max(kMinUnresponsiveLimit, (machines.size() + released_recently) / kUnresponsiveShareDivisor);
    if (unresponsive_count + released_recently > max_unresponsive) return {};
    return overdue;
}

}  // namespace hatchwind::core
