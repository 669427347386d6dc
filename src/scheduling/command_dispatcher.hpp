// Orders to workers for the shard shard owner's attempts: starts once they are recorded, repeats, stops, and
// the reaping of attempts that have ended.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cluster/leadership.hpp"
#include "core/placement.hpp"
#include "scheduling/open_attempt.hpp"
#include "store/replicated_state.hpp"
#include "workers/command_sender.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

constexpr io::Micros kResendStop{1'000'000};

class CommandDispatcher {
  public:
    CommandDispatcher(const ReplicatedState& replicated, const Leadership& leadership,
                      const WorkerStatus& workers, CommandSender& commands)
        : replicated_(replicated), leadership_(leadership), workers_(workers), commands_(commands) {}

    // The start is recorded, so it may be sent.
    void start_recorded(const TaskAttempt& started);
    // The worker does not list it yet. A repeated start is harmless until the acknowledgement of its exit,
    // and acknowledgements follow the committed end only.
    void repeat_start(const OpenAttempt& open, io::Micros now);
    // Not sent again before `interval` has passed.
    void stop(const OpenAttempt& open, double grace_s, io::Micros interval);
    // Ends an attempt that the worker does not list, and a start of it that is under way.
    void stop_unlisted(const OpenAttempt& open, io::Micros now);
    // To make free capacity for another task.
    void preempt(const core::Stop& stop);
    bool start_pending(const OpenAttempt& open) const;

    // Its end is recorded: it is acknowledged when nothing of it can arrive any more.
    void end_recorded(TaskAttempt closed) { exits_to_acknowledge_.push_back(std::move(closed)); }
    void acknowledge_exits();
    // Now and then: ends what is listed without an open record. True when it was time for that.
    bool reconcile_orphans();
    void start_epoch() { sent_.clear(); }

  private:
    // What was last sent for a task's attempt; steady.
    struct SentCommands {
        std::uint64_t attempt = 0;
        io::Micros last_start{0};
        io::Micros last_stop{0};
    };
    struct ReportedAttempt {
        std::string machine;
        std::string job;
        std::uint32_t task = 0;
        std::uint64_t attempt = 0;
        friend auto operator<=>(const ReportedAttempt&, const ReportedAttempt&) = default;
    };
    using OrphanTasks =
        std::map<ReportedAttempt, std::uint64_t>;  // to the epoch in which each was first seen

    SentCommands& sent(const OpenAttempt& open);
    void order(core::CommandKind kind, const OpenAttempt& open, double grace_s = 0);
    bool is_orphan(const std::string& machine, const core::TaskStatus& listed) const;
    void stop_orphans(const std::string& machine, const core::MachineView& view, io::Micros now,
                      OrphanTasks& seen);
    void stop_orphan(const ReportedAttempt& orphan, const core::MachineView& view, core::TaskState state,
                     bool heard, OrphanTasks& seen);

    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    const WorkerStatus& workers_;
    CommandSender& commands_;
    std::map<core::TaskRef, SentCommands> sent_;
    std::vector<TaskAttempt> exits_to_acknowledge_;
    OrphanTasks orphans_;
    io::Micros last_orphan_check_{0};
};

}  // namespace hatchwind::controller
