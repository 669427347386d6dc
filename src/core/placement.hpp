// Which task starts where: a pure pass over the queue and the free capacity. The steps of the pass are
// modules of their own: aging, candidate search, team claims, preemption, holds, and the placement of tasks
// and gangs.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/free_capacity.hpp"
#include "core/job_table.hpp"
#include "core/pipeline_schedule.hpp"
#include "core/queue_order.hpp"

namespace hatchwind::core {

struct Start {
    std::string job;
    std::uint32_t task = 0;
    Attempt attempt;
};

struct Stop {
    std::string job;
    std::uint32_t task = 0;
    Attempt attempt;
    double grace_s = 0;
};

// FreeCapacity that was cleared for one task by stopping others; nobody else may take it until then.
struct Reservation {
    std::string machine;
    Resources resources;
    Micros until{};
    // Nothing was stopped for it: an overdue job waits for what is set free. Made anew in each pass, the
    // oldest job first; holds that lasted let two jobs keep each other from one machine for ever.
    bool waiting = false;
};

struct PlacementInput {
    const JobTable* job_table = nullptr;
    const ClusterView* cluster_view = nullptr;
    const std::map<std::string, Team>* teams = nullptr;
    const std::vector<Objective>* objectives = nullptr;
    const PipelineSchedule* pipelines = nullptr;  // null: no job waits for others
    std::set<std::string> own_teams;
    std::map<std::string, Micros> job_backoff;  // steady: until when the job's tasks are not tried
    std::map<TaskRef, Reservation> reservations;
    std::vector<Reservation> peer_reservations;  // other owners' holds
    std::set<TaskRef> stopping;  // told to stop to free capacity for another, and not gone yet
    Micros now{};                // steady
    Micros wall_clock_now{};     // time of day
    std::size_t most_starts = 48;
    std::size_t most_stops = 8;
    std::size_t most_records = 48;  // store records that the starts may touch
};

struct PlacementResult {
    std::vector<Start> starts;
    std::vector<Stop> stops;
    std::map<TaskRef, Reservation> reservations;
    std::size_t deferred = 0;  // jobs that were not looked at, since the pass had its fill
};

// One pass: decides starts, stops and reservations, and takes what they use out of `capacity`.
PlacementResult place(const PlacementInput& input, FreeCapacity& capacity);

}  // namespace hatchwind::core
