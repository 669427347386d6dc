#include "scheduling/orphan_reconciler.hpp"

#include <spdlog/spdlog.h>

#include <utility>

namespace hatchwind::controller {

using core::CommandKind;
using core::ListedAttempt;
using core::Micros;
using core::TaskState;

namespace {
constexpr Micros kInterval{2'000'000};

// Attempt numbers increase within a chunk, and an attempt that was closed is never opened again.
bool has_ended(const core::JobEntry* entry, std::uint32_t task, std::uint64_t attempt) {
    if (entry == nullptr) return false;
    const auto chunk = entry->chunks.find(task / core::kChunkTasks);
    return chunk != entry->chunks.end() && attempt <= chunk->second.last_attempt;
}
}  // namespace

bool OrphanReconciler::reconcile() {
    const Micros now = io::steady_now();
    if (now - last_run_at_ < kInterval) return false;
    last_run_at_ = now;
    Orphans found;
    for (const auto& [machine, view] : workers_.cluster_view().machines()) {
        // Until the worker has the current fencing token, starts of earlier epochs may still arrive.
        if (view.last_heartbeat.fencing_token >= replicated_.epoch().number)
            reconcile_machine(machine, view, now, found);
    }
    orphans_ = std::move(found);
    return true;
}

bool OrphanReconciler::is_ours(const core::JobEntry* entry) const {
    return entry != nullptr ? leadership_.owns_shard(entry->job.team) : leadership_.is_cluster_leader();
}

bool OrphanReconciler::is_orphan(const std::string& machine, const core::JobEntry* entry,
                                 const core::TaskStatus& listed) const {
    if (!is_ours(entry)) return false;
    const core::Attempt* open = replicated_.job_table().open_attempt(listed.job, listed.task);
    return open == nullptr || open->number != listed.attempt || open->machine != machine;
}

void OrphanReconciler::reconcile_machine(const std::string& machine, const core::MachineView& view,
                                         Micros monotonic_now, Orphans& found) {
    const bool is_fresh = monotonic_now - view.last_heartbeat_at < workers_.stale_heartbeat_threshold();
    for (const auto& listed : view.last_heartbeat.tasks) {
        const core::JobEntry* entry = replicated_.job_table().find(listed.job);
        if (!is_orphan(machine, entry, listed)) continue;
        const ListedAttempt orphan{machine, listed.job, listed.task, listed.attempt};
        if (listed.state == TaskState::exited) {
            reconcile_exit(orphan, entry, view.last_heartbeat.incarnation, found);
        } else if (is_fresh) {
            // The last heartbeat of an unresponsive machine may list tasks that have since ended with its
            // lease.
            stop(orphan, entry, view, found);
        }
    }
}

const OrphanReconciler::Sighting* OrphanReconciler::record_sighting(const ListedAttempt& orphan,
                                                                    Orphans& found) const {
    const std::uint64_t epoch = replicated_.epoch().number;
    const auto known = orphans_.find(orphan);
    const std::uint64_t first_epoch = known == orphans_.end() ? epoch : known->second.first_epoch;
    found[orphan] = {first_epoch, epoch};
    return known == orphans_.end() ? nullptr : &known->second;
}

void OrphanReconciler::reconcile_exit(const ListedAttempt& orphan, const core::JobEntry* entry,
                                      std::uint64_t incarnation, Orphans& found) {
    if (entry != nullptr) {
        // Only this controller sends start commands for this shard's tasks in this epoch.
        if (!commands_.start_may_arrive(orphan.job, orphan.task, orphan.attempt))
            enqueue(CommandKind::acknowledge_exit, orphan, incarnation);
        return;
    }
    // The shard of a job that is over is unknown here, and its owner may have started the attempt in this
    // epoch. In the next one the owner acknowledges the exit first; what it leaves is acknowledged here.
    const std::uint64_t epoch = replicated_.epoch().number;
    const Sighting* known = record_sighting(orphan, found);
    if (known != nullptr && known->first_epoch < epoch && known->last_epoch == epoch)
        enqueue(CommandKind::acknowledge_exit, orphan, incarnation);
}

void OrphanReconciler::stop(const ListedAttempt& orphan, const core::JobEntry* entry,
                            const core::MachineView& view, Orphans& found) {
    const bool ended = has_ended(entry, orphan.task, orphan.attempt);
    const bool seen_before = record_sighting(orphan, found) != nullptr;
    // An attempt without any record may be newer than the replica.
    if (!ended && !seen_before) return;
    spdlog::warn(
        "event=orphan_task_stopped job={} task={} attempt={} machine={} recorded_end={} machine_token={} "
        "token={}",
        orphan.job, orphan.task, orphan.attempt, orphan.machine, ended, view.last_heartbeat.fencing_token,
        replicated_.epoch().number);
    enqueue(CommandKind::stop, orphan, view.last_heartbeat.incarnation);
}

void OrphanReconciler::enqueue(CommandKind kind, const ListedAttempt& orphan, std::uint64_t incarnation) {
    commands_.enqueue(orphan.machine, incarnation, {kind, orphan.job, orphan.task, orphan.attempt, 0},
                      CommandReason::no_record);
}

}  // namespace hatchwind::controller
