#include "scheduling/cancellation_enforcer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace hatchwind::controller {

using core::AttemptStatus;
using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr Micros kInterval{500'000};
// The owner has stopped its tasks by then, unless something is wrong.
constexpr Micros kOwnerGoesFirst{2'000'000};
constexpr Micros kRepeatStop{2'000'000};
// Parts of the time that a cancellation may take. The leader releases a machine first; another node does when
// the machine is still there a while later, whoever leads.
constexpr double kAskMachineShare = 0.4;
constexpr double kLeaderReleasesShare = 0.5;
constexpr double kAnyoneReleasesShare = 0.65;
constexpr std::size_t kReleasedAtOnce = 100;  // what one call to the cloud may name
}  // namespace

Micros CancellationEnforcer::share_of_limit(double share) const {
    return Micros{static_cast<std::int64_t>(settings_.cancel_s * share * 1e6)};
}

std::vector<CancellationEnforcer::Remaining> CancellationEnforcer::remaining() const {
    std::vector<Remaining> tasks;
    const Micros wall_clock_now = io::wall_now();
    for (const auto& [id, entry] : replicated_.job_table().jobs()) {
        if (!entry.job.cancelled || entry.open == 0) continue;
        const bool owned = leadership_.holds_leadership() && leadership_.owns_shard(entry.job.team);
        for (const auto& [index, chunk] : entry.chunks) {
            for (const auto& [task, attempt] : chunk.open) {
                const auto view = core::view_attempt(workers_.cluster_view(), id, task, attempt);
                if (view.status == AttemptStatus::exited || view.status == AttemptStatus::gone) continue;
                tasks.push_back(
                    {{id, task}, attempt, view.status, wall_clock_now - entry.job.cancelled_at, owned});
            }
        }
    }
    return tasks;
}

void CancellationEnforcer::stop_listed(const std::vector<Remaining>& tasks) {
    if (!leadership_.holds_leadership()) return;
    const Micros now = steady_now();
    std::erase_if(stopped_at_, [&](const auto& stop) { return now - stop.second > kRepeatStop; });
    for (const auto& [ref, attempt, status, cancelled_for, owned_here] : tasks) {
        if (owned_here || status != AttemptStatus::live || cancelled_for < kOwnerGoesFirst) continue;
        if (!stopped_at_.emplace(ref, now).second) continue;
        spdlog::debug("event=cancelled_task_stopped job={} task={} machine={}", ref.job, ref.task,
                      attempt.machine);
        commands_.enqueue(attempt.machine, attempt.incarnation,
                          {core::CommandKind::stop, ref.job, ref.task, attempt.number, 0});
    }
}

std::vector<std::string> CancellationEnforcer::overdue_machines(const std::vector<Remaining>& tasks) {
    std::vector<std::string> machines;
    for (const auto& [ref, attempt, status, cancelled_for, owned_here] : tasks) {
        // An old view of the machine is no reason to give it back: asking it brings a new one.
        if (cancelled_for > share_of_limit(kAskMachineShare) &&
            workers_.cluster_view().find(attempt.machine) != nullptr) {
            probes_.request(attempt.machine);
        }
        // A task that its machine does not list may just not have started: its owner is at it for longer.
        const bool first = leadership_.is_cluster_leader() && status != AttemptStatus::unlisted;
        if (cancelled_for > share_of_limit(first ? kLeaderReleasesShare : kAnyoneReleasesShare)) {
            machines.push_back(attempt.machine);
        }
    }
    std::sort(machines.begin(), machines.end());
    machines.erase(std::unique(machines.begin(), machines.end()), machines.end());
    machines.resize(std::min(machines.size(), kReleasedAtOnce));
    return machines;
}

Task<void> CancellationEnforcer::run() {
    while (true) {
        co_await loop_.sleep(kInterval);
        if (!replicated_.is_loaded()) continue;
        const std::vector<Remaining> tasks = remaining();
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
