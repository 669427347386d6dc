/// Drain planner: finds machines that can be scaled in together, by bin packing their tasks onto the others
/// in a working copy of the free capacity. A pure function of its input; the bound on its work comes in as a
/// callback, so that runs repeat.
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
    double use_threshold = 0.5;      ///< only machines with a smaller used part of their CPUs are candidates
    Micros unneeded{30'000'000};     ///< how long a machine has to be a candidate before it is drained
    Micros recent_stop{30'000'000};  ///< how long a stopped task counts as one that needs a new place
    std::size_t total_cap = 8;       ///< machines that may be draining at a time
    std::size_t busy_cap = 2;        ///< of these, machines with tasks
    std::size_t fleet_minimum = 1;   ///< machines that always stay
};

/// What the planner remembers from one round to the next. Times are of the monotonic clock.
struct DrainState {
    std::map<std::string, Micros> candidate_since;  ///< by machine
    std::map<TaskRef, std::string> destinations;    ///< machines that the last round's trial chose
    std::map<TaskRef, Micros> recent_stops;         ///< when the task was stopped; the caller adds to it
};

/// What the planner decides by. Pointers are not null.
struct DrainInput {
    const JobTable* job_table = nullptr;
    const ClusterView* cluster_view = nullptr;
    std::set<std::string> draining;
    std::set<std::string> protected_machines;  ///< never candidates: gangs, or needed as they are
    Micros monotonic_now{};                    ///< monotonic clock
    /// Ends the search for candidates; those found so far count.
    std::function<bool()> out_of_time = [] { return false; };
};

/// Machines that the planner chose in one round.
struct DrainResult {
    std::vector<std::string> empty;  ///< to be released at once
    std::vector<std::string> busy;   ///< to be drained, then released
    bool blocked = false;  ///< the tasks of draining machines do not all fit elsewhere: no candidates
};

/// One round: updates `state`, and returns what to drain now.
DrainResult plan_drains(const DrainSettings& settings, const DrainInput& input, FreeCapacity capacity,
                        DrainState& state);

}  // namespace hatchwind::core
