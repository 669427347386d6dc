/// Fair share: which jobs are within their team's quota, which job may preempt which, and how much capacity
/// jobs beyond a quota must leave to other teams.
#pragma once

#include <map>
#include <string>
#include <unordered_set>

#include "core/placement_trial.hpp"

namespace hatchwind::core {

/// Rank of a job for preemption: production first, then jobs within a quota, then the rest; by priority
/// within a tier. A job preempts only jobs of lower rank. If either a higher priority or an unused quota were
/// enough, a high-priority job beyond its quota and a low-priority job within its quota would preempt each
/// other's tasks indefinitely.
struct PreemptionRank {
    /// In ascending order.
    enum class Tier : std::uint8_t { beyond_quota, within_quota, production };
    Tier tier = Tier::beyond_quota;
    Priority priority = Priority::best_effort;
    friend auto operator<=>(const PreemptionRank&, const PreemptionRank&) = default;
};

/// Ranks jobs for one placement pass.
class FairShareRanking {
  public:
    explicit FairShareRanking(const PlacementTrial& trial) : trial_(trial) {}

    /// Returns true if the job and the team's earlier unfinished jobs together fit into the team's quota. A
    /// team whose queue exceeds its quota has no claim on other teams' running tasks.
    bool within_quota(const Job& job);
    /// Returns the job's rank with its own or its inherited priority.
    PreemptionRank rank(const Job& job);
    /// Returns the job's rank with `priority` in place of its own.
    PreemptionRank rank(const Job& job, Priority priority);
    /// Returns true if a task of the job on this machine leaves free the capacity that is reserved for other
    /// teams. Without this rule each shard fills freed capacity from its own queue, and other shards preempt
    /// those tasks within seconds: when all machines were full, a fifth of all starts was lost this way.
    bool respects_quota_reservations(const Job& job, std::size_t machine);

  private:
    // Free CPUs reserved for teams with jobs waiting within their quotas: on any machine, and the part that
    // must be on on-demand machines. Services are not counted, since they preempt at once.
    struct ReservedCpus {
        double any = 0;
        double on_demand = 0;
    };
    void find_jobs_within_quota();
    void find_reserved();
    bool counts_as_reserved(const JobEntry& entry);
    ReservedCpus reserved_for_others(const std::string& team);

    const PlacementTrial& trial_;
    std::unordered_set<std::string> within_quota_;
    bool quota_known_ = false;
    std::map<std::string, ReservedCpus> reserved_;  // by team, computed on first use
    bool reserved_known_ = false;
};

}  // namespace hatchwind::core
