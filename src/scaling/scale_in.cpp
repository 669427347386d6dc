#include "scaling/scale_in.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "core/failure_detection.hpp"

namespace hatchwind::controller {

using core::from_seconds;
using io::Micros;
using io::steady_now;
using io::Task;

namespace {
// Time in which a cordon reaches the other controllers.
constexpr Micros kCordonPropagation{500'000};
// After this time in a term, the leader knows the instances that earlier leaders requested.
constexpr Micros kTermKnowsInstances{10'000'000};
constexpr Micros kUnresponsiveReleaseWindow{60'000'000};
// Cordons of released machines are harmless, so they are removed in batches, or after some time.
constexpr std::size_t kStaleCordonsWorthWrite = 20;
constexpr Micros kLongestStaleCordon{10'000'000};
// After this multiple of the list's lag, plus a margin, the cloud's list is complete.
constexpr double kLagsUntilListSettled = 2;
constexpr double kListSettledMarginSeconds = 10;
}  // namespace

std::vector<std::string> ScaleIn::machines_to_release(Micros monotonic_now, const LeaderTerm& term) {
    std::vector<std::string> due = context_.inventory.failed();
    add_drained(due, monotonic_now);
    if (term.length(monotonic_now) > kTermKnowsInstances) {
        const auto never_booted = context_.inventory.never_booted(monotonic_now);
        due.insert(due.end(), never_booted.begin(), never_booted.end());
    }
    add_unresponsive(due, monotonic_now, term);
    std::sort(due.begin(), due.end());
    due.erase(std::unique(due.begin(), due.end()), due.end());
    due.resize(std::min(due.size(), CloudClient::kMostReleasedPerRequest));
    return due;
}

void ScaleIn::add_drained(std::vector<std::string>& due, Micros monotonic_now) {
    const core::ClusterView& cluster_view = context_.workers.cluster_view();
    for (const auto& machine : context_.replicated.draining()) {
        if (cluster_view.released(machine) || cluster_view.find(machine) == nullptr) continue;
        if (!context_.replicated.job_table().on_machine(machine).empty()) {
            empty_since_.erase(machine);
            continue;
        }
        const Micros empty_since = empty_since_.try_emplace(machine, monotonic_now).first->second;
        if (monotonic_now - empty_since >= kCordonPropagation) due.push_back(machine);
    }
}

Micros ScaleIn::unresponsive_for(const std::string& machine, const core::MachineView& view,
                                 Micros monotonic_now) const {
    const Micros without_heartbeat = monotonic_now - view.last_heartbeat_at;
    // A machine that sends heartbeats but answers no request counts too, because nothing can be started or
    // stopped on it. If this controller is unhealthy, the fault may be its own.
    const ProbeState* probe = context_.probes.find(machine);
    const bool answers = probe == nullptr || probe->unanswered_since.count() == 0;
    if (!context_.health.is_healthy() || answers) return without_heartbeat;
    return std::max(without_heartbeat, monotonic_now - probe->unanswered_since);
}

void ScaleIn::add_unresponsive(std::vector<std::string>& due, Micros monotonic_now, const LeaderTerm& term) {
    std::vector<core::UnresponsiveMachine> machines;
    for (const auto& [machine, view] : context_.workers.cluster_view().machines()) {
        // At most the length of this term: before it, the heartbeats may have gone to another controller.
        const Micros unresponsive =
            std::min(unresponsive_for(machine, view, monotonic_now), term.length(monotonic_now));
        const bool has_tasks = !context_.replicated.job_table().on_machine(machine).empty();
        machines.push_back({machine, unresponsive, has_tasks});
    }
    std::erase_if(unresponsive_released_at_, [&](Micros released_at) {
        return monotonic_now - released_at > kUnresponsiveReleaseWindow;
    });
    const auto releasable =
        core::releasable(machines, context_.tunables.silent_release, unresponsive_released_at_.size());
    if (releasable.empty()) return;
    spdlog::info("event=unresponsive_machines_released count={} standing={}", releasable.size(),
                 machines.size());
    due.insert(due.end(), releasable.begin(), releasable.end());
    unresponsive_released_at_.insert(unresponsive_released_at_.end(), releasable.size(), monotonic_now);
}

std::set<std::string> ScaleIn::cordons_still_needed(Micros monotonic_now, const LeaderTerm& term) const {
    const Micros list_settles_after =
        from_seconds(context_.settings.list_lag_s * kLagsUntilListSettled + kListSettledMarginSeconds);
    const bool list_settled = term.inventory_read && term.length(monotonic_now) > list_settles_after;
    const core::ClusterView& cluster_view = context_.workers.cluster_view();
    std::set<std::string> cordoned = context_.replicated.draining();
    std::erase_if(cordoned, [&](const std::string& machine) {
        if (cluster_view.released(machine)) return true;
        const bool in_view = cluster_view.find(machine) != nullptr;
        return !in_view && list_settled && !context_.inventory.contains(machine);
    });
    return cordoned;
}

Task<void> ScaleIn::remove_stale_cordons(Micros monotonic_now, LeaderTerm term) {
    std::set<std::string> cordoned = cordons_still_needed(monotonic_now, term);
    std::erase_if(empty_since_, [&](const auto& entry) { return !cordoned.contains(entry.first); });
    const std::size_t stale = context_.replicated.draining().size() - cordoned.size();
    if (stale == 0) co_return;
    const bool worth_write =
        stale >= kStaleCordonsWorthWrite || monotonic_now - cordons_removed_at_ > kLongestStaleCordon;
    if (!worth_write) co_return;
    if (!context_.leadership.is_cluster_leader() || !context_.store.reachable(steady_now())) co_return;
    cordons_removed_at_ = monotonic_now;
    auto replacing = context_.cordons.replace(std::move(cordoned));
    co_await std::move(replacing);
}

}  // namespace hatchwind::controller
