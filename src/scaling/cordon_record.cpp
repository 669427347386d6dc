#include "scaling/cordon_record.hpp"

#include <cstdint>
#include <utility>

#include "store/store_keys.hpp"
#include "wire/cbor.hpp"
#include "wire/records.hpp"
#include "wire/store_api.hpp"

namespace hatchwind::controller {

using io::Micros;
using io::Task;

namespace {
constexpr Micros kCommitTimeout{2'000'000};
// What the encoded record has beside each machine's id: quotes and a comma.
constexpr std::size_t kIdFrameBytes = 3;

enum class MachinePresence : std::uint8_t { gone, in_view };
}  // namespace

// Written under larger limits, the record may hold more cordons than fit now. Those of machines that are gone
// are dropped first; a machine that loses its cordon takes tasks again.
void CordonRecord::fit_value_limit(std::set<std::string>& machines) const {
    std::size_t bytes = wire::json_bytes(wire::names_record(machines));
    for (const auto dropped : {MachinePresence::gone, MachinePresence::in_view}) {
        for (auto machine = machines.begin(); machine != machines.end() && bytes > settings_.value_limit();) {
            const bool in_view = workers_.cluster_view().find(*machine) != nullptr;
            if (in_view != (dropped == MachinePresence::in_view)) {
                ++machine;
                continue;
            }
            bytes -= machine->size() + kIdFrameBytes;
            machine = machines.erase(machine);
        }
    }
}

Task<bool> CordonRecord::replace(std::set<std::string> machines) {
    fit_value_limit(machines);
    // One record for all cordons: with one for each machine, scaling in hundreds would use up the store's
    // writes.
    const wire::Json record = wire::names_record(machines);
    wire::Transaction transaction;
    transaction.conditions.push_back({keys::kEpoch, replicated_.epoch().mod_revision});
    transaction.conditions.push_back({keys::kDraining, replicated_.draining_mod_revision()});
    transaction.writes.push_back({keys::kDraining, record, 0});
    auto commit = store_.commit(std::move(transaction), io::steady_now() + kCommitTimeout);
    const CommitResult result = co_await std::move(commit);
    if (result.outcome != CommitOutcome::committed) co_return false;
    replica_.apply_own_commit({keys::kDraining, record, result.revision});
    co_return true;
}

}  // namespace hatchwind::controller
