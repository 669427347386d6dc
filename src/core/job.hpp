/// Jobs as users submitted them, with what was recorded about them since.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/resources.hpp"
#include "core/time.hpp"

namespace hatchwind::core {

/// How the tasks of a job run: an array's independently of one another, a gang's all at once or not at all, a
/// service's until somebody cancels the job.
enum class JobKind : std::uint8_t { array, gang, service };
/// In ascending order.
enum class Priority : std::uint8_t { best_effort, normal, high, production };

/// The team of a job that waits for others. No settings name it, so that no shard owns, places or counts such
/// a job, and a controller of a version that does not know waiting jobs keeps it as one that is queued.
constexpr const char* kWaitingTeam = "~waiting";

/// A job's record. Times in `..._s` are seconds; `accepted` and `cancelled_at` are times of the wall clock.
struct Job {
    std::string id;
    std::string job_class;  ///< objectives name classes
    std::string team;       ///< kWaitingTeam while the job waits for others
    JobKind kind = JobKind::array;
    Priority priority = Priority::normal;
    std::uint32_t tasks = 1;
    Resources resources;  ///< of each task
    std::string image;
    double image_gb = 0;
    std::optional<std::vector<std::string>> types;  ///< machine types that it may use; all when absent
    std::optional<std::string> zone;                ///< the only zone that it may use
    bool one_zone = false;                          ///< all its tasks in the same zone
    bool spread = false;                            ///< at most half of its tasks in one zone
    bool spot = false;                              ///< may run on spot instances
    double estimate_s = 0;                          ///< run time of a task as the user expects it; 0: unknown
    double checkpoint_s = 0;                        ///< time between checkpoints; 0: it keeps none
    double save_s = 0;                              ///< time that it takes to write one
    std::optional<double> deadline_s;               ///< from acceptance

    Micros accepted{};  ///< wall clock

    /// While the job waits: the jobs that have to be done first, without repeats, and the team that it will
    /// belong to. Empty for all others; the release rewrites the record.
    std::vector<std::string> dependencies;
    std::string team_once_released;
    /// Of a dependency list that is too long for the job's own record: how many records beside it hold the
    /// list, and the name that they have in common. `dependencies` is empty until all of them are known.
    std::string dependency_list;
    std::uint32_t dependency_parts = 0;

    bool cancelled = false;
    Micros cancelled_at{};  ///< wall clock

    /// Fields of the record that this version does not know, as JSON text; empty without any. Kept for the
    /// version that wrote them when this one rewrites the record.
    std::string unknown_fields;

    /// True until the jobs that it depends on are done.
    bool waiting() const { return team == kWaitingTeam; }
    /// A waiting job always has a dependency: with an empty list its dependencies are not known here, and it
    /// must not be released.
    bool dependencies_known() const { return !dependencies.empty(); }
    /// How many of its tasks may run in one zone.
    std::uint32_t zone_cap() const { return spread ? (tasks + 1) / 2 : tasks; }
    /// Its tasks may run on machines of that type.
    bool allows_type(const std::string& type) const {
        return !types || std::find(types->begin(), types->end(), type) != types->end();
    }
};

}  // namespace hatchwind::core
