/// Preemption for an overdue gang: stops lower-priority tasks of the gang's own team, so that the gang fits
/// into the team's limit and all its tasks find capacity at once.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/placement_trial.hpp"

namespace hatchwind::core {

/// Plans and stops tasks for overdue gangs within one placement pass.
///
/// An overdue gang keeps its team's other jobs from starting until it fits into the team's limit. Without
/// preemption the gang, and with it the whole team, would wait for long tasks to end while machines are free
/// (GangAtTheTeamsLimit.PreemptsLowerPriorityTasksOfItsOwnTeam).
class OverdueGangPreemption {
  public:
    explicit OverdueGangPreemption(PlacementTrial& trial) : trial_(trial) {}

    /// Stops the tasks whose capacity the gang needs and reserves their machines for it. Does nothing if
    /// stopping all lower-priority tasks of its team would not suffice. The gang must have no open tasks.
    void preempt_for(const JobEntry& gang);

  private:
    /// A task that may be stopped for the gang.
    struct Victim {
        const JobEntry* entry = nullptr;
        std::uint32_t task = 0;
        std::uint64_t attempt = 0;
        std::size_t machine = 0;  ///< position in the free capacity
        bool fetching = false;    ///< the task has not begun to run, so stopping it loses no work
    };
    /// Lower-priority tasks of the gang's team, by the machine on which they run.
    struct TeamTasks {
        std::map<std::size_t, std::vector<Victim>> victims;  ///< by machine, in ascending order of lost work
        /// By machine: resources of tasks that are being stopped already.
        std::map<std::size_t, Resources> stopping_use;
        Resources total_stopping_use;
    };
    /// Machines for the gang's tasks, and the tasks to stop for them.
    struct Plan {
        std::vector<std::size_t> machines;  ///< one for each task of the gang
        std::vector<Victim> victims;
    };

    class ZonePlanner;

    TeamTasks lower_priority_tasks(const JobEntry& gang) const;
    void add_tasks_of(std::size_t machine, const JobEntry& gang, TeamTasks& tasks) const;
    static bool loses_less_work(const Victim& left, const Victim& right);
    bool may_be_preempted(const Job& victim, const Job& gang) const;
    std::vector<std::string> zones_for(const Job& gang) const;
    /// Adds victims until the gang fits into the team's limit. Returns false if there are not enough.
    bool fit_team_limit(const JobEntry& gang, const TeamTasks& tasks, Plan& plan) const;
    void apply(const JobEntry& gang, const Plan& plan);

    PlacementTrial& trial_;
};

}  // namespace hatchwind::core
