#include "scheduling/attempt_reconciler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace hatchwind::controller {

using core::AttemptStatus;
using core::ExitCause;
using core::TaskState;
using io::Micros;
using io::steady_now;

namespace {
constexpr double kLeastQuietSeconds = 3.0;
constexpr double kQuietReports = 1.5;
// A stop that lets the task save is under way for longer than a plain one.
constexpr Micros kResendSavingStop = kResendStop * 5;
constexpr double kSaveMarginSeconds = 1.0;
constexpr double kNoticeMarginSeconds = 3.0;

bool saves_as_it_goes(const core::Job& job, TaskState task) {
    return job.checkpoint_s > 0 && task == TaskState::running;
}

// How one chunk of a job changes by what is staged.
struct ChunkChange {
    std::uint32_t newly_done = 0;
    std::uint32_t newly_closed = 0;
};

ChunkChange change_of(const core::JobEntry& entry, std::uint32_t index, const core::Chunk& staged) {
    const auto known = entry.chunks.find(index);
    const bool fresh = known == entry.chunks.end();
    const std::uint32_t done_before = fresh ? 0 : known->second.done.size();
    const std::size_t open_before = fresh ? 0 : known->second.open.size();
    return {staged.done.size() - done_before, static_cast<std::uint32_t>(open_before - staged.open.size())};
}
}  // namespace

void AttemptReconciler::reconcile(StagedRecords& staged) {
    // A node without a team has nobody's tasks to look after.
    if (!owns_a_team()) return;
    reconcile_machines(staged);
    reconcile_cancelled(staged);
    find_finished(staged);
}

bool AttemptReconciler::owns_a_team() const {
    return std::any_of(replicated_.epoch().shard_owners.begin(), replicated_.epoch().shard_owners.end(),
                       [&](const auto& owner) { return owner.second == leadership_.label(); });
}

AttemptReconciler::MachineState AttemptReconciler::look_at(const core::MachineView* view, Micros now) const {
    // Whatever its last report said of its tasks: when many machines fall silent at once nobody releases
    // them, and what ran on them has ended with their leases. One that reports has a lease.
    const double quiet_s = std::max(kLeastQuietSeconds, settings_.report_s * kQuietReports);
    const bool quiet = view == nullptr || now - view->last_heartbeat_at > core::from_seconds(quiet_s);
    return {view, quiet, now};
}

bool AttemptReconciler::leaving(const core::MachineView& view, const std::string& machine) const {
    return view.notice_until || replicated_.draining().contains(machine);
}

bool AttemptReconciler::still_unchanged(const ReconciledMachine* before, const ReconciledMachine& now,
                                        const MachineState& state) const {
    if (before == nullptr || !before->unchanged) return false;
    const bool unchanged = before->incarnation == now.incarnation &&
                           before->content_sequence == now.content_sequence && before->version == now.version;
    return unchanged && !state.quiet && !leaving(*state.view, now.machine);
}

void AttemptReconciler::reconcile_machines(StagedRecords& staged) {
    const Micros time = steady_now();
    const auto& recorded_machines = replicated_.job_table().by_machine();
    spare_reconciled_.clear();
    spare_reconciled_.reserve(recorded_machines.size());
    auto view = workers_.cluster_view().machines().begin();
    const auto views_end = workers_.cluster_view().machines().end();
    auto old = reconciled_.cbegin();
    // ClusterView, job table and the last pass are in the order of the machines' names.
    for (const auto& [id, recorded] : recorded_machines) {
        while (view != views_end && view->first < id) ++view;
        while (old != reconciled_.cend() && old->machine < id) ++old;
        const bool known = view != views_end && view->first == id;
        const MachineState state = look_at(known ? &view->second : nullptr, time);
        ReconciledMachine now{id, 0, 0, recorded.version, false};
        if (known) {
            now.incarnation = view->second.last_heartbeat.incarnation;
            now.content_sequence = view->second.content_sequence;
            const bool settled_before = old != reconciled_.cend() && old->machine == id;
            now.unchanged = still_unchanged(settled_before ? &*old : nullptr, now, state);
        }
        if (!now.unchanged) now.unchanged = reconcile_machine(staged, id, recorded.tasks, state) && known;
        spare_reconciled_.push_back(std::move(now));
    }
    std::swap(reconciled_, spare_reconciled_);
}

bool AttemptReconciler::reconcile_machine(StagedRecords& staged, const std::string& machine,
                                          const core::RecordedAttempts& tasks, const MachineState& state) {
    bool unchanged = true;
    const core::JobEntry* last = nullptr;
    bool ours = false;
    for (const auto& [task, held] : tasks) {
        // One machine's tasks are in the order of their jobs.
        if (held.entry != last) {
            last = held.entry;
            ours = leadership_.owns_shard(last->job.team) && !last->job.cancelled;
        }
        if (!ours) continue;
        const core::Attempt attempt{held.number, machine, held.incarnation};
        if (!settle_attempt(staged, {*last, task.task, attempt}, state)) unchanged = false;
    }
    return unchanged;
}

