/// Pipelines (chains of dependent jobs): the priority that a job inherits from its dependents, and the time
/// by which it should be done so that the last job of its pipeline can still meet its deadline. A pure
/// function of the job table; time and memory are linear in the number of waiting jobs and their
/// dependencies.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/job_table.hpp"
#include "core/team.hpp"

namespace hatchwind::core {

/// Users' estimates are often wrong by half.
constexpr double kEstimateSafetyFactor = 1.5;
/// For each stage of a path: its release, its commit, the fetch of its image and the report of its end.
constexpr double kStageStartAllowanceSeconds = 5.0;

/// What the job takes of the time that is left to its pipeline.
constexpr Micros planned_stage_time(const Job& job) {
    return from_seconds(job.estimate_s * kEstimateSafetyFactor + kStageStartAllowanceSeconds);
}

/// What the direct and indirect dependents of a job require of it.
struct InheritedDemand {
    Priority priority = Priority::best_effort;  ///< the highest, the job's own included
    /// Wall clock by which it should be done; none when no job behind it has a deadline. A deadline that even
    /// short runs would miss is replaced by a later one, as for jobs without pipelines.
    std::optional<Micros> due;
    std::optional<Micros> latest_start;  ///< wall clock; present with `due`
};

/// A waiting job that will be released once its dependencies are done.
struct UpcomingRelease {
    const JobEntry* entry = nullptr;  ///< lives as long as the job table's record
    Micros soonest{};                 ///< wall clock: when that may be, if all goes well
};

/// What is known of all pipelines at one time.
class PipelineSchedule {
  public:
    PipelineSchedule() = default;
    /// Jobs that are cancelled, or that depend on one which is, require nothing of others; neither do jobs on
    /// a dependency cycle or behind one, since none of them can ever start.
    static PipelineSchedule build(const JobTable& job_table, const std::vector<Objective>& objectives,
                                  Micros wall_clock_now);

    /// Null for a job without dependents.
    const InheritedDemand* find(const std::string& job) const;
    /// What jobs inherit from their dependents, by job.
    const std::unordered_map<std::string, InheritedDemand>& demands() const { return demands_; }
    /// The waiting jobs that can still be released and whose dependencies are known.
    const std::vector<UpcomingRelease>& upcoming() const { return upcoming_; }

  private:
    std::unordered_map<std::string, InheritedDemand> demands_;  // by job
    std::vector<UpcomingRelease> upcoming_;
};

/// The job's own priority, or the higher one that it inherits. `pipelines` may be null.
Priority effective_priority(const Job& job, const PipelineSchedule* pipelines);

}  // namespace hatchwind::core
