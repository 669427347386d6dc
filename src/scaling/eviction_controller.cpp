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
constexpr std::size_t kStopsAssumedPerService = 16;
constexpr std::size_t kMarkBytes = 4;  // beside the machine's name

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

// Stops that have no replacement yet: attempts that were open in the last round. A new leader does not know
// the stops before its time; the jobs' unstarted tasks are the floor for those.
void EvictionController::record_stops(Micros now) {
    if (was_open_.empty()) {
        for (const auto& [id, entry] : replicated_.job_table().jobs()) {
            if (entry.job.kind != core::JobKind::service || entry.job.cancelled) continue;
            for (const auto task : core::unstarted_tasks(entry, kStopsAssumedPerService))
                state_.recent_stops[{id, task}] = now;
        }
    }
    std::set<core::TaskRef> open = open_tasks(replicated_.job_table());
    for (const auto& task : was_open_) {
        if (!open.contains(task)) state_.recent_stops[task] = now;
    }
    was_open_ = std::move(open);
}

core::DrainInput EvictionController::drain_input(Micros now) const {
    core::DrainInput input;
    input.job_table = &replicated_.job_table();
    input.cluster_view = &workers_.cluster_view();
    input.now = now;
    for (const auto& machine : replicated_.draining()) {
        if (workers_.cluster_view().find(machine) != nullptr) input.draining.insert(machine);
    }
    const Micros end = now + tunables_.drain_bound;
    input.out_of_time = [end] { return steady_now() >= end; };
    return input;
}

// Caps grow with the fleet: a handful at a time would take hours to give back what one burst needed.
core::DrainSettings EvictionController::drain_settings() const {
    core::DrainSettings settings = tunables_.drain;
    const auto fleet = static_cast<double>(workers_.cluster_view().machines().size());
    const auto total_share = static_cast<std::size_t>(fleet * tunables_.drain_share);
    const auto busy_share = static_cast<std::size_t>(fleet * tunables_.drain_busy_share);
    // So many marks surely fit into one value of the store.
    const std::size_t most_marks =
        settings_.value_bytes() / (workers_.cluster_view().longest_name() + kMarkBytes);
    settings.total_cap = std::min(most_marks, std::max(settings.total_cap, total_share));
    settings.busy_cap = std::max(settings.busy_cap, busy_share);
    return settings;
}

core::DrainResult EvictionController::plan(const core::DrainInput& input) {
    return core::plan_drains(
        drain_settings(), input,
        core::FreeCapacity::build(workers_.cluster_view(), replicated_.job_table(), *catalog_,
                                  workers_.availability(), &free_capacity_cache_),
        state_);
}

Task<void> EvictionController::round() {
    const Micros now = steady_now();
    record_stops(now);
    const core::DrainResult result = plan(drain_input(now));
    std::set<std::string> candidates;
    for (const auto& [machine, since] : state_.candidate_since) candidates.insert(machine);
    workers_.set_drain_candidates(std::move(candidates));
    std::vector<std::string> chosen = result.empty;
    chosen.insert(chosen.end(), result.busy.begin(), result.busy.end());
    if (chosen.empty()) co_return;
    std::set<std::string> marks = replicated_.draining();
    for (const auto& machine : chosen) {
        spdlog::info("event=drain machine={} tasks={}", machine,
                     replicated_.job_table().on_machine(machine).size());
        marks.insert(machine);
    }
    auto task = cordons_.write(std::move(marks));
    co_await std::move(task);
    signals_.scheduling_needed.notify_all();
}

}  // namespace hatchwind::controller
