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
// The pause before a pass is at least this multiple of the last pass's duration, which leaves processor time
// to heartbeats, user requests and lease renewals.
constexpr int kPauseToPassRatio = 4;
constexpr Micros kMaxCountedPassDuration{1'000'000};
constexpr Micros kEraseInterval{3'000'000};
constexpr double kMinUnusedWritesToErase = 4;
constexpr double kChunksPerPage = 4;  // approximate number of chunks per page write
constexpr double kBudgetSpanSeconds = 0.5;
constexpr double kMinWrites = 6.0;  // enough for one record of each kind
constexpr std::size_t kWritesPerFinish = 2;
constexpr double kCompletionShare = 0.5;  // fraction of the unused writes, for `completion` and lower ranks
}  // namespace

ShardScheduler::ShardScheduler(const SchedulingContext& context)
    : context_(context),
      dispatcher_(context.replicated, context.commands, context.epoch_renewal),
      acknowledger_(context.workers, context.commands),
      orphans_(context.replicated, context.leadership, context.workers, context.commands),
      token_monitor_(context.replicated, context.leadership, context.workers, context.epoch_renewal),
      failure_backoff_(context.replicated, context.workers),
      reconciler_(context.settings, context.replicated, context.leadership, context.workers, context.leases,
                  dispatcher_, failure_backoff_),
      placement_({context.settings, context.catalog, context.replicated, context.leadership, context.workers,
                  failure_backoff_, context.free_capacity_cache, context.reservations, context.links,
                  dispatcher_, context.holds}),
      page_writer_(context.settings, context.replicated, context.leadership, context.workers),
      commit_({context.loop, context.settings, context.replicated, context.leadership, context.store,
               context.replica, context.signals, page_writer_, dispatcher_, acknowledger_}) {}

Task<void> ShardScheduler::run() {
    while (true) {
        co_await context_.signals.scheduling_needed.wait(steady_now() + kIdleInterval);
        // Changes in quick succession are handled by one pass and one group commit.
        co_await context_.loop.sleep(
            std::max(context_.tunables.pass_gap, kPauseToPassRatio * last_pass_duration_));
        if (!context_.leadership.holds_leadership() || !context_.catalog) continue;
        start_epoch();
        auto whole_pass = pass();
        co_await std::move(whole_pass);
        acknowledger_.send_due();
        if (orphans_.reconcile()) {
            dispatcher_.forget_closed_attempts();
            failure_backoff_.remove_obsolete();
            token_monitor_.check();
            context_.commands.log_counters();
        }
        auto erasure = erase_unused_pages();
        co_await std::move(erasure);
    }
}

void ShardScheduler::start_epoch() {
    if (last_seen_epoch_ == context_.replicated.epoch().number) return;
    last_seen_epoch_ = context_.replicated.epoch().number;
    dispatcher_.start_epoch();
    acknowledger_.start_epoch();
    token_monitor_.start_epoch();
    placement_.start_epoch();
    page_writer_.start_epoch();
    reconciler_.start_epoch();
}

// Nothing is placed in an outage of the store, or from a replica that may lack this controller's own records:
// the capacity that those records use would be allocated a second time
// (UserAnswers.AnOwnerPlansNothingFromACopyThatLacksItsOwnRecords).
bool ShardScheduler::may_place() const {
    return context_.store.reachable(steady_now()) && context_.replica.has_own_commits();
}

Task<void> ShardScheduler::pass() {
    const Micros started_at = steady_now();
    StagedRecords staged;
    reconciler_.reconcile(staged);
    const bool in_doubt = commit_.in_doubt();
    if (in_doubt || !may_place()) {
        last_pass_duration_ = steady_now() - started_at;
        if (!in_doubt) co_return;
        auto retry = retry_in_doubt();
        co_await std::move(retry);
        co_return;
    }
    PlannedWrites writes = plan_writes(staged);
    context_.store.set_backlog(writes.left_out + static_cast<double>(writes.deferred_jobs));
    last_pass_duration_ = std::min(steady_now() - started_at, kMaxCountedPassDuration);
    spdlog::debug(
        "event=scheduling_pass took_us={} units={} writes={} left_out={} deferred={} spare={:.1f} "
        "rate={:.1f}",
        last_pass_duration_.count(), writes.units.size(), writes.count, writes.left_out, writes.deferred_jobs,
        writes.unused, context_.store.write_rate());
    if (writes.units.empty()) co_return;
    auto writing = commit_.write(std::move(writes.units));
    const bool committed = co_await std::move(writing);
    // The free capacity computed in this pass is outdated after the commit: another pass handles the rest.
    if (committed) context_.signals.scheduling_needed.notify_all();
}

Task<void> ShardScheduler::retry_in_doubt() {
    if (!context_.store.reachable(steady_now())) co_return;
    auto retry = commit_.retry_in_doubt();
    co_await std::move(retry);
    context_.signals.scheduling_needed.notify_all();
}

// Most writes of a shard owner can wait. If they used budget ahead of time, each later start would have to
// wait until the budget has recovered.
double ShardScheduler::WriteBudget::limit(WriteRank rank) const {
    if (rank >= WriteRank::completion) return unused * kCompletionShare;
    return rank == WriteRank::due_completion ? unused : affordable;
}

ShardScheduler::WriteBudget ShardScheduler::write_budget() {
    const double unused = std::max(0.0, context_.store.available_writes());
    return {unused, std::max(kMinWrites, unused + context_.store.write_rate() * kBudgetSpanSeconds)};
}

ShardScheduler::PlannedWrites ShardScheduler::plan_writes(StagedRecords& staged) {
    const WriteBudget budget = write_budget();
    const auto finish_writes = static_cast<double>(staged.finished_jobs.size() * kWritesPerFinish);
    const double max_records = std::max(kMinWrites, kChunksPerPage * (budget.affordable - finish_writes));
    PlannedWrites writes;
    writes.unused = budget.unused;
    writes.deferred_jobs = placement_.run(staged, static_cast<std::size_t>(max_records));
    writes.units = page_writer_.write_units(staged, steady_now());
    keep_affordable(writes, budget);
    return writes;
}

void ShardScheduler::keep_affordable(PlannedWrites& writes, const WriteBudget& budget) {
    std::erase_if(writes.units, [&](const WriteUnit& unit) {
        const auto unit_writes = static_cast<double>(unit.write_count());
        const bool fits = writes.count == 0 || writes.count + unit_writes <= budget.limit(unit.rank);
        if (fits) {
            writes.count += unit_writes;
        } else if (unit.rank <= WriteRank::overdue_completion) {
            // Writes of lower ranks are delayed on purpose and are not reported as backlog. If they were,
            // they would take a share of the write budget from other controllers without using it.
            writes.left_out += unit_writes;
        }
        return !fits;
    });
}

Task<void> ShardScheduler::erase_unused_pages() {
    if (steady_now() - last_erasure_ < kEraseInterval || !context_.leadership.holds_leadership()) co_return;
    if (context_.store.available_writes() < kMinUnusedWritesToErase) co_return;
    last_erasure_ = steady_now();
    auto erasure = commit_.erase_unused_pages();
    co_await std::move(erasure);
}

}  // namespace hatchwind::controller
