/// Sends commands to workers for the attempts of this controller's shard: starts after they are recorded,
/// resent starts, stops, and acknowledgements of exits after those are recorded. Tracks the last commands
/// sent for each attempt.
#pragma once

#include <compare>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cluster/leadership.hpp"
#include "core/placement.hpp"
#include "scheduling/open_attempt.hpp"
#include "store/replicated_state.hpp"
#include "workers/command_sender.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

/// Interval at which a stop command without a grace period is resent.
constexpr io::Micros kStopResendInterval{1'000'000};
/// Grace period of a stop that leaves no time to write a checkpoint, in seconds.
constexpr double kNoGrace = 0;

/// Reads the replica and the workers' status; appends to the command queues. Commands to one machine are sent
/// in the order in which they are dispatched.
class CommandDispatcher {
  public:
    CommandDispatcher(const ReplicatedState& replicated, const Leadership& leadership,
                      const WorkerStatus& workers, CommandSender& commands)
        : replicated_(replicated), leadership_(leadership), workers_(workers), commands_(commands) {}

    /// Sends the first start command of an attempt. The attempt's record must be committed.
    void dispatch_start(const TaskAttempt& started);
    /// Resends the start command of an attempt that its worker does not list yet, unless it was sent
    /// recently. A duplicate start has no effect until the attempt's exit is acknowledged, and an exit is
    /// acknowledged only after the attempt's end is committed.
    void repeat_start(const OpenAttempt& open, io::Micros monotonic_now);
    /// Sends a stop command with a grace period of `grace_s` seconds. Does nothing until `resend_interval`
    /// has passed since the attempt's last stop command.
    void stop(const OpenAttempt& open, double grace_s, io::Micros resend_interval);
    /// Sends a stop command for an attempt that its worker does not list; it also ends an attempt whose start
    /// command is under way.
    void stop_unlisted(const OpenAttempt& open, io::Micros monotonic_now);
    /// Sends the stop command of a preemption, which frees capacity for another task.
    void preempt(const core::Stop& stop);
    /// Returns true while a copy of the attempt's start command may still arrive.
    bool start_pending(const OpenAttempt& open) const;

    /// Queues the acknowledgement of the exit of an attempt whose end is committed. It is sent once no copy
    /// of the attempt's start command can arrive.
    void queue_exit_acknowledgement(TaskAttempt closed) {
        exits_to_acknowledge_.push_back(std::move(closed));
    }
    /// Sends the acknowledgements that are due.
    void acknowledge_exits();
    /// Stops, or acknowledges the exit of, attempts that workers list without an open record. Runs every two
    /// seconds; returns false if the last run was more recent than that.
    bool reconcile_orphans();
    /// Discards the commands tracked in earlier epochs, which workers no longer accept.
    void start_epoch() { sent_commands_.clear(); }

  private:
    /// When the last commands for a task's attempt were sent; monotonic clock.
    struct SentCommands {
        std::uint64_t attempt = 0;
        io::Micros last_start{0};
        io::Micros last_stop{0};
    };
    /// An attempt as a worker lists it.
    struct ListedAttempt {
        std::string machine;
        std::string job;
        std::uint32_t task = 0;
        std::uint64_t attempt = 0;
        friend auto operator<=>(const ListedAttempt&, const ListedAttempt&) = default;
    };
    /// Maps each attempt that is listed without an open record to the number of the epoch in which it was
    /// first seen.
    using Orphans = std::map<ListedAttempt, std::uint64_t>;
    enum class HeartbeatAge : std::uint8_t { fresh, stale };

    SentCommands& sent_commands(const OpenAttempt& open);
    void enqueue(core::CommandKind kind, const OpenAttempt& open, double grace_s = kNoGrace);
    void enqueue(core::CommandKind kind, const TaskAttempt& recorded);
    void enqueue(core::CommandKind kind, const ListedAttempt& listed, std::uint64_t incarnation);
    bool is_orphan(const std::string& machine, const core::TaskStatus& listed) const;
    void reconcile_machine(const std::string& machine, const core::MachineView& view,
                           io::Micros monotonic_now, Orphans& found);
    /// Acknowledges the orphan's exit, or stops the orphan if it is still running.
    void reconcile_orphan(const ListedAttempt& orphan, const core::MachineView& view, core::TaskState state,
                          HeartbeatAge age, Orphans& found);

    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    const WorkerStatus& workers_;
    CommandSender& commands_;
    std::map<core::TaskRef, SentCommands> sent_commands_;
    std::vector<TaskAttempt> exits_to_acknowledge_;
    Orphans orphans_;                  // found by the last check
    io::Micros last_orphan_check_{0};  // monotonic clock
};

}  // namespace hatchwind::controller
