/// Job records: a job as submitted, its release from waiting and its cancellation.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/resources.hpp"
#include "core/time.hpp"

namespace hatchwind::core {

/// How the tasks of a job run. Tasks of an array run independently, tasks of a gang all at the same time or
/// not at all, and tasks of a service until the job is cancelled.
enum class JobKind : std::uint8_t { array, gang, service };
/// Scheduling priority, in ascending order.
enum class Priority : std::uint8_t { best_effort, normal, high, production };

/// Placeholder team of a job that waits for its dependencies. The settings never contain this team, so no
/// shard owns, places or counts such a job. Controller versions without support for waiting jobs treat it as
/// queued.
constexpr const char* kWaitingTeam = "~waiting";

/// The record of a job. Fields named `..._s` are in seconds; `accepted` and `cancelled_at` are wall-clock
/// times.
struct Job {
    std::string id;
    std::string job_class;  ///< service-level objectives refer to this class
    std::string team;       ///< kWaitingTeam while the job waits for its dependencies
    JobKind kind = JobKind::array;
    Priority priority = Priority::normal;
    std::uint32_t tasks = 1;
    Resources resources;  ///< required by each task
    std::string image;
    double image_gb = 0;
    std::optional<std::vector<std::string>> types;  ///< allowed machine types; absent: all
    std::optional<std::string> zone;                ///< the only allowed zone; absent: all
    bool one_zone = false;                          ///< all tasks must run in the same zone
    bool spread = false;                            ///< at most half of the tasks (rounded up) in one zone
    bool spot = false;                              ///< may run on spot instances
    double estimate_s = 0;             ///< expected run time of a task, from the user; 0: unknown
    double checkpoint_s = 0;           ///< interval between checkpoints; 0: no checkpoints
    double save_s = 0;                 ///< duration of writing a checkpoint
    std::optional<double> deadline_s;  ///< relative to `accepted`

    Micros accepted{};  ///< wall clock

    /// Only for waiting jobs: ids of the jobs that must be done first, without duplicates, and the team that
    /// the job belongs to after its release. Empty for all other jobs; the release rewrites the record.
    std::vector<std::string> dependencies;
    std::string team_once_released;
    /// Only if the dependency list is too long for the job's own record: the name of the list and the number
    /// of separate records that contain its parts. `dependencies` is empty until all parts are known.
    std::string dependency_list;
    std::uint32_t dependency_parts = 0;

    bool cancelled = false;
    Micros cancelled_at{};  ///< wall clock

    /// Fields of the record that this version does not know, in CBOR; empty if there are none. They are
    /// written back unchanged when this version rewrites the record.
    std::string unknown_fields;

    /// Returns true until the job is released, which requires that all its dependencies are done.
    bool waiting() const { return team == kWaitingTeam; }
    /// Returns true if the dependencies of a waiting job are known. A waiting job has at least one
    /// dependency, so an empty list means that they are unknown and the job must not be released.
    bool dependencies_known() const { return !dependencies.empty(); }
    /// Returns the maximum number of tasks that may run in one zone.
    std::uint32_t max_tasks_per_zone() const { return spread ? (tasks + 1) / 2 : tasks; }
    /// Returns true if tasks of the job may run on machines of the given type.
    bool allows_type(const std::string& type) const {
        return !types || std::find(types->begin(), types->end(), type) != types->end();
    }
};

}  // namespace hatchwind::core
