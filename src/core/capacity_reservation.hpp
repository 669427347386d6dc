// Holds: free capacity that is kept for an overdue job until its first tasks fit.
#pragma once

#include "core/placement_trial.hpp"

namespace hatchwind::core {

// Holds machines for the job's first `tasks` tasks, where most is free: nobody else takes that, so it grows
// until a task fits.
void reserve_capacity(PlacementTrial& trial, const JobEntry& entry, std::uint32_t tasks);

}  // namespace hatchwind::core
