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
constexpr std::size_t kTransactionBytes = std::size_t{56} * 1024;  // of the JSON form
constexpr std::size_t kConditionsPerWrite = 4;
constexpr Micros kCommitTime{3'000'000};
constexpr Micros kUnknownPause{100'000};
constexpr Micros kRefusedPause{150'000};
constexpr Micros kConflictTime{2'000'000};
constexpr Micros kEraseTime{1'000'000};
constexpr std::size_t kErasedTogether = 3;
constexpr Micros::rep kMicrosPerMilli = 1000;
constexpr Micros kRefusedGroup{10'000'000};  // how long units go one by one after a group was refused
constexpr Micros kRefusedUnit{2'000'000};    // how long a unit waits that was refused by itself
}  // namespace

std::size_t GroupCommit::fitting(std::span<const WriteUnit> units) const {
    const std::size_t most_writes = settings_.txn_ops;
    const std::size_t most_conditions = kConditionsPerWrite * most_writes;
    std::size_t writes = 0;
    std::size_t conditions = 1;  // the epoch's
    std::size_t bytes = 0;
    std::size_t count = 0;
    for (const WriteUnit& unit : units) {
        writes += unit.writes();
        conditions += unit.conditions.size();
        bytes += unit.bytes;
        const bool too_much =
            writes > most_writes || conditions > most_conditions || bytes > kTransactionBytes;
        if (count != 0 && (too_much || steady_now() < single_units_until_)) break;
        ++count;
    }
    return count;
}

wire::Transaction GroupCommit::transaction(std::span<const WriteUnit> units) const {
    wire::Transaction transaction;
    transaction.conditions.push_back({keys::kEpoch, replicated_.epoch().mod_revision});
    for (const WriteUnit& unit : units) {
        transaction.conditions.insert(transaction.conditions.end(), unit.conditions.begin(),
                                      unit.conditions.end());
        for (const auto& write : unit.extra) transaction.writes.push_back({write.key, write.value, 0});
        for (const auto& write : unit.effects) transaction.writes.push_back({write.key, write.value, 0});
    }
    return transaction;
}

Task<bool> GroupCommit::write(std::vector<WriteUnit> units) {
    std::erase_if(refused_until_, [now = steady_now()](const auto& unit) { return unit.second <= now; });
    std::erase_if(units,
                  [&](const WriteUnit& unit) { return refused_until_.contains(unit.effects.front().key); });
    std::span<WriteUnit> left{units};
    while (!left.empty()) {
        const std::size_t count = fitting(left);
        const std::span<WriteUnit> batch = left.first(count);
        Group group{transaction(batch), {}};
        std::move(batch.begin(), batch.end(), std::back_inserter(group.units));
        auto task = send(std::move(group));
        const bool committed = co_await std::move(task);
        if (!committed) co_return false;
        left = left.subspan(count);
    }
    co_return true;
}

void GroupCommit::record_refused(const Group& group) {
    const Micros now = steady_now();
    if (group.units.size() > 1) {
        single_units_until_ = now + kRefusedGroup;
    } else {
        refused_until_[group.units.front().effects.front().key] = now + kRefusedUnit;
    }
}

bool GroupCommit::in_doubt() {
    // No copy of a transaction of an earlier epoch can be carried out any more.
    if (in_doubt_ && in_doubt_->epoch() != replicated_.epoch().mod_revision) in_doubt_.reset();
    return in_doubt_.has_value();
}

Task<void> GroupCommit::repeat() {
    Group again = *in_doubt_;
    auto task = send(std::move(again));
    co_await std::move(task);
}

double GroupCommit::Group::pressing_writes() const {
    double writes = 0;
    for (const WriteUnit& unit : units) {
        if (unit.rank <= WriteRank::overdue_completion) writes += static_cast<double>(unit.writes());
    }
    return writes;
}

Task<bool> GroupCommit::send(Group group) {
    const bool sent_before = in_doubt_.has_value();
    const CommitPriority priority{false, group.pressing_writes()};
    auto task = store_.commit(group.transaction, steady_now() + kCommitTime, priority);
    const CommitResult result = co_await std::move(task);
    if (result.outcome == CommitOutcome::committed) {
        in_doubt_.reset();
        committed(group, result.revision);
        co_return true;
    }
    if (result.outcome == CommitOutcome::refused) {
        in_doubt_.reset();
        record_refused(group);
        co_return false;
    }
    if (result.outcome == CommitOutcome::conflict) {
        in_doubt_.reset();
        auto wait_for_revision =
            replica_.wait_for_conflict(group.transaction.conditions, result, steady_now() + kConflictTime);
        const bool reached = co_await std::move(wait_for_revision);
        if (reached && sent_before) acknowledge_recorded_exits(group);
        co_return false;
    }
    // Without an answer it may have been carried out, or may be later: the same again until there is an
    // answer. Its conditions make all but one copy fail. A refusal of the repeat says nothing about the first
    // copy (UserAnswers.ALateGroupCommitOfTheSameOwnerRecordsNothing).
    if (result.outcome == CommitOutcome::unknown ||
        (sent_before && result.outcome == CommitOutcome::unavailable)) {
        if (group.epoch() == replicated_.epoch().mod_revision) in_doubt_ = std::move(group);
    } else {
        in_doubt_.reset();
    }
    co_await loop_.sleep(result.outcome == CommitOutcome::unknown ? kUnknownPause : kRefusedPause);
    co_return false;
}

// Before the record leaves the replica.
void GroupCommit::log_end(const std::string& job) const {
    const core::JobEntry* entry = replicated_.job_table().find(job);
    if (entry == nullptr) return;
    const Micros took = io::wall_now() - entry->job.accepted;
    spdlog::debug("event=job_ended job={} class={} tasks={} cancelled={} took_ms={}", job,
                  entry->job.job_class, entry->job.tasks, entry->job.cancelled,
                  took.count() / kMicrosPerMilli);
}

void GroupCommit::committed(Group& group, core::Revision revision) {
    const core::Revision epoch = group.epoch();
    for (WriteUnit& unit : group.units) committed(unit, revision, epoch);
}

void GroupCommit::committed(WriteUnit& unit, core::Revision revision, core::Revision epoch) {
    for (const auto& [job, state] : unit.ends) log_end(job);
    replica_.apply_own_commit(unit.effects, revision);
    for (const auto& [job, state] : unit.ends) replica_.final_states().insert(job, state);
    // Jobs that need these are released without waiting for the watch.
    if (!unit.ends.empty()) signals_.replica_advanced.notify_all();
    pages_.written(unit.chunks);
    for (auto& closed : unit.closed) dispatch_.end_recorded(std::move(closed));
    // Recorded, so it may start; if this node is the shard owner no more, its order is void.
    if (!leadership_.holds_leadership() || epoch != replicated_.epoch().mod_revision) return;
    for (const auto& started : unit.started) {
        // The answer may come long after the record, and a confirmed cancel in between
        // (UserAnswers.ACancelConfirmedBeforeTheStartsRecordIsAnsweredStartsNothing).
        const core::JobEntry* entry = replicated_.job_table().find(started.job);
        if (entry != nullptr && !entry->job.cancelled) dispatch_.start_recorded(started);
    }
}

void GroupCommit::acknowledge_recorded_exits(const Group& group) {
    for (const WriteUnit& unit : group.units) {
        for (const auto& closed : unit.closed) {
            const core::Attempt* open = replicated_.job_table().open_attempt(closed.job, closed.task);
            if (open == nullptr || open->number != closed.attempt.number) dispatch_.end_recorded(closed);
        }
    }
}

bool GroupCommit::unused(const core::AttemptPage& page) const {
    return std::none_of(page.chunks.begin(), page.chunks.end(), [&](const auto& chunk) {
        return replicated_.job_table().find(chunk.job) != nullptr;
    });
}

Task<void> GroupCommit::erase_unused_pages() {
    wire::Transaction transaction;
    std::vector<wire::StoreItem> effects;
    transaction.conditions.push_back({keys::kEpoch, replicated_.epoch().mod_revision});
    for (const auto& [key, page] : replicated_.job_table().pages()) {
        if (transaction.writes.size() >= std::min(kErasedTogether, settings_.txn_ops)) break;
        if (!leadership_.owns_shard(key.team) || !unused(page)) continue;
        transaction.conditions.push_back({keys::page(key), page.mod_revision});
        transaction.writes.push_back({keys::page(key), std::nullopt, 0});
        effects.push_back({keys::page(key), std::nullopt, 0});
    }
    if (effects.empty()) co_return;
    auto task = store_.commit(std::move(transaction), steady_now() + kEraseTime);
    const CommitResult result = co_await std::move(task);
    if (result.outcome != CommitOutcome::committed) co_return;
    replica_.apply_own_commit(effects, result.revision);
}

}  // namespace hatchwind::controller
