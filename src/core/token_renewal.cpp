#include "core/token_renewal.hpp"

#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

namespace hatchwind::core {

namespace {

std::vector<ListedAttempt> listed_exits(const std::string& machine, const MachineView& view) {
    std::vector<ListedAttempt> exits;
    for (const TaskStatus& task : view.last_heartbeat.tasks) {
        if (task.state == TaskState::exited) exits.push_back({machine, task.job, task.task, task.attempt});
    }
    return exits;
}

}  // namespace

void TokenRenewalPolicy::start_epoch(const ClusterView& view) {
    listed_before_.clear();
    for (const auto& [machine, machine_view] : view.machines()) {
        auto exits = listed_exits(machine, machine_view);
        listed_before_.insert(std::make_move_iterator(exits.begin()), std::make_move_iterator(exits.end()));
    }
}

ExitBacklog TokenRenewalPolicy::waiting_exits(const ClusterView& view) const {
    ExitBacklog waiting;
    waiting.machines = view.machines().size();
    for (const auto& [machine, machine_view] : view.machines()) {
        const auto exits = listed_exits(machine, machine_view);
        const auto on_machine = static_cast<std::size_t>(
            std::count_if(exits.begin(), exits.end(),
                          [&](const ListedAttempt& exit) { return !listed_before_.contains(exit); }));
        waiting.exits += on_machine;
        waiting.most_on_one_machine = std::max(waiting.most_on_one_machine, on_machine);
    }
    return waiting;
}

bool TokenRenewalPolicy::is_due(const ExitBacklog& waiting) {
    return waiting.exits >= std::max(kMinWaiting, kMaxWaitingPerMachine * waiting.machines) ||
           waiting.most_on_one_machine >= kMaxWaitingOnOneMachine;
}

}  // namespace hatchwind::core
