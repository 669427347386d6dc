#include "scheduling/shard_scheduler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace hatchwind::controller {

using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr Micros kIdleInterval{400'000};
// A pass that takes long on this machine leaves the time of four more to reports, users and renewals.
constexpr int kPauseInPasses = 4;
constexpr Micros kPassCounted{1'000'000};  // at the most
constexpr Micros kEraseInterval{3'000'000};
constexpr double kEraseSpareWrites = 4;
constexpr double kChunksPerPage = 4;  // about so many are written together
constexpr double kBudgetSpanSeconds = 0.5;
constexpr double kLeastWrites = 6.0;  // enough for one record of each sort
constexpr std::size_t kWritesPerFinish = 2;
// Of the spare writes, for units of the last rank.
constexpr double kCompletionShare = 0.5;
}  // namespace

ShardScheduler::ShardScheduler(const SchedulingContext& context)
    : context_(context),
      dispatch_(context.replicated, context.leadership, context.workers, context.commands),
      failure_backoff_(context.replicated, context.workers),
      reconciler_(context.settings, context.replicated, context.leadership, context.workers, context.leases,
                  dispatch_, failure_backoff_),
      placement_(context.settings, context.catalog, context.replicated, context.leadership, context.workers,
                 context.free_capacity_cache, context.reservations, context.links, dispatch_,
                 failure_backoff_),
      pages_(context.settings, context.replicated, context.leadership, context.workers),
      commit_(context.loop, context.settings, context.replicated, context.leadership, context.store,
              context.replica, context.signals, pages_, dispatch_) {}

Task<void> ShardScheduler::run() {
    while (true) {
        co_await context_.signals.scheduling_needed.wait(steady_now() + kIdleInterval);
        // Close changes share one pass and one group commit.
        co_await context_.loop.sleep(std::max(context_.tunables.pass_gap, kPauseInPasses * last_pass_));
        if (!context_.leadership.holds_leadership() || !context_.catalog) continue;
        start_epoch();
        auto whole_pass = pass();
        co_await std::move(whole_pass);
        dispatch_.acknowledge_exits();
        if (dispatch_.reconcile_orphans()) failure_backoff_.forget_gone();
        auto erasure = erase_unused_pages();
        co_await std::move(erasure);
    }
}

void ShardScheduler::start_epoch() {
    if (epoch_seen_ == context_.replicated.epoch().number) return;
    epoch_seen_ = context_.replicated.epoch().number;
    dispatch_.start_epoch();
    placement_.start_epoch();
    pages_.start_epoch();
    reconciler_.start_epoch();
}

Task<void> ShardScheduler::pass() {
    const Micros began = steady_now();
    StagedRecords staged;
    reconciler_.reconcile(staged);
    // Nothing new is placed in an outage, nor from a copy that may lack this node's own records: what they
    // use would be placed once more (UserAnswers.AnOwnerPlansNothingFromACopyThatLacksItsOwnRecords).
    const bool reachable = context_.store.reachable(steady_now());
    const bool in_doubt = commit_.in_doubt();
    if (in_doubt || !reachable || !context_.replica.has_own_commits()) {
        last_pass_ = steady_now() - began;
        if (!in_doubt || !reachable) co_return;
        auto repeat = commit_.repeat();
        co_await std::move(repeat);
        context_.signals.scheduling_needed.notify_all();
        co_return;
    }
    PassWrites writes = plan_writes(staged);
    context_.store.set_backlog(writes.left_out + static_cast<double>(writes.deferred));
    last_pass_ = std::min(steady_now() - began, kPassCounted);
    spdlog::debug(
        "event=scheduling_pass took_us={} units={} writes={} left_out={} deferred={} spare={:.1f} "
        "rate={:.1f}",
        last_pass_.count(), writes.units.size(), writes.planned, writes.left_out, writes.deferred,
        writes.spare, context_.store.write_rate());
    if (writes.units.empty()) co_return;
    auto task = commit_.write(std::move(writes.units));
    const bool committed = co_await std::move(task);
    // The free capacity of the pass is used up by then: another pass sees what is left to do.
    if (committed) context_.signals.scheduling_needed.notify_all();
}

// Most of what an owner has to write can wait. Were it to use the budget ahead, each start after it would
// wait until that is paid.
double ShardScheduler::WriteBudget::limit(WriteRank rank) const {
    if (rank >= WriteRank::completion) return spare * kCompletionShare;
    return rank == WriteRank::due_completion ? spare : bear;
}

ShardScheduler::WriteBudget ShardScheduler::write_budget() {
    const double spare = std::max(0.0, context_.store.spare_writes());
    return {spare, std::max(kLeastWrites, spare + context_.store.write_rate() * kBudgetSpanSeconds)};
}

ShardScheduler::PassWrites ShardScheduler::plan_writes(StagedRecords& staged) {
    const WriteBudget budget = write_budget();
    const auto pressing = static_cast<double>(staged.finished.size() * kWritesPerFinish);
    const double records = std::max(kLeastWrites, kChunksPerPage * (budget.bear - pressing));
    PassWrites writes;
    writes.spare = budget.spare;
    writes.deferred = placement_.run(staged, static_cast<std::size_t>(records));
    writes.units = pages_.units(staged, steady_now());
    std::erase_if(writes.units, [&](const WriteUnit& unit) {
        const auto wanted = static_cast<double>(unit.writes());
        const double limit = budget.limit(unit.rank);
        const bool out = writes.planned > 0 && writes.planned + wanted > limit;
        if (!out) writes.planned += wanted;
        // What waits for company by itself is no demand: counted, it took from others what was not used.
        if (out && unit.rank <= WriteRank::overdue_completion) writes.left_out += wanted;
        return out;
    });
    return writes;
}

Task<void> ShardScheduler::erase_unused_pages() {
    if (steady_now() - last_erased_ < kEraseInterval || !context_.leadership.holds_leadership()) co_return;
    if (context_.store.spare_writes() < kEraseSpareWrites) co_return;
    last_erased_ = steady_now();
    auto task = commit_.erase_unused_pages();
    co_await std::move(task);
}

}  // namespace hatchwind::controller
