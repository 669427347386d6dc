/// Scale-out planner: which instances to request so that queued work finds capacity, less what is booting
/// already. A pure function of its input.
#pragma once

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "core/free_capacity.hpp"
#include "core/instance.hpp"
#include "core/placement.hpp"
#include "core/team.hpp"

namespace hatchwind::core {

/// Instances that the cloud offers alike: one type in one zone, spot or on demand.
struct InstancePool {
    std::string type;
    std::string zone;
    bool spot = false;
    // NOLINTNEXTLINE(readability-implicit-bool-conversion): version 14 misreads the defaulted operator.
    friend auto operator<=>(const InstancePool&, const InstancePool&) = default;
};

/// See docs/operations.md for the properties that set these.
struct ScaleOutSettings {
    /// Request so much that an array's queue starts within this part of the time until its due time.
    double slack_share = 0.8;
    double least_queue_s = 15;        ///< seconds; an array's queue may always take this long
    std::size_t most_per_round = 20;  ///< instances requested in one round
    /// Request also for waiting jobs that may be released within this time; 0: only for what is released.
    double release_ahead_s = 0;
};

/// What the planner decides by. Pointers are not null unless said otherwise.
struct ScaleOutInput {
    const JobTable* job_table = nullptr;
    const ClusterView* cluster_view = nullptr;
    const Catalog* catalog = nullptr;
    const std::map<std::string, Team>* teams = nullptr;
    const std::vector<Objective>* objectives = nullptr;
    const PipelineSchedule* pipelines = nullptr;   ///< null: no job waits for others
    std::vector<Instance> booting;                 ///< requested, without a heartbeat yet, and not overdue
    std::map<InstancePool, Micros> refused_until;  ///< monotonic clock
    Micros monotonic_now{};                        ///< monotonic clock
    Micros wall_clock_now{};                       ///< wall clock
};

/// How many instances to request from which pool.
std::map<InstancePool, std::uint32_t> plan_scale_out(const ScaleOutSettings& settings,
                                                     const ScaleOutInput& input, FreeCapacity capacity);

}  // namespace hatchwind::core
