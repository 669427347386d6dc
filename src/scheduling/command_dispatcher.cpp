#include "scheduling/command_dispatcher.hpp"

#include <spdlog/spdlog.h>

namespace hatchwind::controller {

using core::AttemptStatus;
using core::CommandKind;
using core::TaskState;
using io::Micros;
using io::steady_now;

namespace {
constexpr Micros kStartResendInterval{1'200'000};
constexpr Micros kOrphanCheckInterval{2'000'000};
}  // namespace

CommandDispatcher::SentCommands& CommandDispatcher::sent_commands(const OpenAttempt& open) {
    SentCommands& sent = sent_commands_[{open.job(), open.task}];
    if (sent.attempt != open.attempt.number) sent = SentCommands{open.attempt.number, Micros{0}, Micros{0}};
    return sent;
}

void CommandDispatcher::enqueue(CommandKind kind, const OpenAttempt& open, double grace_s) {
    commands_.enqueue(open.attempt.machine, open.attempt.incarnation,
                      {kind, open.job(), open.task, open.attempt.number, grace_s});
}

void CommandDispatcher::enqueue(CommandKind kind, const TaskAttempt& recorded) {
    const core::Attempt& attempt = recorded.attempt;
    commands_.enqueue(attempt.machine, attempt.incarnation,
                      {kind, recorded.job, recorded.task, attempt.number, kNoGrace});
}

void CommandDispatcher::enqueue(CommandKind kind, const ListedAttempt& listed, std::uint64_t incarnation) {
    commands_.enqueue(listed.machine, incarnation, {kind, listed.job, listed.task, listed.attempt, kNoGrace});
}

bool CommandDispatcher::start_pending(const OpenAttempt& open) const {
    return commands_.start_pending(open.job(), open.task, open.attempt.number);
}

void CommandDispatcher::dispatch_start(const TaskAttempt& started) {
    sent_commands_[{started.job, started.task}] =
        SentCommands{started.attempt.number, steady_now(), Micros{0}};
    enqueue(CommandKind::start, started);
}

void CommandDispatcher::repeat_start(const OpenAttempt& open, Micros monotonic_now) {
    SentCommands& sent = sent_commands(open);
    if (monotonic_now - sent.last_start < kStartResendInterval) return;
    sent.last_start = monotonic_now;
    enqueue(CommandKind::start, open);
}

void CommandDispatcher::stop(const OpenAttempt& open, double grace_s, Micros resend_interval) {
    SentCommands& sent = sent_commands(open);
    const Micros now = steady_now();
    if (now - sent.last_stop < resend_interval) return;
    sent.last_stop = now;
    enqueue(CommandKind::stop, open, grace_s);
}

void CommandDispatcher::stop_unlisted(const OpenAttempt& open, Micros monotonic_now) {
    SentCommands& sent = sent_commands(open);
    if (monotonic_now - sent.last_stop < kStopResendInterval) return;
    sent.last_stop = monotonic_now;
    // The stop makes the worker adopt the current fencing token. If a start command is under way, the same
    // start is sent first, so that the stop ends the attempt no matter when that command arrives.
    if (start_pending(open)) enqueue(CommandKind::start, open);
    enqueue(CommandKind::stop, open);
}

void CommandDispatcher::preempt(const core::Stop& stop) {
    commands_.enqueue(stop.attempt.machine, stop.attempt.incarnation,
                      {CommandKind::stop, stop.job, stop.task, stop.attempt.number, stop.grace_s});
}

void CommandDispatcher::acknowledge_exits() {
    std::erase_if(exits_to_acknowledge_, [&](const TaskAttempt& closed) {
        if (commands_.start_pending(closed.job, closed.task, closed.attempt.number)) return false;
        const auto view =
            core::view_attempt(workers_.cluster_view(), closed.job, closed.task, closed.attempt);
        if (view.status == AttemptStatus::exited) enqueue(CommandKind::acknowledge_exit, closed);
        return true;
    });
}

// An attempt that is listed without an open record was closed by the shard owner of an earlier epoch. Its
// start commands carry a lower fencing token, so none of them can take effect once the worker has the current
// one.
bool CommandDispatcher::reconcile_orphans() {
    const Micros now = steady_now();
    if (now - last_orphan_check_ < kOrphanCheckInterval) return false;
    last_orphan_check_ = now;
    Orphans found;
    for (const auto& [machine, view] : workers_.cluster_view().machines()) {
        if (view.last_heartbeat.fencing_token >= replicated_.epoch().number)
            reconcile_machine(machine, view, now, found);
    }
    orphans_ = std::move(found);
    std::erase_if(sent_commands_, [&](const auto& sent) {
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

void CommandDispatcher::reconcile_machine(const std::string& machine, const core::MachineView& view,
                                          Micros monotonic_now, Orphans& found) {
    const bool is_fresh = monotonic_now - view.last_heartbeat_at < workers_.stale_heartbeat_threshold();
    const HeartbeatAge age = is_fresh ? HeartbeatAge::fresh : HeartbeatAge::stale;
    for (const auto& listed : view.last_heartbeat.tasks) {
        if (!is_orphan(machine, listed)) continue;
        reconcile_orphan({machine, listed.job, listed.task, listed.attempt}, view, listed.state, age, found);
    }
}

void CommandDispatcher::reconcile_orphan(const ListedAttempt& orphan, const core::MachineView& view,
                                         TaskState state, HeartbeatAge age, Orphans& found) {
    const std::uint64_t epoch = replicated_.epoch().number;
    const auto known = orphans_.find(orphan);
    const std::uint64_t first_seen_epoch = known == orphans_.end() ? epoch : known->second;
    found[orphan] = first_seen_epoch;
    if (state == TaskState::exited) {
        // Only this controller sends start commands for this shard's tasks in this epoch, and those of
        // earlier epochs are void. The shard of a finished job is unknown here: its shard owner may have sent
        // start commands in this epoch, so the exit is acknowledged only if it was first seen in an earlier
        // one.
        const bool job_is_over = replicated_.job_table().find(orphan.job) == nullptr;
        if (job_is_over && first_seen_epoch >= epoch) return;
        enqueue(CommandKind::acknowledge_exit, orphan, view.last_heartbeat.incarnation);
        return;
    }
    // The last heartbeat of an unresponsive machine may list tasks that have since ended with its lease.
    if (known == orphans_.end() || age == HeartbeatAge::stale) return;
    spdlog::warn("event=orphan_task_stopped job={} task={} attempt={} machine={}", orphan.job, orphan.task,
                 orphan.attempt, orphan.machine);
    enqueue(CommandKind::stop, orphan, view.last_heartbeat.incarnation);
}

}  // namespace hatchwind::controller
