/// Capacity reservations for overdue jobs: keep free capacity unused until the job's first tasks fit.
#pragma once

#include "core/placement_trial.hpp"

namespace hatchwind::core {

/// Reserves capacity for one task of an overdue job on the machine at position `machine`.
void reserve_for_overdue(PlacementTrial& trial, const JobEntry& entry, std::uint32_t task,
                         std::size_t machine);

/// Reserves capacity for the job's first `tasks` tasks on the machines with the most free CPUs. No other job
/// may use that capacity, so it grows until a task fits.
void reserve_capacity(PlacementTrial& trial, const JobEntry& entry, std::uint32_t tasks);

}  // namespace hatchwind::core
