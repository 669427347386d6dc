#include "scheduling/fencing_token_monitor.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace hatchwind::controller {

core::ExitBacklog FencingTokenMonitor::backlog() const {
    const auto& machines = workers_.cluster_view().machines();
    core::ExitBacklog backlog;
    backlog.machines = machines.size();
    for (const auto& [id, view] : machines) {
        const auto& tasks = view.last_heartbeat.tasks;
        const auto exited = std::count_if(tasks.begin(), tasks.end(), [](const core::TaskStatus& task) {
            return task.state == core::TaskState::exited;
        });
        const auto exits = static_cast<std::size_t>(exited);
        backlog.exits += exits;
        backlog.most_on_one_machine = std::max(backlog.most_on_one_machine, exits);
    }
    return backlog;
}

void FencingTokenMonitor::check() {
    if (!leadership_.is_cluster_leader()) return;
    const std::uint64_t epoch = replicated_.epoch().number;
    const core::ExitBacklog waiting = backlog();
    spdlog::debug("event=exits_listed epoch={} machines={} exits={} most_on_one_machine={}", epoch,
                  waiting.machines, waiting.exits, waiting.most_on_one_machine);
    if (!policy_.is_due(epoch, waiting) || renewal_.is_requested(epoch)) return;
    spdlog::info("event=epoch_renewal_requested epoch={} exits={} most_on_one_machine={}", epoch,
                 waiting.exits, waiting.most_on_one_machine);
    renewal_.request(epoch);
}

}  // namespace hatchwind::controller
