/// When the leader should raise the fencing token although no membership changes.
///
/// The exit of an attempt is acknowledged only under a fencing token above that of its start commands,
/// because a duplicate of an answered start would run an attempt that its worker has forgotten. The fencing
/// token is the epoch's number, so exits wait for the next epoch. Waiting exits make heartbeats longer, and a
/// new fencing token makes every worker send one more heartbeat.
#pragma once

#include <cstddef>
#include <set>

#include "core/cluster_view.hpp"
#include "core/listed_attempt.hpp"

namespace hatchwind::core {

/// Counts exited attempts that workers list.
struct ExitBacklog {
    std::size_t machines = 0;  ///< in the cluster view
    std::size_t exits = 0;
    std::size_t most_on_one_machine = 0;
};

/// Decides from the exits that workers have listed since the epoch began. Those that were listed before and
/// can't be acknowledged, for example on partitioned machines, cause no further epochs.
class TokenRenewalPolicy {
  public:
    /// Mean number of exits per machine that may wait.
    static constexpr std::size_t kMaxWaitingPerMachine = 4;
    /// Number of exits that may wait in a cluster of few machines.
    static constexpr std::size_t kMinWaiting = 64;
    /// Number of exits that may wait on one machine; about 5 KiB of the heartbeat's 64 KiB.
    static constexpr std::size_t kMaxWaitingOnOneMachine = 64;

    /// Records the exits that are listed as an epoch begins.
    void start_epoch(const ClusterView& view);
    /// Counts the exits that have been listed since the epoch began.
    ExitBacklog waiting_exits(const ClusterView& view) const;
    /// Returns true if a new epoch should be written now.
    static bool is_due(const ExitBacklog& waiting);

  private:
    std::set<ListedAttempt> listed_before_;
};

}  // namespace hatchwind::core
