// Which silent machines may be given back. A release ends a silent machine's tasks for certain, long before
// its lease would; but when many fall silent, the trouble lies between them and us, and they still work.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "core/model.hpp"

namespace hatchwind::core {

struct SilentMachine {
    std::string id;
    Micros silent_for{};
    bool holds_tasks = false;
};

// How long nothing new is placed on a machine after that many errors there, each time twice as long. Below
// the wait after which a job has to begin: a longer one left jobs waiting beside a machine with free
// capacity.
constexpr Micros machine_backoff(int errors) { return Micros{2'000'000} * (1 << std::min(errors, 5)); }
// Likewise for a job whose tasks fail on several machines.
constexpr Micros job_backoff(int errors) { return Micros{500'000} * (1 << std::min(errors, 6)); }

// `released_recently`: how many silent machines were given back within the last minute. Without that count,
// machines that fall silent one after the other, as when their reports went to a node that is cut off, go a
// few at a time until half the fleet is gone. Machines that are quiet for half the limit count too: those
// that share a cause reach the limit shortly after one another.
inline std::vector<std::string> releasable(const std::vector<SilentMachine>& machines, Micros limit,
                                           std::size_t released_recently) {
    std::vector<std::string> out;
    std::size_t quiet = 0;
    for (const auto& m : machines) {
        if (m.silent_for > limit / 2) ++quiet;
        // Empty ones cost money only, so they get longer to come back.
        if (m.silent_for > (m.holds_tasks ? limit : limit * 2)) out.push_back(m.id);
    }
    const std::size_t most = std::max<std::size_t>(2, (machines.size() + released_recently) / 8);
    if (quiet + released_recently > most) out.clear();
    return out;
}

}  // namespace hatchwind::core
