#include "wire/worker_api.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>
#include <utility>

#include "wire/field_names.hpp"
#include "wire/field_reader.hpp"
#include "wire/identifiers.hpp"

namespace hatchwind::wire {

namespace {

namespace field = names::worker;
using core::ExitCause;
using core::TaskState;

constexpr std::array kTaskStates = {
    std::pair{std::string_view(field::kStateFetching), TaskState::fetching},
    std::pair{std::string_view(field::kStateWaiting), TaskState::waiting},
    std::pair{std::string_view(field::kStateRunning), TaskState::running},
    std::pair{std::string_view(field::kStateSaving), TaskState::saving},
    std::pair{std::string_view(field::kStateExited), TaskState::exited},
};
constexpr std::array kExitCauses = {
    std::pair{std::string_view(field::kCauseDone), ExitCause::done},
    std::pair{std::string_view(field::kCauseStopped), ExitCause::stopped},
    std::pair{std::string_view(field::kCausePeers), ExitCause::peers},
    std::pair{std::string_view(field::kCauseAlone), ExitCause::alone},
    std::pair{std::string_view(field::kCauseNoRoom), ExitCause::no_room},
    std::pair{std::string_view(field::kCauseBusy), ExitCause::busy},
    std::pair{std::string_view(field::kCauseUnknown), ExitCause::unknown},
};

template <class Table>
auto find_name(const Table& table, std::string_view name) {
    return std::find_if(table.begin(), table.end(), [&](const auto& known) { return known.first == name; });
}

TaskState read_task_state(FieldReader& fields) {
    const auto* const state = find_name(kTaskStates, fields.text(field::kStatus));
    if (state != kTaskStates.end()) return state->second;
    fields.fail(field::kStatus, "a state of a task");
    return {};
}

// New causes count as failures.
ExitCause read_exit_cause(const Json& status) {
    const auto* const cause = find_name(kExitCauses, text(status, field::kCause).value_or(""));
    return cause == kExitCauses.end() ? ExitCause::error : cause->second;
}

Decoded<core::TaskStatus> parse_task_status(const Json& body) {
    FieldReader fields(body);
    core::TaskStatus status;
    auto name = parse_task_name(fields.text(field::kTask));
    if (!name) return DecodeError{field::kTask, "a job and the index of its task"};
    status.job = std::move(name->job);
    status.task = name->index;
    status.attempt = fields.whole(field::kAttempt);
    status.state = read_task_state(fields);
    if (status.state == TaskState::exited) status.cause = read_exit_cause(body);
    status.saved = flag(body, field::kSaved).value_or(false);
    return fields.result(std::move(status));
}

const char* command_name(core::CommandKind kind) {
    switch (kind) {
        case core::CommandKind::start:
            return field::kCommandStart;
        case core::CommandKind::stop:
            return field::kCommandStop;
        case core::CommandKind::acknowledge_exit:
            return field::kCommandAcknowledgeExit;
    }
    return "";
}

Json command_list(const std::vector<core::WorkerCommand>& commands) {
    Json list = Json::array();
    for (const auto& command : commands) {
        Json item{{field::kCommand, command_name(command.kind)},
                  {field::kTask, task_name(command.job, command.task)},
                  {field::kAttempt, command.attempt}};
        if (command.kind == core::CommandKind::stop) item[field::kGraceS] = command.grace_s;
        list.push_back(std::move(item));
    }
    return list;
}

}  // namespace

Decoded<core::WorkerHeartbeat> parse_worker_heartbeat(const Json& body) {
    FieldReader fields(body);
    core::WorkerHeartbeat heartbeat;
    heartbeat.machine = fields.text(field::kMachine, 1);
    heartbeat.address = fields.text(field::kAddress);
    heartbeat.type = fields.text(field::kMachineType);
    heartbeat.zone = fields.text(field::kZone);
    heartbeat.spot = fields.flag(field::kSpot);
    heartbeat.incarnation = fields.whole(field::kIncarnation);
    heartbeat.heartbeat_sequence = fields.whole(field::kHeartbeatSequence);
    heartbeat.fencing_token = fields.whole(field::kFencingToken);
    heartbeat.notice_s = fields.optional_number(field::kNoticeS);
    if (heartbeat.notice_s) heartbeat.notice_s = std::clamp(*heartbeat.notice_s, 0.0, kMostAmount);
    const Json& tasks = fields.list(field::kTasks);
    if (fields.failed()) return fields.result(std::move(heartbeat));
    heartbeat.tasks.reserve(tasks.size());
    for (const auto& task : tasks) {
        auto status = parse_task_status(task);
        if (!status) return status.error();
        heartbeat.tasks.push_back(*std::move(status));
    }
    return heartbeat;
}

Json heartbeat_response(std::uint64_t fencing_token, const std::vector<core::WorkerCommand>& commands) {
    return {{field::kFencingToken, fencing_token}, {field::kCommands, command_list(commands)}};
}

Json commands_request(std::uint64_t fencing_token, std::uint64_t incarnation,
                      const std::vector<core::WorkerCommand>& commands) {
    return {{field::kFencingToken, fencing_token},
            {field::kIncarnation, incarnation},
            {field::kCommands, command_list(commands)}};
}

Json redirect_response(const std::string& label) {
    if (label.empty()) return Json::object();
    return {{field::kController, label}};
}

}  // namespace hatchwind::wire
