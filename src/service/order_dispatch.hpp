// Orders to workers for the owner's attempts: starts once they are recorded, repeats, stops, and the reaping
// of attempts that have ended.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "service/node.hpp"
#include "service/open_attempt.hpp"
#include "service/workers.hpp"

namespace hatchwind::service {

constexpr io::Micros kResendStop{1'000'000};

class OrderDispatch {
  public:
    OrderDispatch(Node& node, Workers& workers) : node_(node), workers_(workers) {}

    // The start is recorded, so it may be sent.
    void start_recorded(const TaskAttempt& started);
    // The worker does not list it yet. A repeated start is harmless until a reap, and reaps follow the
    // committed end only.
    void repeat_start(const OpenAttempt& open, io::Micros now);
    // Not sent again before `interval` has passed.
    void stop(const OpenAttempt& open, double grace_s, io::Micros interval);
    // Ends an attempt that the worker does not list, and a start of it that is under way.
    void stop_unlisted(const OpenAttempt& open, io::Micros now);
    // To make free capacity for another task.
    void preempt(const core::Stop& stop);
    bool start_pending(const OpenAttempt& open) const;

    // Its end is recorded: it is reaped when nothing of it can arrive any more.
    void end_recorded(TaskAttempt closed) { to_reap_.push_back(std::move(closed)); }
    void reap();
    // Now and then: ends what is listed without an open record. True when it was time for that.
    bool sweep();
    void start_epoch() { sent_.clear(); }

  private:
    // What was last sent for a task's attempt; steady.
    struct SentOrders {
        std::uint64_t attempt = 0;
        io::Micros last_start{0};
        io::Micros last_stop{0};
    };
    struct ListedAttempt {
        std::string machine;
        std::string job;
        std::uint32_t task = 0;
        std::uint64_t attempt = 0;
        friend auto operator<=>(const ListedAttempt&, const ListedAttempt&) = default;
    };
    using Strays = std::map<ListedAttempt, std::uint64_t>;  // to the epoch in which each was first seen

    SentOrders& sent(const OpenAttempt& open);
    void order(core::OrderKind kind, const OpenAttempt& open, double grace_s = 0);
    bool is_stray(const std::string& machine, const core::TaskReport& listed) const;
    void end_strays(const std::string& machine, const core::MachineView& view, io::Micros now, Strays& seen);
    void end_stray(const ListedAttempt& stray, const core::MachineView& view, core::TaskState state,
                   bool heard, Strays& seen);

    Node& node_;
    Workers& workers_;
    std::map<core::TaskRef, SentOrders> sent_;
    std::vector<TaskAttempt> to_reap_;
    Strays strays_;
    io::Micros last_sweep_{0};
};

}  // namespace hatchwind::service
