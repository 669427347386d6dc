/// Queue ordering: when each queued job is due, in which order jobs are tried, and which have waited too long
/// for their first start.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "core/job_table.hpp"
#include "core/pipeline_schedule.hpp"

namespace hatchwind::core {

/// A job of which nothing has begun for so long goes ahead with its first task, and capacity is reserved for
/// it: otherwise work that is more urgent, or smaller, passes it for ever.
constexpr Micros kBeginWithin{90'000'000};
/// Estimates are often wrong by half: what might still be met counts as such.
constexpr double kTrustedShareOfEstimate = 0.5;

/// Due time of the job by the wall clock: the earliest of its deadline and its class's objectives that a task
/// started now can still meet; earlier still where a pipeline needs it. `pipelines` may be null.
Micros due_time(const Job& job, const std::vector<Objective>& objectives, Micros wall_clock_now,
                const PipelineSchedule* pipelines = nullptr);

/// Of the job's deadline and the multiples of it that its class's objectives name, the earliest that is not
/// before `soonest_done`; a later time of its own when all are missed. Wall clock. The job must have a
/// deadline.
Micros deadline_still_met(const Job& job, const std::vector<Objective>& objectives, Micros soonest_done);

/// Nothing of it has finished kBeginWithin after it was accepted.
bool waited_too_long(const JobEntry& entry, Micros wall_clock_now);

/// Has waited too long for its first start.
bool must_begin(const JobEntry& entry, Micros wall_clock_now);

/// Jobs of the given teams with tasks to start, most urgent first. `pipelines` may be null.
std::vector<const JobEntry*> queue_order(const JobTable& job_table, const std::set<std::string>& teams,
                                         const std::vector<Objective>& objectives, Micros wall_clock_now,
                                         const PipelineSchedule* pipelines = nullptr);

/// Those of the queue that must begin, the longest wait first.
std::vector<const JobEntry*> overdue_jobs(const std::vector<const JobEntry*>& queue, Micros wall_clock_now);

}  // namespace hatchwind::core
