/// Gang scheduling: all tasks of a gang start together under one attempt number, or none does.
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

    /// Starts the gang, replaces tasks that it lost before it began, or does nothing.
    void place(const JobEntry& entry);

  private:
    void start_whole(const JobEntry& entry);
    bool start_all_tasks(const JobEntry& entry, ZoneUse& zones);
    // A gang that lost tasks before it began takes replacements under the same attempt number. Once it has
    // run, its other tasks end by themselves ("peers") and it starts afresh when all are gone.
    void replace_lost_tasks(const JobEntry& entry);
    // The attempt number that the gang's open tasks share; none when one of them has begun to run.
    std::optional<std::uint64_t> attempt_not_begun(const JobEntry& entry) const;
    bool start_best(const JobEntry& entry, ZoneUse& zones, std::uint32_t task, std::uint64_t attempt);

    PlacementTrial& trial_;
    CandidateSearch& search_;
    TaskPlacement& tasks_;
};

}  // namespace hatchwind::core
