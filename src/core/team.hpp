/// Teams, their quotas and limits, and the service-level objectives of job classes.
#pragma once

#include <string>

namespace hatchwind::core {

/// A team and what it may use. The quota is what its fair share guarantees; the limit is never exceeded.
struct Team {
    std::string name;
    double cpus = 0;      ///< quota, in cores
    double cpus_max = 0;  ///< limit, in cores
    double gpus = 0;      ///< quota, in devices
    double gpus_max = 0;  ///< limit, in devices
};

/// A service-level objective of one job class. The settings give them; kinds that the core reads are "wait"
/// (time until a task starts), "deadline" (multiples of the job's own deadline) and "guarantee" (time until a
/// team gets its quota).
struct Objective {
    std::string kind;
    std::string job_class;
    double within_s = 0;  ///< seconds from acceptance; 0: the objective names no time
    double share = 0;     ///< part of the jobs that have to meet it, from 0 to 1
    double times = 1;     ///< multiple of the deadline; for kind "deadline"
};

}  // namespace hatchwind::core
