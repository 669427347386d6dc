/// Scale-out planner: decides which instances to request so that queued jobs find capacity, taking booting
/// instances into account. A pure function of its input.
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

/// A group of interchangeable cloud instances: one type in one zone, spot or on-demand.
struct InstancePool {
    std::string type;
    std::string zone;
    bool spot = false;
    // NOLINTNEXTLINE(readability-implicit-bool-conversion): version 14 misreads the defaulted operator.
    friend auto operator<=>(const InstancePool&, const InstancePool&) = default;
};

/// See docs/operations.md for the properties that set these.
struct ScaleOutSettings {
    /// An array's queue should start within this fraction of the time until its due time.
    double slack_share = 0.8;
    double min_queue_s = 15;  ///< seconds; lower bound of the time in which an array's queue should start
    std::size_t max_instances_per_round = 20;  ///< maximum number of instances requested in one round
    /// Seconds: instances are also requested for waiting jobs that may be released within this time. 0: only
    /// for released jobs.
    double release_ahead_s = 0;
};

/// Input of the planner. Pointers are not null unless said otherwise.
struct ScaleOutInput {
    const JobTable* job_table = nullptr;
    const ClusterView* cluster_view = nullptr;
    const Catalog* catalog = nullptr;
    const std::map<std::string, Team>* teams = nullptr;
    const std::vector<Objective>* objectives = nullptr;
    const PipelineSchedule* pipelines = nullptr;   ///< null if no job depends on others
    std::vector<Instance> booting;                 ///< requested, without a heartbeat yet, and not overdue
    std::map<InstancePool, Micros> refused_until;  ///< monotonic clock
    Micros monotonic_now{};                        ///< monotonic clock
    Micros wall_clock_now{};                       ///< wall clock
};

/// Returns the number of instances to request from each pool.
std::map<InstancePool, std::uint32_t> plan_scale_out(const ScaleOutSettings& settings,
                                                     const ScaleOutInput& input, FreeCapacity capacity);

}  // namespace hatchwind::core
