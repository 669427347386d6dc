#include "emulator/protocol.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace hatchwind::emulator {

namespace {
constexpr double rounding = 1e-6;
constexpr std::uint32_t rental_limit = 50;
constexpr std::size_t release_limit = 100;

constexpr std::array form_names{"sweep", "ensemble", "service"};
constexpr std::array priority_names{"prod", "high", "normal", "best_effort"};
constexpr std::array status_names{"queued", "running", "done", "cancelled"};
constexpr std::array state_names{"fetching", "gathering", "running", "flushing", "exited"};
constexpr std::array cause_names{"done",  "stopped", "peers",  "alone",
                                 "error", "no_room", "in_use", "unknown"};
constexpr std::array rental_names{"starting", "running", "failed"};

template <typename Names, typename Value>
const char* name_in(const Names& names, Value value) {
    return names.at(static_cast<std::size_t>(value));
}

std::optional<TaskRef> parse_task(const Json& call) {
    const auto name = wire::text(call, "leg");
    const auto attempt = wire::whole(call, "try");
    if (!name || !attempt) return std::nullopt;
    const auto slash = name->rfind('/');
    if (slash == std::string::npos) return std::nullopt;
    TaskRef task;
    task.job = name->substr(0, slash);
    task.attempt = *attempt;
    const char* end = name->data() + name->size();
    const auto parsed = std::from_chars(name->data() + slash + 1, end, task.index);
    if (parsed.ec != std::errc{} || parsed.ptr != end) return std::nullopt;
    return task;
}
}  // namespace

Resources& Resources::operator+=(const Resources& other) {
    cores += other.cores;
    accelerators += other.accelerators;
    memory_gb += other.memory_gb;
    return *this;
}
Resources& Resources::operator-=(const Resources& other) { return *this += other * -1.0; }
Resources Resources::operator*(double factor) const {
    return {cores * factor, accelerators * factor, memory_gb * factor};
}
bool Resources::fits(const Resources& space) const {
    return cores <= space.cores + rounding && accelerators <= space.accelerators + rounding &&
           memory_gb <= space.memory_gb + rounding;
}

std::uint32_t spread_limit(std::uint32_t tasks) { return (tasks + 1) / 2; }

Json submission(const JobSpec& spec) {
    Json body{{"id", spec.id},
              {"flock", spec.job_class},
              {"crew", spec.team},
              {"form", name_in(form_names, spec.form)},
              {"rank", name_in(priority_names, spec.priority)},
              {"legs", spec.tasks},
              {"cores", spec.per_task.cores},
              {"accelerators", spec.per_task.accelerators},
              {"memGb", spec.per_task.memory_gb},
              {"plate", spec.image},
              {"sizeGb", spec.image_gb},
              {"builds", nullptr},
              {"roost", nullptr},
              {"oneZone", spec.one_zone},
              {"spread", spec.spread},
              {"borrowed", spec.spot_allowed},
              {"expectS", spec.expected_s},
              {"markS", spec.checkpoint_s},
              {"stashS", spec.save_s},
              {"dueS", nullptr}};
    if (spec.machine_types) body["builds"] = *spec.machine_types;
    if (spec.zone) body["roost"] = *spec.zone;
    if (spec.deadline_s) body["dueS"] = *spec.deadline_s;
    return body;
}

const char* status_name(JobStatus status) { return name_in(status_names, status); }

std::optional<JobStatus> parse_status(const Json& answer) {
    const auto text = wire::text(answer, "status");
    if (!text) return std::nullopt;
    const auto* const found = std::find(status_names.begin(), status_names.end(), *text);
    if (found == status_names.end()) return std::nullopt;
    return static_cast<JobStatus>(found - status_names.begin());
}

std::string TaskRef::name() const { return job + "/" + std::to_string(index); }

const char* state_name(TaskState state) { return name_in(state_names, state); }
const char* cause_name(ExitCause cause) { return name_in(cause_names, cause); }

