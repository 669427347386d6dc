#include "service/group_commit.hpp"

#include <algorithm>
#include <utility>

namespace hatchwind::service {

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
}  // namespace

std::size_t GroupCommit::fitting(std::span<const WriteUnit> units) const {
    const std::size_t most_writes = node_.settings.txn_ops;
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
        if (count != 0 && too_much) break;
        ++count;
    }
    return count;
}

wire::Transaction GroupCommit::transaction(std::span<const WriteUnit> units) const {
    wire::Transaction transaction;
    transaction.conditions.emplace_back(keys::kEpoch, node_.epoch.stamp);
    for (const WriteUnit& unit : units) {
        transaction.conditions.insert(transaction.conditions.end(), unit.conditions.begin(),
                                      unit.conditions.end());
        for (const auto& write : unit.extra) transaction.writes.push_back({write.key, write.value, 0});
        for (const auto& write : unit.effects) transaction.writes.push_back({write.key, write.value, 0});
    }
    return transaction;
}

Task<bool> GroupCommit::write(std::vector<WriteUnit> units) {
    std::span<WriteUnit> left{units};
    while (!left.empty()) {
        const std::size_t count = fitting(left);
        auto task = write_together(left.first(count));
        const bool committed = co_await std::move(task);
        if (!committed) co_return false;
        left = left.subspan(count);
    }
    co_return true;
}

Task<bool> GroupCommit::write_together(std::span<WriteUnit> units) {
    const wire::Transaction batch = transaction(units);
    const std::uint64_t epoch = node_.epoch.number;
    while (true) {
        auto task = node_.state.commit(batch, steady_now() + kCommitTime);
        const CommitResult result = co_await std::move(task);
        if (result.outcome == Commit::done) {
            for (WriteUnit& unit : units) committed(unit, result.revision, epoch);
            co_return true;
        }
        if (result.outcome == Commit::unknown && node_.acting()) {
            // It may have been carried out, or may be later: the same again until there is an answer. Its
            // conditions make all but one copy fail.
            co_await node_.loop.sleep(kUnknownPause);
            continue;
        }
        if (result.outcome == Commit::conflict) {
            auto reach = replica_.reach_conflict(batch.conditions, result, steady_now() + kConflictTime);
            co_await std::move(reach);
        } else {
            co_await node_.loop.sleep(kRefusedPause);
        }
        co_return false;
    }
}

void GroupCommit::committed(WriteUnit& unit, core::Stamp revision, std::uint64_t epoch) {
    for (auto& effect : unit.effects) {
        effect.stamp = revision;
        replica_.committed(effect);
    }
    pages_.written(unit.chunks);
    for (auto& closed : unit.closed) dispatch_.end_recorded(std::move(closed));
    // Recorded, so it may start; if this node is the owner no more, its order is void.
    if (!node_.acting() || epoch != node_.epoch.number) return;
    for (const auto& started : unit.started) dispatch_.start_recorded(started);
}

bool GroupCommit::unused(const core::AttemptPage& page) const {
    return std::none_of(page.chunks.begin(), page.chunks.end(),
                        [&](const auto& chunk) { return node_.ledger.find(chunk.first) != nullptr; });
}

Task<void> GroupCommit::erase_unused_pages() {
    wire::Transaction transaction;
    std::vector<wire::StoreItem> effects;
    transaction.conditions.emplace_back(keys::kEpoch, node_.epoch.stamp);
    for (const auto& [key, page] : node_.ledger.pages()) {
        if (transaction.writes.size() >= kErasedTogether) break;
        if (!node_.owns(key.first) || !unused(page)) continue;
        transaction.conditions.emplace_back(keys::page(key), page.stamp);
        transaction.writes.push_back({keys::page(key), std::nullopt, 0});
        effects.push_back({keys::page(key), std::nullopt, 0});
    }
    if (effects.empty()) co_return;
    auto task = node_.state.commit(std::move(transaction), steady_now() + kEraseTime);
    const CommitResult result = co_await std::move(task);
    if (result.outcome != Commit::done) co_return;
    for (auto& effect : effects) {
        effect.stamp = result.revision;
        replica_.committed(effect);
    }
}

}  // namespace hatchwind::service
