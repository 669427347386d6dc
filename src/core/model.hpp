// What the scheduler knows of the world, in its own terms. No wire names here.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hatchwind::core {

using Micros = std::chrono::microseconds;
// Settings and wire messages give durations in seconds.
constexpr Micros from_seconds(double seconds) {
    constexpr double kMicrosPerSecond = 1e6;
    return Micros{static_cast<std::int64_t>(seconds * kMicrosPerSecond)};
}
using Revision = std::uint64_t;  // a store revision; 0: the key does not exist

constexpr double kResourceTolerance =
    1e-6;  // amounts are decimal fractions: sums of them are compared with this tolerance

enum class JobKind : std::uint8_t { array, gang, service };
enum class Priority : std::uint8_t { best_effort, normal, high, production };

struct Resources {
    double cpus = 0;
    double gpus = 0;
    double memory_gb = 0;

    Resources& operator+=(const Resources& o) {
        cpus += o.cpus;
        gpus += o.gpus;
        memory_gb += o.memory_gb;
        return *this;
    }
    Resources& operator-=(const Resources& o) {
        cpus -= o.cpus;
        gpus -= o.gpus;
        memory_gb -= o.memory_gb;
        return *this;
    }
    friend Resources operator*(Resources a, double k) { return {a.cpus * k, a.gpus * k, a.memory_gb * k}; }
    bool fits_in(const Resources& capacity) const {
        return cpus <= capacity.cpus + kResourceTolerance && gpus <= capacity.gpus + kResourceTolerance &&
               memory_gb <= capacity.memory_gb + kResourceTolerance;
    }
};

// The team of a job that waits for others. No settings name it, so nobody owns, places or counts such a job,
// and a controller of a version that does not know waiting jobs keeps it as one that is queued.
constexpr const char* kWaitingTeam = "~waiting";

struct Job {
    std::string id;
    std::string job_class;
    std::string team;
    JobKind kind = JobKind::array;
    Priority priority = Priority::normal;
    std::uint32_t tasks = 1;
    Resources resources;
    std::string image;
    double image_gb = 0;
    std::optional<std::vector<std::string>> types;
    std::optional<std::string> zone;
    bool one_zone = false;
    bool spread = false;
    bool spot = false;
    double estimate_s = 0;
    double checkpoint_s = 0;
    double save_s = 0;
    std::optional<double> deadline_s;

    Micros accepted{};  // time of day
    // While the job waits: the jobs that have to be done first, without repeats, and the team that it will
    // belong to. Empty for all others; the release rewrites the record.
    std::vector<std::string> dependencies;
    std::string team_once_released;
    // Of a list that is too long for the job's own record: how many records beside it hold the list, and the
    // name that they have in common. `awaits` is empty until all of them are known.
    std::string dependency_list;
    std::uint32_t dependency_parts = 0;

    bool cancelled = false;
    Micros cancelled_at{};  // time of day

    // Fields of the record that this version does not know, as JSON text; empty without any. Kept for the
    // version that wrote them when this one writes the record anew.
    std::string unknown_fields;

    bool waiting() const { return team == kWaitingTeam; }
    // A waiting job always needs something: with an empty list its needs are not known here, and it must not
    // be released.
    bool dependencies_known() const { return !dependencies.empty(); }
    std::uint32_t zone_cap() const { return spread ? (tasks + 1) / 2 : tasks; }
    bool allows_type(const std::string& type) const {
        return !types || std::find(types->begin(), types->end(), type) != types->end();
    }
};

struct Team {
    std::string name;
    double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
};

struct Objective {
    std::string kind;
    std::string job_class;
    double within_s = 0;
    double share = 0;
    double times = 1;
};

struct MachineType {
    std::string name;
    Resources size;
    double cache_gb = 0;
    double fetch_gb_per_s = 1;
    double price = 0;
    double spot_price = 0;
    Micros boot{};
    std::vector<std::string> zones;
};
using Catalog = std::map<std::string, MachineType>;

enum class TaskState : std::uint8_t { fetching, waiting, running, saving, exited };
enum class ExitCause : std::uint8_t { none, done, stopped, peers, alone, error, no_room, busy, unknown };

struct TaskStatus {
    std::string job;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    TaskState state = TaskState::fetching;
    ExitCause cause = ExitCause::none;
    bool saved = false;
    friend bool operator==(const TaskStatus&, const TaskStatus&) = default;
};

struct WorkerHeartbeat {
    std::string machine;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint64_t incarnation = 0;
    std::uint64_t heartbeat_sequence = 0;
    std::uint64_t fencing_token = 0;
    std::optional<double> notice_s;
    std::vector<TaskStatus> tasks;
};

enum class InstanceState : std::uint8_t { booting, running, failed };

struct Instance {
    std::string machine;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    InstanceState state = InstanceState::booting;
    double age_s = 0;
};

enum class CommandKind : std::uint8_t { start, stop, acknowledge_exit };
struct WorkerCommand {
    CommandKind kind = CommandKind::start;
    std::string job;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    double grace_s = 0;
};

}  // namespace hatchwind::core
