#include "scheduling/attempt_reconciler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace hatchwind::controller {

using core::AttemptStatus;
using core::ExitCause;
using core::TaskState;
using io::Micros;
using io::steady_now;

namespace {
constexpr double kMinUnresponsiveSeconds = 3.0;
constexpr double kUnresponsiveHeartbeatIntervals = 1.5;
// A stop that lets the task write a checkpoint takes longer than one without a grace period.
constexpr Micros kSavingStopResendInterval = kStopResendInterval * 5;
constexpr double kSaveMarginSeconds = 1.0;
constexpr double kNoticeMarginSeconds = 3.0;

bool can_save(const core::Job& job, TaskState task) {
    return job.checkpoint_s > 0 && task == TaskState::running;
}

// Difference between the staged and the recorded state of one chunk.
struct ChunkChange {
    std::uint32_t newly_done = 0;
    std::uint32_t newly_closed = 0;
};

ChunkChange change_of(const core::JobEntry& entry, std::uint32_t chunk_number, const core::Chunk& staged) {
    const auto known = entry.chunks.find(chunk_number);
    const bool is_new = known == entry.chunks.end();
    const std::uint32_t done_before = is_new ? 0 : known->second.done.size();
    const std::size_t open_before = is_new ? 0 : known->second.open.size();
    return {staged.done.size() - done_before, static_cast<std::uint32_t>(open_before - staged.open.size())};
}
}  // namespace

void AttemptReconciler::reconcile(StagedRecords& staged) {
    if (!owns_any_shard()) return;
    reconcile_machines(staged);
    reconcile_cancelled(staged);
    find_finished_jobs(staged);
}

bool AttemptReconciler::owns_any_shard() const {
    const auto& shard_owners = replicated_.epoch().shard_owners;
    return std::any_of(shard_owners.begin(), shard_owners.end(),
                       [&](const auto& team) { return team.second == leadership_.label(); });
}

AttemptReconciler::MachineState AttemptReconciler::state_of(const core::MachineView* view,
                                                            Micros monotonic_now) const {
    // Does not depend on the tasks that the last heartbeat listed: when many machines become unresponsive at
    // once they are not released, but their tasks have ended with their leases. A machine that sends
    // heartbeats holds a lease.
    const double limit_s =
        std::max(kMinUnresponsiveSeconds, settings_.report_s * kUnresponsiveHeartbeatIntervals);
    const bool unresponsive =
        view == nullptr || monotonic_now - view->last_heartbeat_at > core::from_seconds(limit_s);
    return {view, unresponsive, monotonic_now};
}

bool AttemptReconciler::is_evacuating(const core::MachineView& view, const std::string& machine) const {
    return view.notice_until || replicated_.draining().contains(machine);
}

bool AttemptReconciler::is_unchanged(const ReconciledMachine* previous, const ReconciledMachine& current,
                                     const MachineState& state) const {
    if (previous == nullptr || previous->revisit == Revisit::next_pass) return false;
    const bool same = previous->incarnation == current.incarnation &&
                      previous->content_sequence == current.content_sequence &&
                      previous->version == current.version;
    return same && !state.unresponsive && !is_evacuating(*state.view, current.machine);
}

void AttemptReconciler::reconcile_machines(StagedRecords& staged) {
    const Micros now = steady_now();
    const auto& recorded_machines = replicated_.job_table().by_machine();
    next_reconciled_.clear();
    next_reconciled_.reserve(recorded_machines.size());
    // Merges the cluster view, the job table and the state of the last pass, all sorted by machine id.
    auto view = workers_.cluster_view().machines().begin();
    const auto views_end = workers_.cluster_view().machines().end();
    auto previous = reconciled_.cbegin();
    const auto previous_end = reconciled_.cend();
    for (const auto& [id, recorded] : recorded_machines) {
        while (view != views_end && view->first < id) ++view;
        while (previous != previous_end && previous->machine < id) ++previous;
        const bool is_known = view != views_end && view->first == id;
        const bool is_reconciled = previous != previous_end && previous->machine == id;
        const MachineState state = state_of(is_known ? &view->second : nullptr, now);
        next_reconciled_.push_back(
            reconcile_machine(staged, id, recorded, state, is_reconciled ? &*previous : nullptr));
    }
    std::swap(reconciled_, next_reconciled_);
}

