// Renting follows the queue: what has no capacity, less what is booting already.
#pragma once

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "core/free_capacity.hpp"
#include "core/placement.hpp"

namespace hatchwind::core {

struct Pool {
    std::string type;
    std::string zone;
    bool spot = false;
    // NOLINTNEXTLINE(readability-implicit-bool-conversion): version 14 misreads the defaulted operator.
    friend auto operator<=>(const Pool&, const Pool&) = default;
};

struct FleetSettings {
    // Rent so much that an array's queue starts within this part of the time that its due leaves it.
    double slack_share = 0.8;
    double least_queue_s = 15;
    std::size_t most_per_round = 20;
    // Rent also for waiting jobs that may be released within this time; 0: only for what is released.
    double release_ahead_s = 0;
};

struct FleetInput {
    const Ledger* ledger = nullptr;
    const ClusterView* cluster_view = nullptr;
    const Catalog* catalog = nullptr;
    const std::map<std::string, Team>* teams = nullptr;
    const std::vector<Objective>* objectives = nullptr;
    const PipelineSchedule* pipelines = nullptr;  // null: no job waits for others
    std::vector<Rental> booting;                  // rented, not reporting yet, not overdue
    std::map<Pool, Micros> refused_until;         // steady
    Micros now{};                                 // steady
    Micros wall{};                                // time of day
};

// How many machines to rent from which pool.
std::map<Pool, std::uint32_t> plan_rentals(const FleetSettings& s, const FleetInput& in,
                                           FreeCapacity capacity);

}  // namespace hatchwind::core
