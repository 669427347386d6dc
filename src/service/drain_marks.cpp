#include "service/drain_marks.hpp"

#include <utility>

namespace hatchwind::service {

using io::Micros;
using io::Task;

namespace {
constexpr Micros kCommitTime{2'000'000};
}  // namespace

Task<bool> DrainMarks::write(std::set<std::string> machines) {
    // One record for all marks: with one for each machine, giving back hundreds would use up the store's
    // writes.
    wire::Transaction transaction;
    transaction.conditions.emplace_back(keys::kEpoch, node_.epoch.stamp);
    transaction.conditions.emplace_back(keys::kDraining, node_.draining_stamp);
    const wire::Json record = wire::names_record(machines);
    transaction.writes.push_back({keys::kDraining, record, 0});
    auto task = node_.state.commit(std::move(transaction), io::steady_now() + kCommitTime);
    const CommitResult result = co_await std::move(task);
    if (result.outcome != Commit::done) co_return false;
    replica_.committed({keys::kDraining, record, result.revision});
    co_return true;
}

}  // namespace hatchwind::service
