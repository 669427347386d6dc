// What teams may claim within their quotas: which jobs are covered, whose claim goes before whose, and
// what work beyond a quota must leave free for others.
#pragma once

#include <map>
#include <string>
#include <unordered_set>

#include "core/placement_trial.hpp"

namespace hatchwind::core {

// Claims in order: production, then what a quota covers, then the rest; by priority among equals. A stop
// always goes down this order. Priority alone and quota alone each allow a stop, and two teams with one
// each would stop one another's tasks for ever.
struct PreemptionRank {
    enum class Tier : std::uint8_t { beyond_quota, within_quota, production };
    Tier tier = Tier::beyond_quota;
    Priority priority = Priority::best_effort;
    friend auto operator<=>(const PreemptionRank&, const PreemptionRank&) = default;
};

class FairShareRanking {
  public:
    explicit FairShareRanking(const PlacementTrial& trial) : trial_(trial) {}

    // In the sense of the promise to teams: this job and the team's earlier unfinished ones fit into
    // the quota together. A team with a longer queue than that has no right to others' running work.
    bool within_quota(const Job& job);
    // With the priority that the job inherits, where others need it.
    PreemptionRank rank(const Job& job);
    // With this priority in place of the job's.
    PreemptionRank rank(const Job& job, Priority priority);
    // A task of this job on this machine leaves free what is reserved for other teams. Each owner filled what
    // was set free with its own queue, and the others stopped that again within seconds: on a full fleet a
    // fifth of all starts was lost so.
    bool leaves_quota_reservations(const Job& job, std::size_t machine);

  private:
    // Free capacity that teams wait for within their quotas: CPUs on any machine, and the part of them
    // for which only ordinary machines will do. Services take theirs by stops, and at once.
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
