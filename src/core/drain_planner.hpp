// Parallel drain: finds machines that can be given back together, by repacking their tasks in a trial copy.
// A pure function of its input; the work bound comes in as a callback so that runs repeat.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/free_capacity.hpp"
#include "core/job_table.hpp"

namespace hatchwind::core {

struct DrainSettings {
    double use_threshold = 0.5;
    Micros unneeded{30'000'000};
    Micros recent_stop{30'000'000};
    std::size_t total_cap = 8;
    std::size_t busy_cap = 2;
    std::size_t fleet_minimum = 1;
};

struct DrainState {
    std::map<std::string, Micros> candidate_since;  // machine -> steady
    std::map<TaskRef, std::string> destinations;    // remembered from the last trial
    std::map<TaskRef, Micros> recent_stops;         // steady
};

struct DrainInput {
    const JobTable* job_table = nullptr;
    const ClusterView* cluster_view = nullptr;
    std::set<std::string> draining;
    std::set<std::string> protected_machines;  // never candidates: gangs, or needed as they are
    Micros now{};
    std::function<bool()> out_of_time = [] { return false; };
};

struct DrainResult {
    std::vector<std::string> empty;  // to be given back at once
    std::vector<std::string> busy;   // to be drained, then given back
    bool recorded_attempts = false;  // stopped tasks would not all fit: no candidates in this round
};

DrainResult plan_drains(const DrainSettings& s, const DrainInput& in, FreeCapacity capacity,
                        DrainState& state);

}  // namespace hatchwind::core
