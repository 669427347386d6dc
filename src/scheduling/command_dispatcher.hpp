/// Commands to workers for the attempts of this controller's shard: starts once they are recorded, repeats,
/// stops, and the acknowledgement of exits once they are recorded. Owns what was last sent for which attempt.
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

/// How long a plain stop is given before it is sent again.
constexpr io::Micros kStopResendInterval{1'000'000};
/// Grace period of a stop that leaves no time to write a checkpoint, in seconds.
constexpr double kNoGrace = 0;

/// Reads replica and workers' status; changes the command queues. Commands of one machine leave in the order
/// in which they are dispatched.
class CommandDispatcher {
  public:
    CommandDispatcher(const ReplicatedState& replicated, const Leadership& leadership,
                      const WorkerStatus& workers, CommandSender& commands)
        : replicated_(replicated), leadership_(leadership), workers_(workers), commands_(commands) {}

    /// Sends the first start of an attempt. Its record must be committed.
    void dispatch_start(const TaskAttempt& started);
    /// For an attempt that its worker does not list yet. A repeated start is harmless until its exit is
    /// acknowledged, and acknowledgements follow the committed end only.
    void repeat_start(const OpenAttempt& open, io::Micros monotonic_now);
    /// Does nothing before `resend_interval` has passed since the last stop of the attempt.
    void stop(const OpenAttempt& open, double grace_s, io::Micros resend_interval);
    /// Ends an attempt that its worker does not list, and a start of it that is under way.
    void stop_unlisted(const OpenAttempt& open, io::Micros monotonic_now);
    /// Stops a task to make capacity free for another one.
    void preempt(const core::Stop& stop);
    /// True while a copy of the attempt's start may still arrive.
    bool start_pending(const OpenAttempt& open) const;

    /// The end of the attempt is committed: its exit is acknowledged when no copy of its start can arrive any
    /// more.
    void queue_exit_acknowledgement(TaskAttempt closed) {
        exits_to_acknowledge_.push_back(std::move(closed));
    }
    /// Sends the acknowledgements that are due.
    void acknowledge_exits();
    /// Every two seconds: ends what workers list without an open record. True when it was time for that.
    bool reconcile_orphans();
    /// Commands of earlier epochs are void.
    void start_epoch() { sent_commands_.clear(); }

  private:
    /// What was last sent for a task's attempt; monotonic clock.
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
    /// Attempts that are listed without an open record, to the number of the epoch in which each was first
    /// seen.
    using Orphans = std::map<ListedAttempt, std::uint64_t>;
    enum class HeartbeatAge : std::uint8_t { fresh, stale };

    SentCommands& sent_commands(const OpenAttempt& open);
    void enqueue(core::CommandKind kind, const OpenAttempt& open, double grace_s = kNoGrace);
    void enqueue(core::CommandKind kind, const TaskAttempt& recorded);
    void enqueue(core::CommandKind kind, const ListedAttempt& listed, std::uint64_t incarnation);
    bool is_orphan(const std::string& machine, const core::TaskStatus& listed) const;
    void reconcile_machine(const std::string& machine, const core::MachineView& view,
                           io::Micros monotonic_now, Orphans& found);
    /// Acknowledges its exit, or stops it.
    void reconcile_orphan(const ListedAttempt& orphan, const core::MachineView& view, core::TaskState state,
                          HeartbeatAge age, Orphans& found);

    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    const WorkerStatus& workers_;
    CommandSender& commands_;
    std::map<core::TaskRef, SentCommands> sent_commands_;
    std::vector<TaskAttempt> exits_to_acknowledge_;
    Orphans orphans_;                  // as the last check found them
    io::Micros last_orphan_check_{0};  // monotonic clock
};

}  // namespace hatchwind::controller
