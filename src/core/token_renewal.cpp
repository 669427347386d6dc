#include "core/token_renewal.hpp"

#include <algorithm>

namespace hatchwind::core {

bool TokenRenewalPolicy::is_due(std::uint64_t epoch, const ExitBacklog& backlog) {
    if (epoch != epoch_) {
        epoch_ = epoch;
        fewest_exits_ = backlog.exits;
        fewest_on_fullest_machine_ = backlog.most_on_one_machine;
    }
    fewest_exits_ = std::min(fewest_exits_, backlog.exits);
    fewest_on_fullest_machine_ = std::min(fewest_on_fullest_machine_, backlog.most_on_one_machine);
    const std::size_t max_waiting = std::max(kMinWaiting, kMaxWaitingPerMachine * backlog.machines);
    return backlog.exits - fewest_exits_ >= max_waiting ||
           backlog.most_on_one_machine - fewest_on_fullest_machine_ >= kMaxWaitingOnOneMachine;
}

}  // namespace hatchwind::core
