#include "service/order_dispatch.hpp"

#include <spdlog/spdlog.h>

namespace hatchwind::service {

using core::Fate;
using core::OrderKind;
using core::TaskState;
using io::Micros;
using io::steady_now;

namespace {
constexpr Micros kResendStart{1'200'000};
constexpr Micros kSweepInterval{2'000'000};
}  // namespace

OrderDispatch::SentOrders& OrderDispatch::sent(const OpenAttempt& open) {
    SentOrders& orders = sent_[{open.job(), open.task}];
    if (orders.attempt != open.attempt.number) orders = SentOrders{open.attempt.number, Micros{0}, Micros{0}};
    return orders;
}

void OrderDispatch::order(OrderKind kind, const OpenAttempt& open, double grace_s) {
    workers_.order(open.attempt.machine, open.attempt.session,
                   {kind, open.job(), open.task, open.attempt.number, grace_s});
}

bool OrderDispatch::start_pending(const OpenAttempt& open) const {
    return workers_.start_pending(open.job(), open.task, open.attempt.number);
}

void OrderDispatch::start_recorded(const TaskAttempt& started) {
    const core::Attempt& attempt = started.attempt;
    sent_[{started.job, started.task}] = SentOrders{attempt.number, steady_now(), Micros{0}};
    workers_.order(attempt.machine, attempt.session,
                   {OrderKind::start, started.job, started.task, attempt.number, 0});
}

void OrderDispatch::repeat_start(const OpenAttempt& open, Micros now) {
    SentOrders& orders = sent(open);
    if (now - orders.last_start < kResendStart) return;
    orders.last_start = now;
    order(OrderKind::start, open);
}

void OrderDispatch::stop(const OpenAttempt& open, double grace_s, Micros interval) {
    SentOrders& orders = sent(open);
    const Micros now = steady_now();
    if (now - orders.last_stop < interval) return;
    orders.last_stop = now;
    order(OrderKind::stop, open, grace_s);
}

void OrderDispatch::stop_unlisted(const OpenAttempt& open, Micros now) {
    SentOrders& orders = sent(open);
    if (now - orders.last_stop < kResendStop) return;
    // Brings the worker to this token, and ends a start that is under way as soon as it arrives: the same
    // start first, so that the stop has something to end.
    orders.last_stop = now;
    if (start_pending(open)) order(OrderKind::start, open);
    order(OrderKind::stop, open);
}

void OrderDispatch::preempt(const core::Stop& stop) {
    workers_.order(stop.attempt.machine, stop.attempt.session,
                   {OrderKind::stop, stop.job, stop.task, stop.attempt.number, stop.grace_s});
}

// The end is committed. The exited attempt leaves the worker's list once no copy of its start can arrive.
void OrderDispatch::reap() {
    std::erase_if(to_reap_, [&](const TaskAttempt& closed) {
        const core::Attempt& attempt = closed.attempt;
        if (workers_.start_pending(closed.job, closed.task, attempt.number)) return false;
        const auto view = core::view_attempt(node_.cluster_view, closed.job, closed.task, attempt);
        if (view.fate == Fate::exited) {
            workers_.order(attempt.machine, attempt.session,
                           {OrderKind::forget, closed.job, closed.task, attempt.number, 0});
        }
        return true;
    });
}

// Leftovers of earlier epochs. What is listed without an open record was closed by an earlier owner; its
// starts carried a lower token, so once the worker has ours none of them can still take effect.
bool OrderDispatch::sweep() {
    const Micros now = steady_now();
    if (now - last_sweep_ < kSweepInterval) return false;
    last_sweep_ = now;
    Strays seen;
    for (const auto& [machine, view] : node_.cluster_view.machines()) {
        if (view.last.token >= node_.epoch.number) end_strays(machine, view, now, seen);
    }
    strays_ = std::move(seen);
    std::erase_if(sent_, [&](const auto& sent) {
        return node_.ledger.open_attempt(sent.first.job, sent.first.task) == nullptr;
    });
    return true;
}

bool OrderDispatch::is_stray(const std::string& machine, const core::TaskReport& listed) const {
    const core::JobEntry* entry = node_.ledger.find(listed.job);
    const bool ours = entry != nullptr ? node_.owns(entry->job.team) : node_.leads();
    if (!ours) return false;
    const core::Attempt* open = node_.ledger.open_attempt(listed.job, listed.task);
    if (open != nullptr && open->number == listed.attempt && open->machine == machine) return false;
    return !workers_.start_pending(listed.job, listed.task, listed.attempt);
}

void OrderDispatch::end_strays(const std::string& machine, const core::MachineView& view, Micros now,
                               Strays& seen) {
    // A silent machine's last report may list what its lease has ended since.
    const bool heard = now - view.changed < node_.doubt_after();
    for (const auto& listed : view.last.tasks) {
        if (!is_stray(machine, listed)) continue;
        end_stray({machine, listed.job, listed.task, listed.attempt}, view, listed.state, heard, seen);
    }
}

void OrderDispatch::end_stray(const ListedAttempt& stray, const core::MachineView& view, TaskState state,
                              bool heard, Strays& seen) {
    const auto before = strays_.find(stray);
    // Nobody else has sent starts of this node's tasks under this epoch, and those of earlier ones are void.
    // Of a job that is over the owner's may be under way: only when first seen before this epoch.
    const std::uint64_t first = before == strays_.end() ? node_.epoch.number : before->second;
    seen[stray] = first;
    if (state == TaskState::exited) {
        const bool own = node_.ledger.find(stray.job) != nullptr;
        if (!own && first >= node_.epoch.number) return;
        workers_.order(stray.machine, view.last.session,
                       {OrderKind::forget, stray.job, stray.task, stray.attempt, 0});
    } else if (before != strays_.end() && heard) {
        spdlog::warn("event=stray_task job={} task={} attempt={} machine={}", stray.job, stray.task,
                     stray.attempt, stray.machine);
        workers_.order(stray.machine, view.last.session,
                       {OrderKind::stop, stray.job, stray.task, stray.attempt, 0});
    }
}

}  // namespace hatchwind::service
