#include "scaling/eviction_controller.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace hatchwind::controller {

using io::Micros;
using io::steady_now;
using io::Task;

namespace {
// Of a service's unstarted tasks, as many as a new leader takes for stopped just before its term.
constexpr std::size_t kMostAssumedStops = 16;
// What the encoded record has beside each machine's id, with some room.
constexpr std::size_t kCordonOverheadBytes = 4;

std::set<core::TaskRef> open_tasks(const core::JobTable& job_table) {
    std::set<core::TaskRef> open;
    for (const auto& [id, entry] : job_table.jobs()) {
        for (const auto& [index, chunk] : entry.chunks) {
            for (const auto& [task, attempt] : chunk.open) open.insert({id, task});
        }
    }
    return open;
}
}  // namespace

// A task whose attempt was open in the last round and is not now was stopped, and has no new place yet.
void EvictionController::record_stops(Micros monotonic_now) {
    if (open_in_last_round_.empty()) assume_services_stopped(monotonic_now);
    std::set<core::TaskRef> open = open_tasks(context_.replicated.job_table());
    for (const auto& task : open_in_last_round_) {
        if (!open.contains(task)) planner_state_.recent_stops[task] = monotonic_now;
    }
    open_in_last_round_ = std::move(open);
}

// A new leader doesn't know what was stopped before its term; the services' unstarted tasks stand for that.
void EvictionController::assume_services_stopped(Micros monotonic_now) {
    for (const auto& [id, entry] : context_.replicated.job_table().jobs()) {
        if (entry.job.kind != core::JobKind::service || entry.job.cancelled) continue;
        for (const auto task : core::unstarted_tasks(entry, kMostAssumedStops))
            planner_state_.recent_stops[{id, task}] = monotonic_now;
    }
}

core::DrainInput EvictionController::drain_input(Micros monotonic_now) const {
    const core::ClusterView& cluster_view = context_.workers.cluster_view();
    core::DrainInput input;
    input.job_table = &context_.replicated.job_table();
    input.cluster_view = &cluster_view;
    input.monotonic_now = monotonic_now;
    for (const auto& machine : context_.replicated.draining()) {
        if (cluster_view.find(machine) != nullptr) input.draining.insert(machine);
    }
    const Micros planning_ends_at = monotonic_now + context_.tunables.drain_bound;
    input.out_of_time = [planning_ends_at] { return steady_now() >= planning_ends_at; };
    return input;
}

// Caps grow with the fleet: a handful at a time would take hours to scale in what one burst needed.
core::DrainSettings EvictionController::drain_settings() const {
    const core::ClusterView& cluster_view = context_.workers.cluster_view();
    const auto fleet_size = static_cast<double>(cluster_view.machines().size());
    const auto total_share = static_cast<std::size_t>(fleet_size * context_.tunables.drain_share);
    const auto busy_share = static_cast<std::size_t>(fleet_size * context_.tunables.drain_busy_share);
    // So many cordons surely fit into one value of the store.
    const std::size_t most_cordons =
        context_.settings.value_bytes() / (cluster_view.max_machine_id_length() + kCordonOverheadBytes);
    core::DrainSettings settings = context_.tunables.drain;
    settings.total_cap = std::min(most_cordons, std::max(settings.total_cap, total_share));
    settings.busy_cap = std::max(settings.busy_cap, busy_share);
    return settings;
}

core::DrainResult EvictionController::plan(const core::DrainInput& input) {
    core::FreeCapacity capacity = core::FreeCapacity::build(
        context_.workers.cluster_view(), context_.replicated.job_table(), *context_.catalog,
        context_.workers.availability(), &context_.free_capacity_cache);
    return core::plan_drains(drain_settings(), input, std::move(capacity), planner_state_);
}

void EvictionController::publish_candidates() {
    std::set<std::string> candidates;
    for (const auto& [machine, since] : planner_state_.candidate_since) candidates.insert(machine);
    context_.workers.set_drain_candidates(std::move(candidates));
}

// The machines that are cordoned already, and those that the plan chose.
std::set<std::string> EvictionController::with_cordons(const core::DrainResult& planned) const {
    std::set<std::string> cordoned = context_.replicated.draining();
    for (const auto* chosen : {&planned.empty, &planned.busy}) {
        for (const auto& machine : *chosen) {
            const std::size_t tasks = context_.replicated.job_table().on_machine(machine).size();
            spdlog::info("event=drain machine={} tasks={}", machine, tasks);
            cordoned.insert(machine);
        }
    }
    return cordoned;
}

Task<void> EvictionController::run_round() {
    const Micros monotonic_now = steady_now();
    record_stops(monotonic_now);
    const core::DrainResult planned = plan(drain_input(monotonic_now));
    publish_candidates();
    if (planned.empty.empty() && planned.busy.empty()) co_return;
    auto replacing = context_.cordons.replace(with_cordons(planned));
    co_await std::move(replacing);
    context_.signals.scheduling_needed.notify_all();
}

}  // namespace hatchwind::controller
