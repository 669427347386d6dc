#include "scheduling/cancellation_enforcer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "core/time.hpp"

namespace hatchwind::controller {

using core::AttemptStatus;
using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr Micros kInterval{500'000};
// Time within which a healthy shard owner stops its own tasks; other controllers act only after it.
constexpr Micros kShardOwnerGracePeriod{2'000'000};
constexpr Micros kStopResendInterval{2'000'000};
// Fractions of the time limit for cancellations. The cluster leader releases a machine first. Any controller
// releases it if the machine still exists some time later.
constexpr double kProbeShare = 0.4;
constexpr double kLeaderReleasesShare = 0.5;
constexpr double kAnyControllerReleasesShare = 0.65;
constexpr std::size_t kMaxReleasesPerCall = 100;  // limit of one call to the cloud
}  // namespace

Micros CancellationEnforcer::share_of_limit(double share) const {
    return core::from_seconds(settings_.cancel_s * share);
}

std::vector<CancellationEnforcer::OpenTask> CancellationEnforcer::open_tasks() const {
    std::vector<OpenTask> tasks;
    const Micros wall_clock_now = io::wall_now();
    for (const auto& [id, entry] : replicated_.job_table().jobs()) {
        if (!entry.job.cancelled || entry.open == 0) continue;
        const bool ours = leadership_.holds_leadership() && leadership_.owns_shard(entry.job.team);
        const ShardOwner shard_owner = ours ? ShardOwner::this_controller : ShardOwner::other;
        const Micros cancelled_for = wall_clock_now - entry.job.cancelled_at;
        for (const auto& [number, chunk] : entry.chunks) {
            for (const auto& [task, attempt] : chunk.open) {
                const auto view = core::view_attempt(workers_.cluster_view(), id, task, attempt);
                if (view.status == AttemptStatus::exited || view.status == AttemptStatus::lost) continue;
                tasks.push_back({{id, task}, attempt, view.status, cancelled_for, shard_owner});
            }
        }
    }
    return tasks;
}

void CancellationEnforcer::stop_listed(const std::vector<OpenTask>& tasks) {
    if (!leadership_.holds_leadership()) return;
    const Micros now = steady_now();
    std::erase_if(stopped_at_, [&](const auto& stop) { return now - stop.second > kStopResendInterval; });
    for (const OpenTask& open : tasks) {
        if (open.shard_owner == ShardOwner::this_controller || open.status != AttemptStatus::live) continue;
        if (open.cancelled_for < kShardOwnerGracePeriod) continue;
        if (!stopped_at_.emplace(open.task, now).second) continue;
        spdlog::debug("event=cancelled_task_stopped job={} task={} machine={}", open.task.job, open.task.task,
                      open.attempt.machine);
        commands_.enqueue(open.attempt.machine, open.attempt.incarnation,
                          {core::CommandKind::stop, open.task.job, open.task.task, open.attempt.number, 0},
                          CommandReason::cancelled);
    }
}

Micros CancellationEnforcer::release_after(const OpenTask& task) const {
    // A task that its machine does not list may not have started yet, so its shard owner gets more time.
    const bool first = leadership_.is_cluster_leader() && task.status != AttemptStatus::unlisted;
    return share_of_limit(first ? kLeaderReleasesShare : kAnyControllerReleasesShare);
}

std::vector<std::string> CancellationEnforcer::overdue_machines(const std::vector<OpenTask>& tasks) {
    std::vector<std::string> machines;
    for (const OpenTask& open : tasks) {
        const std::string& machine = open.attempt.machine;
        // A machine must not be released because of an outdated view of it: a probe refreshes the view.
        if (open.cancelled_for > share_of_limit(kProbeShare) &&
            workers_.cluster_view().find(machine) != nullptr) {
            probes_.request(machine);
        }
        if (open.cancelled_for > release_after(open)) machines.push_back(machine);
    }
    std::sort(machines.begin(), machines.end());
    machines.erase(std::unique(machines.begin(), machines.end()), machines.end());
    machines.resize(std::min(machines.size(), kMaxReleasesPerCall));
    return machines;
}

Task<void> CancellationEnforcer::run() {
    while (true) {
        co_await loop_.sleep(kInterval);
        if (!replicated_.is_loaded()) continue;
        const std::vector<OpenTask> tasks = open_tasks();
        stop_listed(tasks);
        std::vector<std::string> machines = overdue_machines(tasks);
        if (machines.empty()) continue;
        spdlog::info("event=cancellation_overdue machines={} leads={}", machines.size(),
                     leadership_.is_cluster_leader());
        auto release = scaling_.release(std::move(machines));
        co_await std::move(release);
    }
}

}  // namespace hatchwind::controller
