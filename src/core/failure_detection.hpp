/// Failure detection: which unresponsive machines may be released, and how long machines and jobs with
/// failures are left alone. A release ends an unresponsive machine's tasks for certain, long before its lease
/// expires; but when many fall silent at once, the fault lies between them and the controllers, and they
/// still work.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "core/time.hpp"

namespace hatchwind::core {

/// A machine and how long it has sent no heartbeat.
struct SilentMachine {
    std::string id;
    Micros silent_for{};
    bool holds_tasks = false;
};

/// How long nothing new is placed on a machine after that many errors there, each time twice as long. Less
/// than the wait after which a job has to begin: a longer one left jobs waiting beside a machine with free
/// capacity.
constexpr Micros machine_backoff(int errors) {
    constexpr Micros kFirst{2'000'000};
    constexpr int kMostDoublings = 5;
    return kFirst * (1 << std::min(errors, kMostDoublings));
}

/// Likewise for a job whose tasks fail on several machines.
constexpr Micros job_backoff(int errors) {
    constexpr Micros kFirst{500'000};
    constexpr int kMostDoublings = 6;
    return kFirst * (1 << std::min(errors, kMostDoublings));
}

/// Of all `machines`, the ids of those that may be released now: silent for longer than `limit`, or twice as
/// long when they hold no tasks. Empty while too many are silent for one common cause.
///
/// `released_recently`: how many silent machines were released within the last minute. Without that count,
/// machines that fall silent one after the other, as when their heartbeats went to a controller that is cut
/// off, are released a few at a time until half the fleet is gone. Machines that are silent for half the
/// limit count too: those that share a cause reach the limit shortly after one another.
inline std::vector<std::string> releasable(const std::vector<SilentMachine>& machines, Micros limit,
                                           std::size_t released_recently) {
    constexpr std::size_t kAlwaysAllowed = 2;
    constexpr std::size_t kAllowedShareDivisor = 8;
    std::vector<std::string> overdue;
    std::size_t silent = 0;
    for (const auto& machine : machines) {
        if (machine.silent_for > limit / 2) ++silent;
        // Those without tasks cost money only, so they get longer to come back.
        if (machine.silent_for > (machine.holds_tasks ? limit : limit * 2)) overdue.push_back(machine.id);
    }
    const std::size_t allowed =
        std::max(kAlwaysAllowed, (machines.size() + released_recently) / kAllowedShareDivisor);
    if (silent + released_recently > allowed) return {};
    return overdue;
}

}  // namespace hatchwind::core
