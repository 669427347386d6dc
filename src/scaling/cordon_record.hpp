/// The store's record of cordoned machines: those that are being drained, and take nothing new.
#pragma once

#include <set>
#include <string>

#include "config/settings.hpp"
#include "store/replica.hpp"
#include "store/replicated_state.hpp"
#include "store/store_client.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

/// The only writer of the record. Every controller reads it through its replica.
class CordonRecord {
  public:
    CordonRecord(const Settings& settings, const ReplicatedState& replicated, const WorkerStatus& workers,
                 StoreClient& store, Replica& replica)
        : settings_(settings), replicated_(replicated), workers_(workers), store_(store), replica_(replica) {}

    /// Replaces the cordoned machines by these, as far as they fit into one value of the store. True once
    /// that is committed; it is refused when the epoch or the record has changed meanwhile.
    io::Task<bool> replace(std::set<std::string> machines);

  private:
    void fit_value_limit(std::set<std::string>& machines) const;

    const Settings& settings_;
    const ReplicatedState& replicated_;
    const WorkerStatus& workers_;
    StoreClient& store_;
    Replica& replica_;
};

}  // namespace hatchwind::controller
