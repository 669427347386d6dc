/// Teams, their quotas and limits, and the service-level objectives of job classes.
#pragma once

#include <string>

namespace hatchwind::core {

/// A team with its resource quota, which its fair share guarantees, and its limit, which is never exceeded.
struct Team {
    std::string name;
    double cpus = 0;      ///< quota, in cores
    double cpus_max = 0;  ///< limit, in cores
    double gpus = 0;      ///< quota, in devices
    double gpus_max = 0;  ///< limit, in devices
};

/// A service-level objective of a job class, from the settings. The core uses the kinds "wait" (time until a
/// task starts), "deadline" (multiple of the job's own deadline) and "guarantee" (time until a team gets its
/// quota).
struct Objective {
    std::string kind;
    std::string job_class;
    double within_s = 0;           ///< seconds from acceptance; 0: no time limit
    double share = 0;              ///< fraction of jobs that must meet the objective, 0 to 1
    double deadline_multiple = 1;  ///< multiple of the job's deadline; only for kind "deadline"
};

}  // namespace hatchwind::core
