/// Sends commands to workers for the attempts of this controller's shard: starts after they are recorded,
/// resent starts, and stops. Tracks the last commands sent for each attempt.
#pragma once

#include <map>

#include "cluster/epoch_renewal.hpp"
#include "core/placement.hpp"
#include "scheduling/open_attempt.hpp"
#include "store/replicated_state.hpp"
#include "workers/command_sender.hpp"

namespace hatchwind::controller {

/// Interval at which a stop command without a grace period is resent.
constexpr io::Micros kStopResendInterval{1'000'000};
/// Grace period of a stop that leaves no time to write a checkpoint, in seconds.
constexpr double kNoGrace = 0;

/// Reads the replica; appends to the command queues. Commands to one machine are sent in the order in which
/// they are dispatched.
class CommandDispatcher {
  public:
    CommandDispatcher(const ReplicatedState& replicated, CommandSender& commands, EpochRenewal& renewal)
        : replicated_(replicated), commands_(commands), renewal_(renewal) {}

    /// Sends the first start command of an attempt. The attempt's record must be committed.
    void dispatch_start(const TaskAttempt& started);
    /// Resends the start command of an attempt that its worker does not list yet, unless it was sent
    /// recently. A duplicate start has no effect until the attempt's exit is acknowledged; see
    /// ExitAcknowledger.
    void repeat_start(const OpenAttempt& open, io::Micros monotonic_now);
    /// Sends a stop command with a grace period of `grace_s` seconds. Does nothing until `resend_interval`
    /// has passed since the attempt's last stop command.
    void stop(const OpenAttempt& open, double grace_s, io::Micros resend_interval);
    /// Sends a stop command for an attempt that its worker does not list. If a start command may still
    /// arrive, also requests a new epoch, under which the worker refuses that start.
    void stop_unlisted(const OpenAttempt& open, io::Micros monotonic_now);
    /// Sends the stop command of a preemption, which frees capacity for another task.
    void preempt(const core::Stop& stop);
    /// Returns true while a copy of the attempt's start command may still arrive.
    bool start_may_arrive(const OpenAttempt& open) const;

    /// Discards the commands tracked for tasks that have no open attempt any more.
    void forget_closed_attempts();
    /// Discards the commands tracked in earlier epochs, which workers no longer accept.
    void start_epoch() { sent_commands_.clear(); }

  private:
    /// When the last commands for a task's attempt were sent; monotonic clock.
    struct SentCommands {
        std::uint64_t attempt = 0;
        io::Micros last_start{0};
        io::Micros last_stop{0};
    };

    SentCommands& sent_commands(const OpenAttempt& open);
    void enqueue(core::CommandKind kind, const OpenAttempt& open, CommandReason reason,
                 double grace_s = kNoGrace);

    const ReplicatedState& replicated_;
    CommandSender& commands_;
    EpochRenewal& renewal_;
    std::map<core::TaskRef, SentCommands> sent_commands_;
};

}  // namespace hatchwind::controller
