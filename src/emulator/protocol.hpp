// The protocol's shapes and wire names as the outside systems see them. Deliberately separate from src/wire:
// a mistake in the service's reading of the protocol must not be repeated by the models that judge it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "wire/cbor.hpp"

namespace hatchwind::emulator {

using wire::Json;

/// What a task takes, or what a machine has.
struct Resources {
    double cores = 0;
    double accelerators = 0;
    double memory_gb = 0;

    Resources& operator+=(const Resources& other);
    Resources& operator-=(const Resources& other);
    Resources operator*(double factor) const;
    /// True when it fits into `space`, less the rounding of sums.
    bool fits(const Resources& space) const;
};

/// Largest amounts that a team's tasks may use at any time.
struct TeamLimit {
    double cores = 0;
    double accelerators = 0;
};

enum class JobForm : std::uint8_t { array, gang, service };
enum class Priority : std::uint8_t { production, high, normal, best_effort };
enum class JobStatus : std::uint8_t { queued, running, done, cancelled };

/// A job as its user describes it.
struct JobSpec {
    std::string id;
    std::string job_class;
    std::string team;
    JobForm form = JobForm::array;
    Priority priority = Priority::normal;
    std::uint32_t tasks = 1;
    Resources per_task;
    std::string image;
    double image_gb = 0;
    std::optional<std::vector<std::string>> machine_types;  // none: any
    std::optional<std::string> zone;                        // none: any
    bool one_zone = false;
    bool spread = false;
    bool spot_allowed = true;
    double expected_s = 0;
    double checkpoint_s = 0;  // 0: the task never saves
    double save_s = 0;
    std::optional<double> deadline_s;
};

/// The largest number of tasks of one zone that `spread` allows.
std::uint32_t spread_limit(std::uint32_t tasks);

/// Body of a submission.
Json submission(const JobSpec& spec);
const char* status_name(JobStatus status);
std::optional<JobStatus> parse_status(const Json& answer);

/// One attempt to run one task.
struct TaskRef {
    std::string job;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;

    friend auto operator<=>(const TaskRef&, const TaskRef&) = default;
    /// The task's wire name, without the attempt.
    std::string name() const;
};

enum class TaskState : std::uint8_t { fetching, gathering, running, saving, exited };
enum class ExitCause : std::uint8_t { done, stopped, peers, alone, error, no_room, in_use, unknown };
const char* state_name(TaskState state);
const char* cause_name(ExitCause cause);

/// A task in a worker's report.
struct TaskStatus {
    TaskRef task;
    TaskState state = TaskState::fetching;
    ExitCause cause = ExitCause::done;  // of an exited task
    bool progress_saved = false;
};

/// A worker's report.
struct Report {
    std::string machine;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint64_t incarnation = 1;
    std::uint64_t heartbeat_sequence = 0;
    std::uint64_t fencing_token = 0;
    std::optional<double> notice_s;
    std::vector<TaskStatus> tasks;
};
Json report_body(const Report& report);

struct StartCommand {
    TaskRef task;
};
struct HaltCommand {
    TaskRef task;
    double grace_s = 0;
};
struct ReapCommand {
    TaskRef task;
};
using Command = std::variant<StartCommand, HaltCommand, ReapCommand>;

/// Commands with the fencing token that entitles them; missing fields stay empty.
struct CommandBatch {
    std::optional<std::uint64_t> fencing_token;
    std::optional<std::uint64_t> incarnation;  // in direct commands only
    std::vector<Command> commands;             // those that are well formed, in order
};
CommandBatch parse_commands(const Json& body);
/// The node that a 421 names.
std::optional<std::string> parse_home(const Json& body);

/// A machine type of the cloud's catalog.
struct MachineType {
    std::string name;
    Resources size;
    double cache_gb = 0;
    double fetch_gb_per_s = 1;
    double price = 0;  // per hour
    double spot_price = 0;
    double boot_s = 30;
    std::vector<std::string> zones;
};
/// `spot_price` is what the call shows at present.
Json catalog_entry(const MachineType& type, double spot_price);

struct RentalRequest {
    std::string name;
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint32_t number = 0;

    friend bool operator==(const RentalRequest&, const RentalRequest&) = default;
};
std::optional<RentalRequest> parse_rental(const Json& body);
Json rented_answer(const std::vector<std::string>& machines);
/// Machine names of a release; nothing when malformed.
std::optional<std::vector<std::string>> parse_release(const Json& body);

enum class RentalStatus : std::uint8_t { starting, running, failed };
/// A line of the machine list.
struct RentalLine {
    std::string id;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    RentalStatus status = RentalStatus::starting;
    double held_s = 0;
};
Json rental_page(const std::vector<RentalLine>& lines, bool more);

/// The value of a query parameter; empty when it is missing.
std::string query_value(std::string_view target, std::string_view name);

}  // namespace hatchwind::emulator
