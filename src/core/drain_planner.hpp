/// Drain planner: finds machines that can be scaled in together, by bin packing their tasks onto the other
/// machines in a working copy of the free capacity. A pure function of its input; its time limit is passed in
/// as a callback, so that runs are reproducible.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/free_capacity.hpp"
#include "core/job_table.hpp"

namespace hatchwind::core {

/// See docs/operations.md for the properties that set these.
struct DrainSettings {
    /// Only machines with a smaller fraction of their CPUs in use are candidates.
    double use_threshold = 0.5;
    Micros unneeded{30'000'000};     ///< time for which a machine must be a candidate before it is drained
    Micros recent_stop{30'000'000};  ///< time for which a stopped task counts as one that needs a destination
    std::size_t total_cap = 8;       ///< maximum number of machines that drain at the same time
    std::size_t busy_cap = 2;        ///< maximum number of these that have tasks
    std::size_t fleet_minimum = 1;   ///< number of machines that are never scaled in
};

/// State that the planner keeps from one round to the next. Times are of the monotonic clock.
struct DrainState {
    std::map<std::string, Micros> candidate_since;  ///< by machine
    std::map<TaskRef, std::string> destinations;    ///< machines that the last round chose for the tasks
    std::map<TaskRef, Micros> recent_stops;         ///< when the task was stopped; the caller adds entries
};

/// Input of the planner. Pointers are not null.
struct DrainInput {
    const JobTable* job_table = nullptr;
    const ClusterView* cluster_view = nullptr;
    std::set<std::string> draining;
    std::set<std::string> protected_machines;  ///< never candidates, for example because they run gangs
    Micros monotonic_now{};                    ///< monotonic clock
    /// Returns true when the search for candidates must end; candidates found so far remain valid.
    std::function<bool()> out_of_time = [] { return false; };
};

/// Machines that the planner chose in one round.
struct DrainResult {
    std::vector<std::string> empty;  ///< without tasks: to be released at once
    std::vector<std::string> busy;   ///< with tasks: to be drained, then released
    /// True if not all tasks of draining machines and recently stopped tasks fit elsewhere; then there are no
    /// candidates.
    bool blocked = false;
};

/// Runs one round: updates `state` and returns the machines to drain now.
DrainResult plan_drains(const DrainSettings& settings, const DrainInput& input, FreeCapacity capacity,
                        DrainState& state);

}  // namespace hatchwind::core
