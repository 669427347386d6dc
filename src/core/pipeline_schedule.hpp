/// Pipelines (chains of dependent jobs): the priority that a job inherits from its dependents, and the time
/// by which it should be done so that the last job of its pipeline can still meet its deadline. A pure
/// function of the job table. Time and memory are linear in the number of waiting jobs and their
/// dependencies.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/job_table.hpp"
#include "core/team.hpp"

namespace hatchwind::core {

/// Users' run time estimates are often wrong by half.
constexpr double kEstimateSafetyFactor = 1.5;
/// Overhead of each pipeline stage: its release, the commit of its start, the image fetch and the report of
/// its end.
constexpr double kStageStartAllowanceSeconds = 5.0;

/// Returns the time that is planned for the job as a stage of its pipeline.
constexpr Micros planned_stage_time(const Job& job) {
    return from_seconds(job.estimate_s * kEstimateSafetyFactor + kStageStartAllowanceSeconds);
}

/// Requirements of a job's direct and transitive dependents.
struct InheritedDemand {
    Priority priority = Priority::best_effort;  ///< highest priority among the job and its dependents
    /// Wall clock: when the job should be done; absent if neither the job nor a dependent has a deadline. A
    /// deadline that would be missed even by short runs is replaced by a later one, as for jobs without
    /// pipelines.
    std::optional<Micros> due;
    std::optional<Micros> latest_start;  ///< wall clock: when the job should start; present if `due` is
};

/// A waiting job that will be released when its dependencies are done.
struct UpcomingRelease {
    const JobEntry* entry = nullptr;  ///< valid until the job is erased from the job table
    Micros earliest_release{};        ///< wall clock: the earliest possible release time
};

/// Inherited demands and upcoming releases of all pipelines at one point in time.
class PipelineSchedule {
  public:
    PipelineSchedule() = default;
    /// Builds the schedule. Cancelled jobs and jobs that depend on a cancelled job impose no demands on their
    /// dependencies, nor do jobs on a dependency cycle or downstream of one: none of them can ever start.
    static PipelineSchedule build(const JobTable& job_table, const std::vector<Objective>& objectives,
                                  Micros wall_clock_now);

    /// Returns the demand that the job inherits, or null if no job that can run depends on it.
    const InheritedDemand* find(const std::string& job) const;
    /// Inherited demands by job id.
    const std::unordered_map<std::string, InheritedDemand>& demands() const { return demands_; }
    /// Waiting jobs that can still be released and whose dependencies are known.
    const std::vector<UpcomingRelease>& upcoming() const { return upcoming_; }

  private:
    std::unordered_map<std::string, InheritedDemand> demands_;  // by job
    std::vector<UpcomingRelease> upcoming_;
};

/// Returns the job's own priority or the inherited one if that is higher. `pipelines` may be null.
Priority effective_priority(const Job& job, const PipelineSchedule* pipelines);

}  // namespace hatchwind::core
