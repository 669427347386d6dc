/// Queue ordering: when each queued job is due, in which order jobs are tried, and which jobs are overdue,
/// that is, have waited too long for their first start.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "core/job_table.hpp"
#include "core/pipeline_schedule.hpp"

namespace hatchwind::core {

/// A job that has started no task for this long after its acceptance is overdue: its first task is placed
/// ahead of the queue, and capacity is reserved for it. Otherwise more urgent or smaller jobs could pass it
/// for ever.
constexpr Micros kOverdueAfter{90'000'000};
/// A job counts as able to finish in this fraction of its estimated run time, since estimates are often wrong
/// by half.
constexpr double kOptimisticEstimateFactor = 0.5;

/// Returns the job's due time (wall clock): the earliest of its deadline and its class's objectives that a
/// task started now can still meet, or an earlier time if a pipeline requires it. `pipelines` may be null.
Micros due_time(const Job& job, const std::vector<Objective>& objectives, Micros wall_clock_now,
                const PipelineSchedule* pipelines = nullptr);

/// Returns the earliest time (wall clock) that is not before `earliest_completion`, among the job's deadline
/// and the multiples of it that its class's objectives allow. If all are missed, returns a later due time
/// that depends only on the job. The job must have a deadline.
Micros earliest_reachable_deadline(const Job& job, const std::vector<Objective>& objectives,
                                   Micros earliest_completion);

/// Returns true if no task of the job has finished kOverdueAfter after the job was accepted. Tasks may be
/// running.
bool unfinished_when_overdue(const JobEntry& entry, Micros wall_clock_now);

/// Returns true if the job is overdue: no task of it runs or has finished kOverdueAfter after it was
/// accepted.
bool is_overdue(const JobEntry& entry, Micros wall_clock_now);

/// Returns the jobs of the given teams that have tasks to start, most urgent first. `pipelines` may be null.
std::vector<const JobEntry*> queue_order(const JobTable& job_table, const std::set<std::string>& teams,
                                         const std::vector<Objective>& objectives, Micros wall_clock_now,
                                         const PipelineSchedule* pipelines = nullptr);

/// Returns the overdue jobs of the queue, the job with the longest wait first.
std::vector<const JobEntry*> overdue_jobs(const std::vector<const JobEntry*>& queue, Micros wall_clock_now);

}  // namespace hatchwind::core