void AttemptReconciler::reconcile_cancelled(StagedRecords& staged) {
    for (const auto& [id, entry] : replicated_.job_table().jobs()) {
        if (!entry.job.cancelled || entry.open == 0 || !leadership_.owns_shard(entry.job.team)) continue;
        for (const auto& [index, chunk] : entry.chunks) {
            for (const auto& [task, attempt] : chunk.open) {
                const MachineState state =
                    look_at(workers_.cluster_view().find(attempt.machine), steady_now());
                settle_attempt(staged, {entry, task, attempt}, state);
            }
        }
    }
}

void AttemptReconciler::find_finished(StagedRecords& staged) const {
    for (const auto& [id, entry] : replicated_.job_table().jobs()) {
        if (!leadership_.owns_shard(entry.job.team)) continue;
        std::uint32_t done = entry.done;
        std::uint32_t open = entry.open;
        auto record = staged.chunks.lower_bound({id, 0});
        for (; record != staged.chunks.end() && record->first.job == id; ++record) {
            const ChunkChange change = change_of(entry, record->first.number, record->second.chunk);
            done += change.newly_done;
            open -= change.newly_closed;
        }
        if (done == entry.job.tasks || (entry.job.cancelled && open == 0)) staged.finished.push_back(id);
    }
}

bool AttemptReconciler::settle_attempt(StagedRecords& staged, const OpenAttempt& open,
                                       const MachineState& state) {
    const core::Attempt& attempt = open.attempt;
    const auto view =
        state.view == nullptr
            ? core::view_attempt(workers_.cluster_view(), open.job(), open.task, attempt)
            : core::view_attempt(*state.view, open.job(), open.task, attempt.number, attempt.incarnation);
    const bool ended = view.status == AttemptStatus::exited || view.status == AttemptStatus::gone;
    if (state.quiet && !ended && leases_.is_expired(attempt.machine, attempt.incarnation, io::wall_now())) {
        spdlog::info("event=lease_expired job={} task={} machine={}", open.job(), open.task, attempt.machine);
        staged.close(open, false);
        return false;
    }
    switch (view.status) {
        case AttemptStatus::exited:
            settle_exited(staged, open, view.cause);
            return false;
        case AttemptStatus::gone:
            staged.close(open, false);
            return false;
        case AttemptStatus::silent:
            return false;
        case AttemptStatus::unlisted:
            settle_unlisted(staged, open, state);
            return false;
        case AttemptStatus::live:
            break;
    }
    return settle_live(open, state, view.state);
}

void AttemptReconciler::settle_exited(StagedRecords& staged, const OpenAttempt& open, ExitCause cause) {
    failure_backoff_.record_exit(open, cause);
    // A service is never done.
    staged.close(open, cause == ExitCause::done && open.entry.job.kind != core::JobKind::service);
}

void AttemptReconciler::settle_unlisted(StagedRecords& staged, const OpenAttempt& open,
                                        const MachineState& state) {
    if (!open.entry.job.cancelled) {
        dispatch_.repeat_start(open, state.now);
        return;
    }
    // Not started, and nothing of it under way under any fencing token that the worker still takes.
    if (!dispatch_.start_pending(open) &&
        state.view->last_heartbeat.fencing_token >= replicated_.epoch().number) {
        staged.close(open, false);
    } else {
        dispatch_.stop_unlisted(open, state.now);
    }
}

bool AttemptReconciler::settle_live(const OpenAttempt& open, const MachineState& state, TaskState task) {
    if (open.entry.job.cancelled) {
        dispatch_.stop(open, 0, kResendStop);
        return false;
    }
    if (task == TaskState::saving) return false;
    if (state.view->notice_until) {
        save_before_notice(open, *state.view->notice_until - state.now, task);
    } else if (replicated_.draining().contains(open.attempt.machine)) {
        move_off(open, task);
    }
    return !leaving(*state.view, open.attempt.machine);
}

// The cloud takes the machine: save at the last moment that surely suffices; what cannot save runs on.
void AttemptReconciler::save_before_notice(const OpenAttempt& open, Micros time_left, TaskState task) {
    const core::Job& job = open.entry.job;
    const Micros resources = core::from_seconds(job.save_s + kNoticeMarginSeconds);
    if (saves_as_it_goes(job, task) && time_left < resources)
        dispatch_.stop(open, job.save_s + kSaveMarginSeconds, kResendSavingStop);
    if (task == TaskState::fetching) dispatch_.stop(open, 0, kResendStop);
}

// Draining: what saves is moved, services are moved, plain tasks may finish what they have done.
void AttemptReconciler::move_off(const OpenAttempt& open, TaskState task) {
    const core::Job& job = open.entry.job;
    if (saves_as_it_goes(job, task)) dispatch_.stop(open, job.save_s + kSaveMarginSeconds, kResendSavingStop);
    if (job.kind == core::JobKind::service || task == TaskState::fetching)
        dispatch_.stop(open, 0, kResendStop);
}

}  // namespace hatchwind::controller
