/// Capacity reservations for overdue jobs: free capacity that is kept until a job's first tasks fit.
#pragma once

#include "core/placement_trial.hpp"

namespace hatchwind::core {

/// Reserves capacity for one task of an overdue job on the machine at that position.
void reserve_for_overdue(PlacementTrial& trial, const JobEntry& entry, std::uint32_t task,
                         std::size_t machine);

/// Reserves capacity for the job's first `tasks` tasks on the machines with the most free CPUs: nobody else
/// takes that, so it grows until a task fits.
void reserve_capacity(PlacementTrial& trial, const JobEntry& entry, std::uint32_t tasks);

}  // namespace hatchwind::core