AttemptReconciler::ReconciledMachine AttemptReconciler::reconcile_machine(StagedRecords& staged,
                                                                          const std::string& machine,
                                                                          const core::MachineTasks& recorded,
                                                                          const MachineState& state,
                                                                          const ReconciledMachine* previous) {
    ReconciledMachine current{machine, 0, 0, recorded.version, Revisit::next_pass};
    if (state.view == nullptr) {
        reconcile_attempts(staged, machine, recorded.tasks, state);
        return current;
    }
    current.incarnation = state.view->last_heartbeat.incarnation;
    current.content_sequence = state.view->content_sequence;
    current.revisit = is_unchanged(previous, current, state)
                          ? Revisit::on_change
                          : reconcile_attempts(staged, machine, recorded.tasks, state);
    return current;
}

AttemptReconciler::Revisit AttemptReconciler::reconcile_attempts(StagedRecords& staged,
                                                                 const std::string& machine,
                                                                 const core::RecordedAttempts& tasks,
                                                                 const MachineState& state) {
    Revisit revisit = Revisit::on_change;
    const core::JobEntry* last_entry = nullptr;
    bool ours = false;
    for (const auto& [task, recorded] : tasks) {
        // A machine's tasks are sorted by job.
        if (recorded.entry != last_entry) {
            last_entry = recorded.entry;
            ours = leadership_.owns_shard(last_entry->job.team) && !last_entry->job.cancelled;
        }
        if (!ours) continue;
        const core::Attempt attempt{recorded.number, machine, recorded.incarnation};
        if (reconcile_attempt(staged, {*last_entry, task.task, attempt}, state) == Revisit::next_pass)
            revisit = Revisit::next_pass;
    }
    return revisit;
}

void AttemptReconciler::reconcile_cancelled(StagedRecords& staged) {
    for (const auto& [id, entry] : replicated_.job_table().jobs()) {
        if (!entry.job.cancelled || entry.open == 0 || !leadership_.owns_shard(entry.job.team)) continue;
        for (const auto& [number, chunk] : entry.chunks) {
            for (const auto& [task, attempt] : chunk.open) {
                const MachineState state =
                    state_of(workers_.cluster_view().find(attempt.machine), steady_now());
                reconcile_attempt(staged, {entry, task, attempt}, state);
            }
        }
    }
}

void AttemptReconciler::find_finished_jobs(StagedRecords& staged) const {
    for (const auto& [id, entry] : replicated_.job_table().jobs()) {
        if (!leadership_.owns_shard(entry.job.team) || entry.record_is_outdated()) continue;
        std::uint32_t done = entry.done;
        std::uint32_t open = entry.open;
        auto record = staged.chunks.lower_bound({id, 0});
        for (; record != staged.chunks.end() && record->first.job == id; ++record) {
            const ChunkChange change = change_of(entry, record->first.number, record->second.chunk);
            done += change.newly_done;
            open -= change.newly_closed;
        }
        const bool all_done = done == entry.job.tasks;
        const bool all_stopped = entry.job.cancelled && open == 0;
        if (all_done || all_stopped) staged.finished_jobs.push_back(id);
    }
}

