/// Requests a new epoch when many exits wait for a higher fencing token.
#pragma once

#include <cstdint>

#include "cluster/epoch_renewal.hpp"
#include "cluster/leadership.hpp"
#include "core/token_renewal.hpp"
#include "store/replicated_state.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

/// Acts only on the cluster leader, which writes the epochs.
class FencingTokenMonitor {
  public:
    FencingTokenMonitor(const ReplicatedState& replicated, const Leadership& leadership,
                        const WorkerStatus& workers, EpochRenewal& renewal)
        : replicated_(replicated), leadership_(leadership), workers_(workers), renewal_(renewal) {}

    /// Records the exits that are listed as an epoch begins; those that follow wait for the next one. Called
    /// before anything is started in the epoch.
    void start_epoch();
    /// Counts the exits that wait, and requests a new epoch if one is due. Called every few seconds.
    void check();

  private:
    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    const WorkerStatus& workers_;
    EpochRenewal& renewal_;
    core::TokenRenewalPolicy policy_;
    std::uint64_t observed_epoch_ = 0;  // number of the epoch that `policy_` has been told of
};

}  // namespace hatchwind::controller
