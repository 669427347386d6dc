#include "wire/user_api.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>
#include <vector>

#include "wire/field_reader.hpp"
#include "wire/identifiers.hpp"

namespace hatchwind::wire {

namespace {

namespace field = names::user;

constexpr std::size_t kMostNameBytes = 256;

constexpr std::array kKinds = {
    std::pair{std::string_view(field::kKindArray), core::JobKind::array},
    std::pair{std::string_view(field::kKindGang), core::JobKind::gang},
    std::pair{std::string_view(field::kKindService), core::JobKind::service},
};
constexpr std::array kPriorities = {
    std::pair{std::string_view(field::kPriorityProduction), core::Priority::production},
    std::pair{std::string_view(field::kPriorityHigh), core::Priority::high},
    std::pair{std::string_view(field::kPriorityNormal), core::Priority::normal},
    std::pair{std::string_view(field::kPriorityBestEffort), core::Priority::best_effort},
};

std::string read_name(FieldReader& fields, const char* name) { return fields.text(name, 1, kMostNameBytes); }

double read_amount(FieldReader& fields, const char* name) { return fields.number(name, 0, kMostAmount); }

// The value that a table gives for the name; its first one after an error.
template <class Table>
auto read_choice(FieldReader& fields, const char* name, const Table& table) {
    const std::string chosen = read_name(fields, name);
    const auto* const entry =
        std::find_if(table.begin(), table.end(), [&](const auto& known) { return known.first == chosen; });
    if (entry != table.end()) return entry->second;
    fields.fail(name, "one of the known names");
    return table.front().second;
}

std::string read_job_id(FieldReader& fields) {
    std::string id = read_name(fields, field::kId);
    if (!is_job_id(id)) fields.fail(field::kId, "a job id");
    return id;
}

core::Resources read_resources(FieldReader& fields) {
    core::Resources resources;
    resources.cpus = read_amount(fields, field::kCpus);
    resources.gpus = read_amount(fields, field::kGpus);
    resources.memory_gb = read_amount(fields, field::kMemoryGb);
    return resources;
}

std::vector<std::string> read_dependencies(FieldReader& fields, const std::string& own_id) {
    auto ids = fields.optional_text_list(field::kDependencies).value_or(std::vector<std::string>{});
    const auto acceptable = [&](const std::string& id) { return is_job_id(id) && id != own_id; };
    if (!std::all_of(ids.begin(), ids.end(), acceptable))
        fields.fail(field::kDependencies, "ids of other jobs");
    std::sort(ids.begin(), ids.end());
    ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
    return ids;
}

}  // namespace

Decoded<core::Job> parse_submission(const Json& body) {
    if (!body.is_object()) return DecodeError{kWholeBody, "a map"};
    FieldReader fields(body);
    core::Job job;
    // In the order in which wrong fields are told to users.
    job.id = read_job_id(fields);
    job.job_class = read_name(fields, field::kJobClass);
    job.team = read_name(fields, field::kTeam);
    job.kind = read_choice(fields, field::kKind, kKinds);
    job.priority = read_choice(fields, field::kPriority, kPriorities);
    job.tasks = static_cast<std::uint32_t>(fields.whole(field::kTasks, 1, kMostTasks));
    job.resources = read_resources(fields);
    job.image = read_name(fields, field::kImage);
    job.image_gb = read_amount(fields, field::kImageGb);
    job.types = fields.optional_text_list(field::kMachineTypes);
    job.zone = fields.optional_text(field::kZone);
    job.one_zone = fields.flag(field::kOneZone);
    job.spread = fields.flag(field::kSpread);
    job.spot = fields.flag(field::kSpot);
    job.estimate_s = read_amount(fields, field::kEstimateS);
    job.checkpoint_s = read_amount(fields, field::kCheckpointS);
    job.save_s = read_amount(fields, field::kSaveS);
    job.deadline_s = fields.optional_number(field::kDeadlineS, 0, kMostAmount);
    job.dependencies = read_dependencies(fields, job.id);
    return fields.result(std::move(job));
}

std::string submitted_id(const Json& body) { return text(body, field::kId).value_or(""); }

Json job_answer(const std::string& id, JobStatus status) {
    return {{field::kId, id}, {field::kStatus, status_name(status)}};
}

Json job_answer(const std::string& id, JobStatus status, std::uint32_t done, std::uint32_t running) {
    return {{field::kId, id},
            {field::kStatus, status_name(status)},
            {field::kDone, done},
            {field::kRunning, running}};
}

Json error_answer(const std::string& reason) { return {{field::kError, reason}}; }

Json error_answer(const DecodeError& error) {
    return error_answer("invalid field " + std::string(error.field));
}

}  // namespace hatchwind::wire
