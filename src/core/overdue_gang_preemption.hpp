/// Preemption for an overdue gang: stops lower-priority tasks of the gang's own team, so that the gang fits
/// its team's limit and finds capacity for all its tasks at once.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/placement_trial.hpp"

namespace hatchwind::core {

/// Plans and stops within one placement pass.
///
/// An overdue gang keeps its team's other jobs from starting until it fits the team's limit. Without these
/// stops it waited for long tasks to end, and the whole team waited with it beside free machines
/// (GangAtTheTeamsLimit.StopsLowerPriorityTasksOfItsOwnTeam).
class OverdueGangPreemption {
  public:
    explicit OverdueGangPreemption(PlacementTrial& trial) : trial_(trial) {}

    /// Stops what the gang needs and reserves the machines for it; changes nothing when the lower-priority
    /// tasks of its team are not enough. None of the gang's tasks may be open.
    void make_room(const JobEntry& gang);

  private:
    /// A task that may be stopped for the gang.
    struct Victim {
        const JobEntry* entry = nullptr;
        std::uint32_t task = 0;
        std::uint64_t attempt = 0;
        std::size_t machine = 0;  ///< position in the free capacity
        bool fetching = false;    ///< nothing is lost by its stop
    };
    /// What of the team runs where, as far as it matters for one gang.
    struct TeamTasks {
        std::map<std::size_t, std::vector<Victim>> victims;  ///< by machine, the least loss first
        std::map<std::size_t, Resources> leaving;            ///< by machine: told to stop, and not gone yet
        Resources leaving_sum;
    };
    /// Which machines the gang's tasks get, and who is stopped for that.
    struct Plan {
        std::vector<std::size_t> machines;  ///< one for each task of the gang
        std::vector<Victim> victims;
    };

    class ZonePlanner;

    TeamTasks tasks_below(const JobEntry& gang) const;
    void add_tasks_of(std::size_t machine, const JobEntry& gang, TeamTasks& tasks) const;
    static bool loses_less(const Victim& left, const Victim& right);
    bool may_be_stopped(const Job& victim, const Job& gang) const;
    std::vector<std::string> zones_for(const Job& gang) const;
    /// Adds victims until the gang fits the team's limit; false when there are not enough.
    bool meet_limit(const JobEntry& gang, const TeamTasks& tasks, Plan& plan) const;
    void carry_out(const JobEntry& gang, const Plan& plan);

    PlacementTrial& trial_;
};

}  // namespace hatchwind::core
