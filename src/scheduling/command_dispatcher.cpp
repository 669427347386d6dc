#include "scheduling/command_dispatcher.hpp"

namespace hatchwind::controller {

using core::CommandKind;
using io::Micros;
using io::steady_now;

namespace {
constexpr Micros kStartResendInterval{1'200'000};
}  // namespace

CommandDispatcher::SentCommands& CommandDispatcher::sent_commands(const OpenAttempt& open) {
    SentCommands& sent = sent_commands_[{open.job(), open.task}];
    if (sent.attempt != open.attempt.number) sent = SentCommands{open.attempt.number, Micros{0}, Micros{0}};
    return sent;
}

void CommandDispatcher::enqueue(CommandKind kind, const OpenAttempt& open, CommandReason reason,
                                double grace_s) {
    commands_.enqueue(open.attempt.machine, open.attempt.incarnation,
                      {kind, open.job(), open.task, open.attempt.number, grace_s}, reason);
}

bool CommandDispatcher::start_may_arrive(const OpenAttempt& open) const {
    return commands_.start_may_arrive(open.job(), open.task, open.attempt.number);
}

void CommandDispatcher::dispatch_start(const TaskAttempt& started) {
    sent_commands_[{started.job, started.task}] =
        SentCommands{started.attempt.number, steady_now(), Micros{0}};
    const core::Attempt& attempt = started.attempt;
    commands_.enqueue(attempt.machine, attempt.incarnation,
                      {CommandKind::start, started.job, started.task, attempt.number, kNoGrace},
                      CommandReason::recorded);
}

void CommandDispatcher::repeat_start(const OpenAttempt& open, Micros monotonic_now) {
    SentCommands& sent = sent_commands(open);
    if (monotonic_now - sent.last_start < kStartResendInterval) return;
    sent.last_start = monotonic_now;
    enqueue(CommandKind::start, open, CommandReason::unlisted);
}

void CommandDispatcher::stop(const OpenAttempt& open, double grace_s, Micros resend_interval) {
    SentCommands& sent = sent_commands(open);
    const Micros now = steady_now();
    if (now - sent.last_stop < resend_interval) return;
    sent.last_stop = now;
    const auto reason = open.entry.job.cancelled ? CommandReason::cancelled : CommandReason::evacuated;
    enqueue(CommandKind::stop, open, reason, grace_s);
}

void CommandDispatcher::stop_unlisted(const OpenAttempt& open, Micros monotonic_now) {
    SentCommands& sent = sent_commands(open);
    if (monotonic_now - sent.last_stop < kStopResendInterval) return;
    sent.last_stop = monotonic_now;
    if (start_may_arrive(open)) renewal_.request(replicated_.epoch().number);
    // Makes the worker adopt the current fencing token.
    enqueue(CommandKind::stop, open, CommandReason::unlisted);
}

void CommandDispatcher::preempt(const core::Stop& stop) {
    commands_.enqueue(stop.attempt.machine, stop.attempt.incarnation,
                      {CommandKind::stop, stop.job, stop.task, stop.attempt.number, stop.grace_s},
                      CommandReason::preempted);
}

void CommandDispatcher::forget_closed_attempts() {
    std::erase_if(sent_commands_, [&](const auto& sent) {
        return replicated_.job_table().open_attempt(sent.first.job, sent.first.task) == nullptr;
    });
}

}  // namespace hatchwind::controller
