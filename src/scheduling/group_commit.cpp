#include "scheduling/group_commit.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "store/store_keys.hpp"

namespace hatchwind::controller {

using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr std::size_t kMaxTransactionBytes = std::size_t{56} * 1024;  // in JSON form
constexpr std::size_t kConditionsPerWrite = 4;
constexpr Micros kCommitTimeout{3'000'000};
constexpr Micros kConflictTimeout{2'000'000};
constexpr Micros kEraseTimeout{1'000'000};
constexpr Micros kPauseAfterUnknown{100'000};
constexpr Micros kPauseAfterUnavailable{150'000};
constexpr std::size_t kMaxPagesErased = 3;  // per transaction
constexpr Micros::rep kMicrosPerMilli = 1000;
constexpr Micros kSingleUnitsAfterRefusal{10'000'000};
constexpr Micros kUnitPauseAfterRefusal{2'000'000};

// Identifies a unit by the first key that it writes.
const std::string& first_key(const WriteUnit& unit) { return unit.replicated_writes.front().key; }
}  // namespace

std::size_t GroupCommit::count_for_one_transaction(std::span<const WriteUnit> units) const {
    const std::size_t max_writes = context_.settings.txn_ops;
    const std::size_t max_conditions = kConditionsPerWrite * max_writes;
    const bool single_units = steady_now() < single_units_until_;
    std::size_t writes = 0;
    std::size_t conditions = 1;  // the epoch's
    std::size_t bytes = 0;
    std::size_t count = 0;
    for (const WriteUnit& unit : units) {
        writes += unit.write_count();
        conditions += unit.conditions.size();
        bytes += unit.estimated_bytes;
        const bool too_much =
            writes > max_writes || conditions > max_conditions || bytes > kMaxTransactionBytes;
        if (count != 0 && (too_much || single_units)) break;
        ++count;
    }
    return count;
}

wire::Transaction GroupCommit::transaction_of(std::span<const WriteUnit> units) const {
    wire::Transaction transaction;
    transaction.conditions.push_back({keys::kEpoch, context_.replicated.epoch().mod_revision});
    for (const WriteUnit& unit : units) {
        transaction.conditions.insert(transaction.conditions.end(), unit.conditions.begin(),
                                      unit.conditions.end());
        for (const auto& write : unit.other_writes) transaction.writes.push_back({write.key, write.value, 0});
        for (const auto& write : unit.replicated_writes)
            transaction.writes.push_back({write.key, write.value, 0});
    }
    return transaction;
}

Task<bool> GroupCommit::write(std::vector<WriteUnit> units) {
    std::erase_if(refused_until_,
                  [now = steady_now()](const auto& refused) { return refused.second <= now; });
    std::erase_if(units, [&](const WriteUnit& unit) { return refused_until_.contains(first_key(unit)); });
    std::span<WriteUnit> remaining{units};
    while (!remaining.empty()) {
        const std::size_t count = count_for_one_transaction(remaining);
        const std::span<WriteUnit> batch = remaining.first(count);
        Group group{transaction_of(batch), {}};
        std::move(batch.begin(), batch.end(), std::back_inserter(group.units));
        auto sending = send(std::move(group));
        const bool committed = co_await std::move(sending);
        if (!committed) co_return false;
        remaining = remaining.subspan(count);
    }
    co_return true;
}

bool GroupCommit::in_doubt() {
    // A transaction of an earlier epoch can't be committed any more.
    if (in_doubt_ && in_doubt_->epoch() != context_.replicated.epoch().mod_revision) in_doubt_.reset();
    return in_doubt_.has_value();
}

Task<void> GroupCommit::retry_in_doubt() {
    Group copy = *in_doubt_;
    auto sending = send(std::move(copy));
    co_await std::move(sending);
}

double GroupCommit::Group::urgent_writes() const {
    double writes = 0;
    for (const WriteUnit& unit : units) {
        if (unit.rank <= WriteRank::overdue_completion) writes += static_cast<double>(unit.write_count());
    }
    return writes;
}

Task<bool> GroupCommit::send(Group group) {
    const Sending sending = in_doubt_ ? Sending::retry : Sending::first;
    const CommitPriority priority{false, group.urgent_writes()};
    auto commit = context_.store.commit(group.transaction, steady_now() + kCommitTimeout, priority);
    CommitResult result = co_await std::move(commit);
    switch (result.outcome) {
        case CommitOutcome::committed:
            in_doubt_.reset();
            handle_committed(group, result.revision);
            co_return true;
        case CommitOutcome::refused:
            in_doubt_.reset();
            handle_refused(group);
            co_return false;
        case CommitOutcome::conflict: {
            in_doubt_.reset();
            auto handling = handle_conflict(group, std::move(result), sending);
            co_await std::move(handling);
            co_return false;
        }
        case CommitOutcome::unavailable:
        case CommitOutcome::unknown:
            break;
    }
    auto handling = handle_no_commit(std::move(group), result.outcome, sending);
    co_await std::move(handling);
    co_return false;
}

void GroupCommit::handle_refused(const Group& group) {
    const Micros now = steady_now();
    if (group.units.size() > 1) {
        single_units_until_ = now + kSingleUnitsAfterRefusal;
    } else {
        refused_until_[first_key(group.units.front())] = now + kUnitPauseAfterRefusal;
    }
}

Task<void> GroupCommit::handle_conflict(const Group& group, CommitResult result, Sending sending) {
    auto waiting = context_.replica.wait_for_conflict(group.transaction.conditions, std::move(result),
                                                      steady_now() + kConflictTimeout);
    const bool caught_up = co_await std::move(waiting);
    if (caught_up && sending == Sending::retry) acknowledge_recorded_exits(group);
}

// A transaction without an answer may have been committed, or may be committed later. It is sent again until
// there is an answer; its conditions let only one copy commit. A retry that was not executed does not resolve
// the outcome of the first copy (UserAnswers.ALateGroupCommitOfTheSameOwnerRecordsNothing).
Task<void> GroupCommit::handle_no_commit(Group group, CommitOutcome outcome, Sending sending) {
    const bool may_be_committed = outcome == CommitOutcome::unknown || sending == Sending::retry;
    if (!may_be_committed) {
        in_doubt_.reset();
    } else if (group.epoch() == context_.replicated.epoch().mod_revision) {
        in_doubt_ = std::move(group);
    }
    co_await context_.loop.sleep(outcome == CommitOutcome::unknown ? kPauseAfterUnknown
                                                                   : kPauseAfterUnavailable);
}

// Must be called before the job's record is removed from the replica.
void GroupCommit::log_end(const std::string& job) const {
    const core::JobEntry* entry = context_.replicated.job_table().find(job);
    if (entry == nullptr) return;
    const Micros took = io::wall_now() - entry->job.accepted;
    spdlog::debug("event=job_ended job={} class={} tasks={} cancelled={} took_ms={}", job,
                  entry->job.job_class, entry->job.tasks, entry->job.cancelled,
                  took.count() / kMicrosPerMilli);
}

void GroupCommit::handle_committed(Group& group, core::Revision revision) {
    for (WriteUnit& unit : group.units) {
        apply_committed(unit, revision);
        dispatch_starts(unit, group.epoch());
    }
}

void GroupCommit::apply_committed(WriteUnit& unit, core::Revision revision) {
    for (const JobEnd& end : unit.job_ends) log_end(end.job);
    context_.replica.apply_own_commit(unit.replicated_writes, revision);
    for (const JobEnd& end : unit.job_ends) context_.replica.final_states().insert(end.job, end.state);
    // Jobs that depend on the ended jobs can be released without waiting for the watch.
    if (!unit.job_ends.empty()) context_.signals.replica_advanced.notify_all();
    context_.page_writer.record_committed(unit.chunks);
    for (TaskAttempt& closed : unit.closed) context_.acknowledger.queue(std::move(closed));
}

// Attempts may start once they are recorded. If this controller is no longer the shard owner, workers reject
// its commands.
void GroupCommit::dispatch_starts(const WriteUnit& unit, core::Revision epoch) {
    const bool same_epoch = epoch == context_.replicated.epoch().mod_revision;
    if (!context_.leadership.holds_leadership() || !same_epoch) return;
    for (const TaskAttempt& started : unit.started) {
        // The store's answer may arrive long after the commit, and a cancellation may be confirmed in between
        // (UserAnswers.ACancelConfirmedBeforeTheStartsRecordIsAnsweredStartsNothing).
        const core::JobEntry* entry = context_.replicated.job_table().find(started.job);
        if (entry != nullptr && !entry->job.cancelled) context_.dispatcher.dispatch_start(started);
    }
}

void GroupCommit::acknowledge_recorded_exits(const Group& group) {
    for (const WriteUnit& unit : group.units) {
        for (const TaskAttempt& closed : unit.closed) {
            const core::Attempt* open = context_.replicated.job_table().open_attempt(closed.job, closed.task);
            if (open == nullptr || open->number != closed.attempt.number) context_.acknowledger.queue(closed);
        }
    }
}

bool GroupCommit::is_unused(const core::AttemptPage& page) const {
    return std::none_of(page.chunks.begin(), page.chunks.end(), [&](const core::ChunkKey& chunk) {
        return context_.replicated.job_table().find(chunk.job) != nullptr;
    });
}

Task<void> GroupCommit::erase_unused_pages() {
    wire::Transaction transaction;
    std::vector<wire::StoreItem> erased;
    transaction.conditions.push_back({keys::kEpoch, context_.replicated.epoch().mod_revision});
    for (const auto& [key, page] : context_.replicated.job_table().pages()) {
        if (transaction.writes.size() >= std::min(kMaxPagesErased, context_.settings.txn_ops)) break;
        if (!context_.leadership.owns_shard(key.team) || !is_unused(page)) continue;
        transaction.conditions.push_back({keys::page(key), page.mod_revision});
        transaction.writes.push_back({keys::page(key), std::nullopt, 0});
        erased.push_back({keys::page(key), std::nullopt, 0});
    }
    if (erased.empty()) co_return;
    auto commit = context_.store.commit(std::move(transaction), steady_now() + kEraseTimeout);
    const CommitResult result = co_await std::move(commit);
    if (result.outcome != CommitOutcome::committed) co_return;
    context_.replica.apply_own_commit(erased, result.revision);
}

}  // namespace hatchwind::controller
