// Scaling out follows the queue: what has no capacity, less what is booting already.
#pragma once

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "core/free_capacity.hpp"
#include "core/placement.hpp"

namespace hatchwind::core {

struct InstancePool {
    std::string type;
    std::string zone;
    bool spot = false;
    // NOLINTNEXTLINE(readability-implicit-bool-conversion): version 14 misreads the defaulted operator.
    friend auto operator<=>(const InstancePool&, const InstancePool&) = default;
};

struct ScaleOutSettings {
    // Rent so much that an array's queue starts within this part of the time that its due leaves it.
    double slack_share = 0.8;
    double least_queue_s = 15;
    std::size_t most_per_round = 20;
    // Rent also for waiting jobs that may be released within this time; 0: only for what is released.
    double release_ahead_s = 0;
};

struct ScaleOutInput {
    const JobTable* job_table = nullptr;
    const ClusterView* cluster_view = nullptr;
    const Catalog* catalog = nullptr;
    const std::map<std::string, Team>* teams = nullptr;
    const std::vector<Objective>* objectives = nullptr;
    const PipelineSchedule* pipelines = nullptr;   // null: no job waits for others
    std::vector<Instance> booting;                 // rented, not reporting yet, not overdue
    std::map<InstancePool, Micros> refused_until;  // steady
    Micros now{};                                  // steady
    Micros wall_clock_now{};                       // time of day
};

// How many machines to rent from which pool.
std::map<InstancePool, std::uint32_t> plan_scale_out(const ScaleOutSettings& s, const ScaleOutInput& in,
                                                     FreeCapacity capacity);

}  // namespace hatchwind::core
