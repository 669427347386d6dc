#include "scheduling/command_dispatcher.hpp"

#include <spdlog/spdlog.h>

namespace hatchwind::controller {

using core::AttemptStatus;
using core::CommandKind;
using core::TaskState;
using io::Micros;
using io::steady_now;

namespace {
constexpr Micros kResendStart{1'200'000};
constexpr Micros kOrphanCheckInterval{2'000'000};
}  // namespace

CommandDispatcher::SentCommands& CommandDispatcher::sent(const OpenAttempt& open) {
    SentCommands& commands = sent_[{open.job(), open.task}];
    if (commands.attempt != open.attempt.number)
        commands = SentCommands{open.attempt.number, Micros{0}, Micros{0}};
    return commands;
}

void CommandDispatcher::order(CommandKind kind, const OpenAttempt& open, double grace_s) {
    commands_.enqueue(open.attempt.machine, open.attempt.incarnation,
                      {kind, open.job(), open.task, open.attempt.number, grace_s});
}

bool CommandDispatcher::start_pending(const OpenAttempt& open) const {
    return commands_.start_pending(open.job(), open.task, open.attempt.number);
}

void CommandDispatcher::start_recorded(const TaskAttempt& started) {
    const core::Attempt& attempt = started.attempt;
    sent_[{started.job, started.task}] = SentCommands{attempt.number, steady_now(), Micros{0}};
    commands_.enqueue(attempt.machine, attempt.incarnation,
                      {CommandKind::start, started.job, started.task, attempt.number, 0});
}

void CommandDispatcher::repeat_start(const OpenAttempt& open, Micros now) {
    SentCommands& commands = sent(open);
    if (now - commands.last_start < kResendStart) return;
    commands.last_start = now;
    order(CommandKind::start, open);
}

void CommandDispatcher::stop(const OpenAttempt& open, double grace_s, Micros interval) {
    SentCommands& commands = sent(open);
    const Micros now = steady_now();
    if (now - commands.last_stop < interval) return;
    commands.last_stop = now;
    order(CommandKind::stop, open, grace_s);
}

void CommandDispatcher::stop_unlisted(const OpenAttempt& open, Micros now) {
    SentCommands& commands = sent(open);
    if (now - commands.last_stop < kResendStop) return;
    // Brings the worker to this fencing token, and ends a start that is under way as soon as it arrives: the
    // same start first, so that the stop has something to end.
    commands.last_stop = now;
    if (start_pending(open)) order(CommandKind::start, open);
    order(CommandKind::stop, open);
}

void CommandDispatcher::preempt(const core::Stop& stop) {
    commands_.enqueue(stop.attempt.machine, stop.attempt.incarnation,
                      {CommandKind::stop, stop.job, stop.task, stop.attempt.number, stop.grace_s});
}

// The end is committed. The exited attempt leaves the worker's list once no copy of its start can arrive.
void CommandDispatcher::acknowledge_exits() {
    std::erase_if(exits_to_acknowledge_, [&](const TaskAttempt& closed) {
        const core::Attempt& attempt = closed.attempt;
        if (commands_.start_pending(closed.job, closed.task, attempt.number)) return false;
        const auto view = core::view_attempt(workers_.cluster_view(), closed.job, closed.task, attempt);
        if (view.status == AttemptStatus::exited) {
            commands_.enqueue(attempt.machine, attempt.incarnation,
                              {CommandKind::acknowledge_exit, closed.job, closed.task, attempt.number, 0});
        }
        return true;
    });
}

// Leftovers of earlier epochs. What is listed without an open record was closed by an earlier owner; its
// starts carried a lower fencing token, so once the worker has ours none of them can still take effect.
bool CommandDispatcher::reconcile_orphans() {
    const Micros now = steady_now();
    if (now - last_orphan_check_ < kOrphanCheckInterval) return false;
    last_orphan_check_ = now;
    OrphanTasks seen;
    for (const auto& [machine, view] : workers_.cluster_view().machines()) {
        if (view.last_heartbeat.fencing_token >= replicated_.epoch().number)
            stop_orphans(machine, view, now, seen);
    }
    orphans_ = std::move(seen);
    std::erase_if(sent_, [&](const auto& sent) {
        return replicated_.job_table().open_attempt(sent.first.job, sent.first.task) == nullptr;
    });
    return true;
}

bool CommandDispatcher::is_orphan(const std::string& machine, const core::TaskStatus& listed) const {
    const core::JobEntry* entry = replicated_.job_table().find(listed.job);
    const bool ours =
        entry != nullptr ? leadership_.owns_shard(entry->job.team) : leadership_.is_cluster_leader();
    if (!ours) return false;
    const core::Attempt* open = replicated_.job_table().open_attempt(listed.job, listed.task);
    if (open != nullptr && open->number == listed.attempt && open->machine == machine) return false;
    return !commands_.start_pending(listed.job, listed.task, listed.attempt);
}

void CommandDispatcher::stop_orphans(const std::string& machine, const core::MachineView& view, Micros now,
                                     OrphanTasks& seen) {
    // A silent machine's last report may list what its lease has ended since.
    const bool heard = now - view.last_heartbeat_at < workers_.stale_heartbeat_threshold();
    for (const auto& listed : view.last_heartbeat.tasks) {
        if (!is_orphan(machine, listed)) continue;
        stop_orphan({machine, listed.job, listed.task, listed.attempt}, view, listed.state, heard, seen);
    }
}

void CommandDispatcher::stop_orphan(const ReportedAttempt& orphan, const core::MachineView& view,
                                    TaskState state, bool heard, OrphanTasks& seen) {
    const auto before = orphans_.find(orphan);
    // Nobody else has sent starts of this node's tasks under this epoch, and those of earlier ones are void.
    // Of a job that is over the shard shard owner's may be under way: only when first seen before this epoch.
    const std::uint64_t first = before == orphans_.end() ? replicated_.epoch().number : before->second;
    seen[orphan] = first;
    if (state == TaskState::exited) {
        const bool own = replicated_.job_table().find(orphan.job) != nullptr;
        if (!own && first >= replicated_.epoch().number) return;
        commands_.enqueue(orphan.machine, view.last_heartbeat.incarnation,
                          {CommandKind::acknowledge_exit, orphan.job, orphan.task, orphan.attempt, 0});
    } else if (before != orphans_.end() && heard) {
        spdlog::warn("event=orphan_task_stopped job={} task={} attempt={} machine={}", orphan.job,
                     orphan.task, orphan.attempt, orphan.machine);
        commands_.enqueue(orphan.machine, view.last_heartbeat.incarnation,
                          {CommandKind::stop, orphan.job, orphan.task, orphan.attempt, 0});
    }
}

}  // namespace hatchwind::controller
