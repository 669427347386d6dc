/// Fair share: which jobs their team's quota covers, which job may preempt which, and what work beyond a
/// quota must leave free for others.
#pragma once

#include <map>
#include <string>
#include <unordered_set>

#include "core/placement_trial.hpp"

namespace hatchwind::core {

/// Order of jobs for preemption: production, then what a quota covers, then the rest; by priority among
/// equals. A job preempts only what ranks lower. Were priority alone and quota alone each enough, two teams
/// with one each would preempt one another's tasks for ever.
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

    /// The quota covers the job: it and the team's earlier unfinished jobs fit into the quota together. A
    /// team with a longer queue than that has no right to others' running work.
    bool within_quota(const Job& job);
    /// Rank with the priority that the job inherits, where others need it.
    PreemptionRank rank(const Job& job);
    /// Rank with this priority in place of the job's.
    PreemptionRank rank(const Job& job, Priority priority);
    /// A task of this job on this machine leaves free what is reserved for other teams. Without this rule
    /// each shard filled freed capacity from its own queue, and the others preempted that again within
    /// seconds: on a full fleet a fifth of all starts was lost so.
    bool leaves_quota_reservations(const Job& job, std::size_t machine);

  private:
    // Free capacity that teams wait for within their quotas: CPUs on any machine, and the part of them
    // for which only on-demand machines will do. Services preempt for theirs, and at once.
    struct ReservedCpus {
        double any = 0;
        double ordinary = 0;
    };
    void find_jobs_within_quota();
    void find_reserved();
    bool counts_as_reserved(const JobEntry& entry);
    ReservedCpus reserved_for_others(const std::string& team);

    const PlacementTrial& trial_;
    std::unordered_set<std::string> within_quota_;
    bool quota_known_ = false;
    std::map<std::string, ReservedCpus> reserved_;  // by team, as it was when it was first asked for
    bool reserved_known_ = false;
};

}  // namespace hatchwind::core
