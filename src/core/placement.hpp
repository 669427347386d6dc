/// Placement: decides which task starts on which machine, as a pure pass over the queue and the free
/// capacity. Each step of the pass is a module: queue ordering, candidate search, fair share, preemption,
/// capacity reservations, and the placement of tasks and gangs.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/free_capacity.hpp"
#include "core/job_table.hpp"
#include "core/pipeline_schedule.hpp"
#include "core/queue_order.hpp"
#include "core/team.hpp"

namespace hatchwind::core {

/// A task to start.
struct Start {
    std::string job;
    std::uint32_t task = 0;
    Attempt attempt;
};

/// A task to preempt. `grace_s`: seconds that the task has to write a checkpoint.
struct Stop {
    std::string job;
    std::uint32_t task = 0;
    Attempt attempt;
    double grace_s = 0;
};

/// Capacity reserved for one task, usually because other tasks were preempted for it. No other task may use
/// it before `until`.
struct Reservation {
    std::string machine;
    Resources resources;
    Micros until{};  ///< monotonic clock
    /// True if no task was preempted for this reservation: an overdue job waits for capacity that other tasks
    /// free. Such reservations are computed in each pass, for the oldest job first. If they persisted between
    /// passes, two jobs could keep each other from the same machine for ever.
    bool for_overdue_job = false;
};

/// Input of a placement pass. Pointers are not null unless said otherwise, and must outlive the pass.
struct PlacementInput {
    const JobTable* job_table = nullptr;
    const ClusterView* cluster_view = nullptr;
    const std::map<std::string, Team>* teams = nullptr;
    const std::vector<Objective>* objectives = nullptr;
    const PipelineSchedule* pipelines = nullptr;  ///< null if no job depends on others
    std::set<std::string> own_teams;
    /// No task of the job is placed before this time (monotonic clock).
    std::map<std::string, Micros> job_backoff;
    std::map<TaskRef, Reservation> reservations;
    std::vector<Reservation> peer_reservations;  ///< reservations of other controllers
    std::set<TaskRef> stopping;                  ///< preempted tasks that have not ended yet
    Micros now{};                                ///< monotonic clock
    Micros wall_clock_now{};                     ///< wall clock
    std::size_t max_starts = 48;
    std::size_t max_stops = 8;
    std::size_t max_records = 48;  ///< store records that the starts may change
};

/// Decisions of a placement pass.
struct PlacementResult {
    std::vector<Start> starts;
    std::vector<Stop> stops;
    std::map<TaskRef, Reservation> reservations;
    std::size_t deferred = 0;  ///< jobs not tried because the pass had reached a limit
};

/// Runs one pass: decides starts, stops and reservations, and subtracts the capacity that they use from
/// `capacity`.
PlacementResult place(const PlacementInput& input, FreeCapacity& capacity);

}  // namespace hatchwind::core
