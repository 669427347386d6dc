/// Gang scheduling: all tasks of a gang start together under one attempt number, or none starts.
#pragma once

#include <optional>

#include "core/candidate_search.hpp"
#include "core/placement_trial.hpp"
#include "core/task_placement.hpp"

namespace hatchwind::core {

/// Places gangs within one placement pass.
class GangPlacement {
  public:
    GangPlacement(PlacementTrial& trial, CandidateSearch& search, TaskPlacement& tasks)
        : trial_(trial), search_(search), tasks_(tasks) {}

    /// Starts the gang, or replaces tasks that it lost before it began to run, or does nothing.
    void place(const JobEntry& entry);

  private:
    void start_all_or_none(const JobEntry& entry);
    bool start_all_tasks(const JobEntry& entry, ZoneUse& zones);
    // Replaces tasks lost before the gang began to run; replacements use the same attempt number. If a gang
    // loses a task later, its other tasks end by themselves (exit cause "peers"), and it restarts when all
    // have ended.
    void replace_lost_tasks(const JobEntry& entry);
    // Returns the attempt number that the gang's open tasks share, or nullopt if any of them has begun to
    // run.
    std::optional<std::uint64_t> unstarted_attempt(const JobEntry& entry) const;
    bool start_on_best_machine(const JobEntry& entry, ZoneUse& zones, std::uint32_t task,
                               std::uint64_t attempt);

    PlacementTrial& trial_;
    CandidateSearch& search_;
    TaskPlacement& tasks_;
};

}  // namespace hatchwind::core