Json report_body(const Report& report) {
    Json legs = Json::array();
    for (const TaskStatus& status : report.tasks) {
        Json leg{
            {"leg", status.task.name()}, {"try", status.task.attempt}, {"status", state_name(status.state)}};
        if (status.state == TaskState::exited) {
            leg["cause"] = cause_name(status.cause);
            if (status.progress_saved) leg["kept"] = true;
        }
        legs.push_back(std::move(leg));
    }
    Json body{{"perch", report.machine},
              {"address", report.address},
              {"build", report.type},
              {"roost", report.zone},
              {"borrowed", report.spot},
              {"stint", report.incarnation},
              {"tick", report.heartbeat_sequence},
              {"baton", report.fencing_token},
              {"warningS", nullptr},
              {"legs", std::move(legs)}};
    if (report.notice_s) body["warningS"] = *report.notice_s;
    return body;
}

CommandBatch parse_commands(const Json& body) {
    CommandBatch batch;
    if (!body.is_object()) return batch;
    batch.fencing_token = wire::whole(body, "baton");
    batch.incarnation = wire::whole(body, "stint");
    const Json* calls = wire::list(body, "calls");
    if (calls == nullptr) return batch;
    for (const Json& call : *calls) {
        const auto kind = wire::text(call, "call");
        const auto task = parse_task(call);
        if (!kind || !task) continue;
        if (*kind == "start") batch.commands.emplace_back(StartCommand{*task});
        if (*kind == "reap") batch.commands.emplace_back(ReapCommand{*task});
        if (*kind == "halt") {
            batch.commands.emplace_back(HaltCommand{*task, wire::number(call, "settleS").value_or(0)});
        }
    }
    return batch;
}

std::optional<std::string> parse_home(const Json& body) {
    return body.is_object() ? wire::text(body, "home") : std::nullopt;
}

Json catalog_entry(const MachineType& type, double spot_price) {
    return {{"name", type.name},
            {"cores", type.size.cores},
            {"accelerators", type.size.accelerators},
            {"memGb", type.size.memory_gb},
            {"localGb", type.cache_gb},
            {"fetchGbPerS", type.fetch_gb_per_s},
            {"price", type.price},
            {"marketPrice", spot_price},
            {"startupS", type.boot_s},
            {"roosts", type.zones}};
}

std::optional<RentalRequest> parse_rental(const Json& body) {
    if (!body.is_object()) return std::nullopt;
    const auto name = wire::text(body, "ask");
    const auto type = wire::text(body, "build");
    const auto zone = wire::text(body, "roost");
    const auto spot = wire::flag(body, "borrowed");
    const auto number = wire::whole(body, "number");
    if (!name || !type || !zone || !spot || !number) return std::nullopt;
    if (name->empty() || *number == 0 || *number > rental_limit) return std::nullopt;
    return RentalRequest{*name, *type, *zone, *spot, static_cast<std::uint32_t>(*number)};
}

Json rented_answer(const std::vector<std::string>& machines) { return {{"perches", machines}}; }

std::optional<std::vector<std::string>> parse_release(const Json& body) {
    const Json* names = body.is_object() ? wire::list(body, "perches") : nullptr;
    if (names == nullptr || names->size() > release_limit) return std::nullopt;
    std::vector<std::string> machines;
    for (const Json& name : *names) {
        if (!name.is_string()) return std::nullopt;
        machines.push_back(name.get<std::string>());
    }
    return machines;
}

Json rental_page(const std::vector<RentalLine>& lines, bool more) {
    Json list = Json::array();
    for (const RentalLine& line : lines) {
        list.push_back({{"id", line.id},
                        {"address", line.address},
                        {"build", line.type},
                        {"roost", line.zone},
                        {"borrowed", line.spot},
                        {"status", name_in(rental_names, line.status)},
                        {"heldS", line.held_s}});
    }
    return {{"perches", std::move(list)}, {"hasNext", more}};
}

std::string query_value(std::string_view target, std::string_view name) {
    const auto question = target.find('?');
    if (question == std::string_view::npos) return "";
    std::string_view rest = target.substr(question + 1);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return std::string{pair.substr(equals + 1)};
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return "";
}

}  // namespace hatchwind::emulator