AttemptReconciler::Revisit AttemptReconciler::reconcile_attempt(StagedRecords& staged,
                                                                const OpenAttempt& open,
                                                                const MachineState& state) {
    const core::Attempt& attempt = open.attempt;
    const auto view =
        state.view == nullptr
            ? core::view_attempt(workers_.cluster_view(), open.job(), open.task, attempt)
            : core::view_attempt(*state.view, open.job(), open.task, attempt.number, attempt.incarnation);
    const bool ended = view.status == AttemptStatus::exited || view.status == AttemptStatus::lost;
    if (state.unresponsive && !ended &&
        leases_.is_expired(attempt.machine, attempt.incarnation, io::wall_now())) {
        spdlog::info("event=lease_expired job={} task={} machine={}", open.job(), open.task, attempt.machine);
        staged.close(open, TaskOutcome::unfinished);
        return Revisit::next_pass;
    }
    switch (view.status) {
        case AttemptStatus::exited:
            reconcile_exited(staged, open, view.cause);
            return Revisit::next_pass;
        case AttemptStatus::lost:
            staged.close(open, TaskOutcome::unfinished);
            return Revisit::next_pass;
        case AttemptStatus::unresponsive:
            return Revisit::next_pass;
        case AttemptStatus::unlisted:
            reconcile_unlisted(staged, open, state);
            return Revisit::next_pass;
        case AttemptStatus::live:
            break;
    }
    return reconcile_live(open, state, view.state);
}

void AttemptReconciler::reconcile_exited(StagedRecords& staged, const OpenAttempt& open, ExitCause cause) {
    failure_backoff_.record_exit(open, cause);
    // A service that exits has to be started again.
    const bool done = cause == ExitCause::done && open.entry.job.kind != core::JobKind::service;
    staged.close(open, done ? TaskOutcome::done : TaskOutcome::unfinished);
}

void AttemptReconciler::reconcile_unlisted(StagedRecords& staged, const OpenAttempt& open,
                                           const MachineState& state) {
    if (!open.entry.job.cancelled) {
        dispatcher_.repeat_start(open, state.monotonic_now);
        return;
    }
    // The task has not started, and no start command with a fencing token that the worker still accepts can
    // be under way.
    if (!dispatcher_.start_may_arrive(open) &&
        state.view->last_heartbeat.fencing_token >= replicated_.epoch().number) {
        staged.close(open, TaskOutcome::unfinished);
    } else {
        dispatcher_.stop_unlisted(open, state.monotonic_now);
    }
}

AttemptReconciler::Revisit AttemptReconciler::reconcile_live(const OpenAttempt& open,
                                                             const MachineState& state, TaskState task) {
    if (open.entry.job.cancelled) {
        dispatcher_.stop(open, kNoGrace, kStopResendInterval);
        return Revisit::next_pass;
    }
    if (task == TaskState::saving) return Revisit::next_pass;
    if (state.view->notice_until) {
        save_before_reclaim(open, *state.view->notice_until - state.monotonic_now, task);
    } else if (replicated_.draining().contains(open.attempt.machine)) {
        evict_gracefully(open, task);
    }
    return is_evacuating(*state.view, open.attempt.machine) ? Revisit::next_pass : Revisit::on_change;
}

void AttemptReconciler::save_before_reclaim(const OpenAttempt& open, Micros time_left, TaskState task) {
    const core::Job& job = open.entry.job;
    const Micros time_to_save = core::from_seconds(job.save_s + kNoticeMarginSeconds);
    if (can_save(job, task) && time_left < time_to_save)
        dispatcher_.stop(open, job.save_s + kSaveMarginSeconds, kSavingStopResendInterval);
    if (task == TaskState::fetching) dispatcher_.stop(open, kNoGrace, kStopResendInterval);
}

void AttemptReconciler::evict_gracefully(const OpenAttempt& open, TaskState task) {
    const core::Job& job = open.entry.job;
    if (can_save(job, task))
        dispatcher_.stop(open, job.save_s + kSaveMarginSeconds, kSavingStopResendInterval);
    if (job.kind == core::JobKind::service || task == TaskState::fetching)
        dispatcher_.stop(open, kNoGrace, kStopResendInterval);
}

}  // namespace hatchwind::controller
