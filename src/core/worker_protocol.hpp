/// What workers and controllers send one another: heartbeats with the status of each task, and commands.
/// The wire names are those of `wire/field_names.hpp`.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hatchwind::core {

/// Where a task is on its worker. The numeric values travel between controllers.
enum class TaskState : std::uint8_t {
    fetching,  ///< its image is being fetched
    waiting,   ///< for the other tasks of its gang
    running,
    saving,  ///< received a stop, and writes its checkpoint
    exited,  ///< listed until the controller acknowledges the exit
};

/// Why a task has exited. The numeric values travel between controllers.
enum class ExitCause : std::uint8_t {
    none,     ///< it has not exited
    done,     ///< it finished its work
    stopped,  ///< a command stopped it
    peers,    ///< another task of its gang ended
    alone,    ///< its gang was not complete in time
    error,    ///< the task failed; also every cause that this version does not know
    no_room,  ///< refused: the machine had no free capacity for it
    busy,     ///< refused: another attempt of the task was still there
    unknown,  ///< the worker does not know the attempt
};

/// Status of one attempt in a heartbeat.
struct TaskStatus {
    std::string job;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    TaskState state = TaskState::fetching;
    ExitCause cause = ExitCause::none;
    bool saved = false;  ///< a checkpoint of it exists
    friend bool operator==(const TaskStatus&, const TaskStatus&) = default;
};

/// A worker's full status. (incarnation, heartbeat_sequence) orders the heartbeats of a machine.
struct WorkerHeartbeat {
    std::string machine;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint64_t incarnation = 0;         ///< increases whenever the worker has dropped all its tasks
    std::uint64_t heartbeat_sequence = 0;  ///< increases with each heartbeat of one incarnation
    std::uint64_t fencing_token = 0;       ///< the highest that the worker has seen
    std::optional<double> notice_s;        ///< seconds until the cloud takes the machine away
    std::vector<TaskStatus> tasks;
};

/// What a worker is to do with an attempt.
enum class CommandKind : std::uint8_t { start, stop, acknowledge_exit };

/// A command about one attempt.
struct WorkerCommand {
    CommandKind kind = CommandKind::start;
    std::string job;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    double grace_s = 0;  ///< for a stop: seconds that the task has to write a checkpoint; 0: at once
};

}  // namespace hatchwind::core
