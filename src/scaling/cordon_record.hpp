// The store's record of the machines that are being drained.
#pragma once

#include <set>
#include <string>

#include "config/settings.hpp"
#include "store/replica.hpp"
#include "store/replicated_state.hpp"
#include "store/store_client.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

class CordonRecord {
  public:
    CordonRecord(const Settings& settings, const ReplicatedState& replicated, const WorkerStatus& workers,
                 StoreClient& store, Replica& replica)
        : settings_(settings), replicated_(replicated), workers_(workers), store_(store), replica_(replica) {}

    // Replaces all marks; true once that is committed.
    io::Task<bool> write(std::set<std::string> machines);

  private:
    // Drops marks that one value cannot hold.
    void fit_value_limit(std::set<std::string>& machines) const;
    const Settings& settings_;
    const ReplicatedState& replicated_;
    const WorkerStatus& workers_;
    StoreClient& store_;
    Replica& replica_;
};

}  // namespace hatchwind::controller
