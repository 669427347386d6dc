#include "scheduling/fencing_token_monitor.hpp"

#include <spdlog/spdlog.h>

namespace hatchwind::controller {

void FencingTokenMonitor::start_epoch() {
    if (!leadership_.is_cluster_leader()) return;
    observed_epoch_ = replicated_.epoch().number;
    policy_.start_epoch(workers_.cluster_view());
}

void FencingTokenMonitor::check() {
    if (!leadership_.is_cluster_leader()) return;
    const std::uint64_t epoch = replicated_.epoch().number;
    if (observed_epoch_ != epoch) start_epoch();
    const core::ExitBacklog waiting = policy_.waiting_exits(workers_.cluster_view());
    spdlog::debug("event=exits_listed epoch={} machines={} waiting={} most_on_one_machine={}", epoch,
                  waiting.machines, waiting.exits, waiting.most_on_one_machine);
    if (!core::TokenRenewalPolicy::is_due(waiting) || renewal_.is_requested(epoch)) return;
    spdlog::info("event=epoch_renewal_requested epoch={} waiting={} most_on_one_machine={}", epoch,
                 waiting.exits, waiting.most_on_one_machine);
    renewal_.request(epoch);
}

}  // namespace hatchwind::controller
