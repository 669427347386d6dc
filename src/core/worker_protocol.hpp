/// Messages between workers and controllers: heartbeats with the status of each task, and commands. The names
/// used on the wire are defined in `wire/field_names.hpp`.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hatchwind::core {

/// State of a task on its worker. Controllers exchange the numeric values, so they must not change.
enum class TaskState : std::uint8_t {
    fetching,  ///< fetching its image
    waiting,   ///< waiting for the other tasks of its gang
    running,
    saving,  ///< writing a checkpoint after a stop command
    exited,  ///< exited; listed until a controller acknowledges the exit
};

/// Why a task exited. Controllers exchange the numeric values, so they must not change.
enum class ExitCause : std::uint8_t {
    none,     ///< not exited
    done,     ///< completed its work
    stopped,  ///< stopped by a command
    peers,    ///< another task of its gang exited
    alone,    ///< the gang was not complete before the timeout
    error,    ///< the task failed, or the cause is not known to this version
    no_room,  ///< start refused: insufficient free capacity on the machine
    busy,     ///< start refused: another attempt of the task is still on the machine
    unknown,  ///< the worker does not know the attempt
};

/// Status of one attempt in a heartbeat.
struct TaskStatus {
    std::string job;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    TaskState state = TaskState::fetching;
    ExitCause cause = ExitCause::none;
    bool saved = false;  ///< a checkpoint exists
    friend bool operator==(const TaskStatus&, const TaskStatus&) = default;
};

/// A worker's full status. The heartbeats of a machine are ordered by (incarnation, heartbeat_sequence).
struct WorkerHeartbeat {
    std::string machine;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint64_t incarnation = 0;         ///< incremented whenever the worker drops all its tasks
    std::uint64_t heartbeat_sequence = 0;  ///< incremented with each heartbeat of an incarnation
    std::uint64_t fencing_token = 0;       ///< highest fencing token that the worker has seen
    std::optional<double> notice_s;  ///< seconds until the cloud reclaims the machine; absent: no notice
    std::vector<TaskStatus> tasks;
};

/// Action that a command requests for an attempt.
enum class CommandKind : std::uint8_t { start, stop, acknowledge_exit };

/// A command about one attempt.
struct WorkerCommand {
    CommandKind kind = CommandKind::start;
    std::string job;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    double grace_s = 0;  ///< only for `stop`: time for writing a checkpoint; 0: stop immediately
};

}  // namespace hatchwind::core
