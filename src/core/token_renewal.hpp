/// When the leader should raise the fencing token although no membership changes.
///
/// The exit of an attempt is acknowledged only under a fencing token above that of its start commands,
/// because a duplicate of an answered start would run an attempt that its worker has forgotten. The fencing
/// token is the epoch's number, so exits wait for the next epoch. Waiting exits make heartbeats longer, and a
/// new fencing token makes every worker send one more heartbeat.
#pragma once

#include <cstddef>
#include <cstdint>

namespace hatchwind::core {

/// The exited attempts that workers list.
struct ExitBacklog {
    std::size_t machines = 0;  ///< in the cluster view
    std::size_t exits = 0;
    std::size_t most_on_one_machine = 0;
};

/// Decides from the growth of the backlog within an epoch. Exits that can't be acknowledged, for example
/// those on partitioned machines, are part of every backlog and cause no further epochs.
class TokenRenewalPolicy {
  public:
    /// Mean number of exits per machine that may wait.
    static constexpr std::size_t kMaxWaitingPerMachine = 4;
    /// Number of exits that may wait in a cluster of few machines.
    static constexpr std::size_t kMinWaiting = 64;
    /// Number of exits that may wait on one machine; about 5 KiB of the heartbeat's 64 KiB.
    static constexpr std::size_t kMaxWaitingOnOneMachine = 64;

    /// Returns true if a new epoch should be written now. `epoch`: number of the current epoch.
    bool is_due(std::uint64_t epoch, const ExitBacklog& backlog);

  private:
    std::uint64_t epoch_ = 0;
    std::size_t fewest_exits_ = 0;  // in this epoch
    std::size_t fewest_on_fullest_machine_ = 0;
};

}  // namespace hatchwind::core
