/// Placement: which task starts where, as a pure pass over the queue and the free capacity. The steps of the
/// pass are modules of their own: queue ordering, candidate search, fair share, preemption, capacity
/// reservations, and the placement of tasks and gangs.
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

/// A task to preempt. `grace_s`: seconds that it has to write a checkpoint.
struct Stop {
    std::string job;
    std::uint32_t task = 0;
    Attempt attempt;
    double grace_s = 0;
};

/// Capacity that is kept for one task: usually others were stopped for it. Nobody else may take it until
/// then.
struct Reservation {
    std::string machine;
    Resources resources;
    Micros until{};  ///< monotonic clock
    /// Nothing was stopped for it: an overdue job waits for what is freed. Made anew in each pass, the oldest
    /// job first; reservations that lasted let two jobs keep each other from one machine for ever.
    bool for_overdue_job = false;
};

/// What a pass decides by. Pointers are not null unless said otherwise, and outlive the pass.
struct PlacementInput {
    const JobTable* job_table = nullptr;
    const ClusterView* cluster_view = nullptr;
    const std::map<std::string, Team>* teams = nullptr;
    const std::vector<Objective>* objectives = nullptr;
    const PipelineSchedule* pipelines = nullptr;  ///< null: no job waits for others
    std::set<std::string> own_teams;
    std::map<std::string, Micros> job_backoff;  ///< monotonic clock: until when the job's tasks are not tried
    std::map<TaskRef, Reservation> reservations;
    std::vector<Reservation> peer_reservations;  ///< reservations of other controllers
    std::set<TaskRef> stopping;                  ///< preempted, and not gone yet
    Micros now{};                                ///< monotonic clock
    Micros wall_clock_now{};                     ///< wall clock
    std::size_t most_starts = 48;
    std::size_t most_stops = 8;
    std::size_t most_records = 48;  ///< store records that the starts may touch
};

/// What a pass decided.
struct PlacementResult {
    std::vector<Start> starts;
    std::vector<Stop> stops;
    std::map<TaskRef, Reservation> reservations;
    std::size_t deferred = 0;  ///< jobs that were not tried, since the pass was full
};

/// One pass: decides starts, stops and reservations, and takes what they use out of `capacity`.
PlacementResult place(const PlacementInput& input, FreeCapacity& capacity);

}  // namespace hatchwind::core
