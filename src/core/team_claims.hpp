// What teams may claim within their guarantees: which jobs are covered, whose claim goes before whose, and
// what work beyond a guarantee must leave free for others.
#pragma once

#include <map>
#include <string>
#include <unordered_set>

#include "core/placement_trial.hpp"

namespace hatchwind::core {

// Claims in order: production, then what a guarantee covers, then the rest; by priority among equals. A stop
// always goes down this order. Priority alone and guarantee alone each allow a stop, and two teams with one
// each would stop one another's tasks for ever.
struct Claim {
    enum class Rank : std::uint8_t { beyond_guarantee, guaranteed, production };
    Rank rank = Rank::beyond_guarantee;
    Priority priority = Priority::best_effort;
    friend auto operator<=>(const Claim&, const Claim&) = default;
};

class TeamClaims {
  public:
    explicit TeamClaims(const PlacementTrial& trial) : trial_(trial) {}

    // In the sense of the promise to teams: this job and the team's earlier unfinished ones fit into the
    // guarantee together. A team with a longer queue than that has no claim on others' running work.
    bool within_guarantee(const Job& job);
    // With the priority that the job inherits, where others need it.
    Claim claim(const Job& job);
    // With this priority in place of the job's.
    Claim claim(const Job& job, Priority priority);
    // A task of this job on this machine leaves free what other teams are owed. Each owner filled what was
    // set free with its own queue, and the others stopped that again within seconds: on a full fleet a fifth
    // of all starts was lost so.
    bool leaves_owed(const Job& job, std::size_t machine);

  private:
    // Free capacity that teams wait for within their guarantees: CPUs on any machine, and the part of them
    // for which only ordinary machines will do. Services take theirs by stops, and at once.
    struct OwedCpus {
        double any = 0;
        double ordinary = 0;
    };
    void find_guaranteed_jobs();
    void find_owed();
    bool counts_as_owed(const JobEntry& entry);
    OwedCpus owed_to_others(const std::string& team);

    const PlacementTrial& trial_;
    std::unordered_set<std::string> guaranteed_;
    bool guarantees_known_ = false;
    std::map<std::string, OwedCpus> owed_;  // by team, as it was when it was first asked for
    bool owed_known_ = false;
};

}  // namespace hatchwind::core
