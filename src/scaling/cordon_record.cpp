#include "scaling/cordon_record.hpp"

#include <utility>

#include "store/store_keys.hpp"
#include "wire/records.hpp"
#include "wire/store_api.hpp"

namespace hatchwind::controller {

using io::Micros;
using io::Task;

namespace {
constexpr Micros kCommitTime{2'000'000};
constexpr std::size_t kNameFrameBytes = 3;  // quotes and comma
}  // namespace

// Written under larger limits there may be more marks than fit now. Those of machines that are gone leave
// first; a machine without its mark is used again.
void CordonRecord::fit_value_limit(std::set<std::string>& machines) const {
    std::size_t bytes = wire::names_record(machines).dump().size();
    for (const bool standing : {false, true}) {
        for (auto machine = machines.begin(); machine != machines.end() && bytes > settings_.value_limit();) {
            if ((workers_.cluster_view().find(*machine) != nullptr) != standing) {
                ++machine;
                continue;
            }
            bytes -= machine->size() + kNameFrameBytes;
            machine = machines.erase(machine);
        }
    }
}

Task<bool> CordonRecord::write(std::set<std::string> machines) {
    fit_value_limit(machines);
    // One record for all marks: with one for each machine, giving back hundreds would use up the store's
    // writes.
    wire::Transaction transaction;
    transaction.conditions.push_back({keys::kEpoch, replicated_.epoch().mod_revision});
    transaction.conditions.push_back({keys::kDraining, replicated_.draining_mod_revision()});
    const wire::Json record = wire::names_record(machines);
    transaction.writes.push_back({keys::kDraining, record, 0});
    auto task = store_.commit(std::move(transaction), io::steady_now() + kCommitTime);
    const CommitResult result = co_await std::move(task);
    if (result.outcome != CommitOutcome::committed) co_return false;
    replica_.apply_own_commit({keys::kDraining, record, result.revision});
    co_return true;
}

}  // namespace hatchwind::controller
