#include "wire/records.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

#include "wire/field_names.hpp"
#include "wire/field_reader.hpp"
#include "wire/identifiers.hpp"

namespace hatchwind::wire {

namespace {

namespace field = names::record;

// In alphabetical order, to be searched.
constexpr std::array<std::string_view, 23> kJobFields = {field::kAcceptedUs,
                                                         field::kDependencyList,
                                                         field::kDependencyParts,
                                                         field::kDependencies,
                                                         field::kCancelled,
                                                         field::kJobClass,
                                                         field::kCheckpointS,
                                                         field::kCpus,
                                                         field::kDeadlineS,
                                                         field::kEstimateS,
                                                         field::kFlags,
                                                         field::kGpus,
                                                         field::kImageGb,
                                                         field::kImage,
                                                         field::kKind,
                                                         field::kTeamOnceReleased,
                                                         field::kMemoryGb,
                                                         field::kPriority,
                                                         field::kSaveS,
                                                         field::kTasks,
                                                         field::kTeam,
                                                         field::kTypes,
                                                         field::kZone};
constexpr std::array<std::string_view, 5> kEpochFields = {field::kLeader, field::kMembers, field::kNumber,
                                                          field::kShardOwners, field::kRemovedUs};
static_assert(std::is_sorted(kJobFields.begin(), kJobFields.end()));
static_assert(std::is_sorted(kEpochFields.begin(), kEpochFields.end()));

// Bits of `kFlags`.
constexpr std::uint64_t kFlagOneZone = 1;
constexpr std::uint64_t kFlagSpread = 2;
constexpr std::uint64_t kFlagSpot = 4;

constexpr auto kMostKind = static_cast<std::uint64_t>(core::JobKind::service);
constexpr auto kMostPriority = static_cast<std::uint64_t>(core::Priority::production);

// Limited to core::kMaxMicros: far beyond it, the time would be written back as a negative number, which no
// reader accepts (DecoderFuzz.RecordsOfTheCluster).
core::Micros from_micros(std::uint64_t micros) {
    constexpr auto kLimit = static_cast<std::uint64_t>(core::kMaxMicros.count());
    return core::Micros{static_cast<std::int64_t>(std::min(micros, kLimit))};
}

// The fields that are not among those known, in CBOR; empty without any.
template <std::size_t size>
std::string unknown_fields(const std::array<std::string_view, size>& known, const Json& record) {
    Json unknown = Json::object();
    for (const auto& [name, value] : record.items()) {
        if (!std::binary_search(known.begin(), known.end(), std::string_view(name))) unknown[name] = value;
    }
    return unknown.empty() ? std::string{} : encode(unknown);
}

void add_unknown_fields(Json& record, const std::string& fields) {
    if (fields.empty()) return;
    const std::optional<Json> unknown = decode_stored(fields);
    if (!unknown || !unknown->is_object()) return;
    for (const auto& [name, value] : unknown->items()) record.emplace(name, value);
}

std::uint64_t job_flags(const core::Job& job) {
    return (job.one_zone ? kFlagOneZone : 0) | (job.spread ? kFlagSpread : 0) | (job.spot ? kFlagSpot : 0);
}

void add_dependencies(Json& record, const core::Job& job) {
    record[field::kDependencies] = job.dependencies;
    record[field::kTeamOnceReleased] = job.team_once_released;
    if (job.dependency_parts == 0) return;
    record[field::kDependencies] = Json::array();
    record[field::kDependencyList] = job.dependency_list;
    record[field::kDependencyParts] = job.dependency_parts;
}

void read_dependencies(FieldReader& fields, const Json& record, core::Job& job) {
    job.dependencies = fields.optional_text_list(field::kDependencies).value_or(std::vector<std::string>{});
    job.team_once_released = text(record, field::kTeamOnceReleased).value_or("");
    job.dependency_list = text(record, field::kDependencyList).value_or("");
    job.dependency_parts = static_cast<std::uint32_t>(whole(record, field::kDependencyParts).value_or(0));
}

void read_flags(FieldReader& fields, core::Job& job) {
    const std::uint64_t flags = fields.whole(field::kFlags);
    job.one_zone = (flags & kFlagOneZone) != 0;
    job.spread = (flags & kFlagSpread) != 0;
    job.spot = (flags & kFlagSpot) != 0;
}

// The attempts of one machine and incarnation, as in "70.3,71.4": task and number of the attempt.
struct TaskAttempt {
    std::uint32_t task = 0;
    std::uint64_t number = 0;
};

// Takes the first attempt off the text; nothing when it does not begin with one.
std::optional<TaskAttempt> take_attempt(std::string_view& rest) {
    TaskAttempt attempt;
    const char* const end = rest.data() + rest.size();
    const auto task = std::from_chars(rest.data(), end, attempt.task);
    if (task.ec != std::errc{} || task.ptr == end || *task.ptr != '.') return std::nullopt;
    const auto number = std::from_chars(task.ptr + 1, end, attempt.number);
    if (number.ec != std::errc{}) return std::nullopt;
    rest.remove_prefix(static_cast<std::size_t>(number.ptr - rest.data()));
    return attempt;
}

// Takes the comma off the text; it stands only between two attempts.
bool take_separator(std::string_view& rest) {
    if (rest.empty()) return true;
    if (rest.front() != ',' || rest.size() == 1) return false;
    rest.remove_prefix(1);
    return true;
}

// Adds what [machine, incarnation, attempts] names. False when it is malformed or names a task twice.
bool read_attempts_of_machine(const Json& entry, std::map<std::uint32_t, core::Attempt>& open) {
    if (!entry.is_array() || entry.size() != 3) return false;
    const Json& machine = entry[0];
    const Json& incarnation = entry[1];
    const Json& attempts = entry[2];
    if (!machine.is_string() || !incarnation.is_number_unsigned() || !attempts.is_string()) return false;
    std::string_view rest = attempts.get_ref<const std::string&>();
    while (!rest.empty()) {
        const auto attempt = take_attempt(rest);
        if (!attempt || !take_separator(rest)) return false;
        core::Attempt opened{attempt->number, machine.get<std::string>(), incarnation.get<std::uint64_t>()};
        if (!open.try_emplace(attempt->task, std::move(opened)).second) return false;
    }
    return true;
}

// Adds a range [first, last] of tasks.
bool read_done_range(const Json& range, core::RangeSet& done) {
    if (!range.is_array() || range.size() != 2) return false;
    if (!range[0].is_number_unsigned() || !range[1].is_number_unsigned()) return false;
    const auto first = range[0].get<std::uint64_t>();
    const auto last = range[1].get<std::uint64_t>();
    if (first > last || last >= kMostTasks) return false;
    done.insert(static_cast<std::uint32_t>(first), static_cast<std::uint32_t>(last));
    return true;
}

Json done_ranges(const core::RangeSet& done) {
    Json ranges = Json::array();
    for (const auto& [first, last] : done.ranges()) ranges.push_back({first, last});
    return ranges;
}

// By machine and incarnation, since a job's tasks share machines: [machine, incarnation, "task.attempt,..."].
// The size of what is written decides how many jobs share a write, and of what is read how long that takes.
Json open_attempts(const std::map<std::uint32_t, core::Attempt>& open) {
    std::map<std::pair<std::string_view, std::uint64_t>, std::string> by_machine;
    for (const auto& [task, attempt] : open) {
        std::string& attempts = by_machine[{attempt.machine, attempt.incarnation}];
        if (!attempts.empty()) attempts += ',';
        attempts += std::to_string(task) + '.' + std::to_string(attempt.number);
    }
    Json entries = Json::array();
    for (auto& [worker, attempts] : by_machine)
        entries.push_back({worker.first, worker.second, std::move(attempts)});
    return entries;
}

std::vector<core::Member> read_members(FieldReader& fields) {
    std::vector<core::Member> members;
    for (const auto& member : fields.list(field::kMembers)) {
        if (!member.is_array() || member.size() != 2 || !member[0].is_string() ||
            !member[1].is_number_unsigned()) {
            fields.fail(field::kMembers, "pairs of a label and a store lease");
            return {};
        }
        members.push_back({member[0].get<std::string>(), member[1].get<std::uint64_t>()});
    }
    return members;
}

// The map under the key, as a part of the record; null when it is missing or no map.
const Json* map_under(const Json& record, const char* key) {
    if (!record.is_object()) return nullptr;
    const auto found = record.find(key);
    return found != record.end() && found->is_object() ? &*found : nullptr;
}

std::map<std::string, std::string> read_shard_owners(FieldReader& fields, const Json& record) {
    constexpr const char* kExpected = "labels by team";
    std::map<std::string, std::string> owners;
    const Json* teams = map_under(record, field::kShardOwners);
    if (teams == nullptr) {
        fields.fail(field::kShardOwners, kExpected);
        return owners;
    }
    for (const auto& [team, owner] : teams->items()) {
        if (owner.is_string()) {
            owners[team] = owner.get<std::string>();
        } else {
            fields.fail(field::kShardOwners, kExpected);
        }
    }
    return owners;
}

}  // namespace

Json job_record(const core::Job& job) {
    Json record{{field::kJobClass, job.job_class},
                {field::kTeam, job.team},
                {field::kKind, static_cast<int>(job.kind)},
                {field::kPriority, static_cast<int>(job.priority)},
                {field::kTasks, job.tasks},
                {field::kCpus, job.resources.cpus},
                {field::kGpus, job.resources.gpus},
                {field::kMemoryGb, job.resources.memory_gb},
                {field::kImage, job.image},
                {field::kImageGb, job.image_gb},
                {field::kFlags, job_flags(job)},
                {field::kEstimateS, job.estimate_s},
                {field::kCheckpointS, job.checkpoint_s},
                {field::kSaveS, job.save_s},
                {field::kAcceptedUs, job.accepted.count()}};
    if (job.types) record[field::kTypes] = *job.types;
    if (job.zone) record[field::kZone] = *job.zone;
    if (job.deadline_s) record[field::kDeadlineS] = *job.deadline_s;
    if (job.cancelled) record[field::kCancelled] = job.cancelled_at.count();
    if (job.waiting()) add_dependencies(record, job);
    add_unknown_fields(record, job.unknown_fields);
    return record;
}

Decoded<core::Job> parse_job_record(const std::string& id, const Json& record) {
    FieldReader fields(record);
    core::Job job;
    job.id = id;
    job.job_class = fields.text(field::kJobClass);
    job.team = fields.text(field::kTeam);
    job.kind = static_cast<core::JobKind>(fields.whole(field::kKind, 0, kMostKind));
    job.priority = static_cast<core::Priority>(fields.whole(field::kPriority, 0, kMostPriority));
    job.tasks = static_cast<std::uint32_t>(fields.whole(field::kTasks, 1, kMostTasks));
    job.resources.cpus = fields.number(field::kCpus);
    job.resources.gpus = number(record, field::kGpus).value_or(0);
    job.resources.memory_gb = number(record, field::kMemoryGb).value_or(0);
    job.image = text(record, field::kImage).value_or("");
    job.image_gb = number(record, field::kImageGb).value_or(0);
    read_flags(fields, job);
    job.estimate_s = number(record, field::kEstimateS).value_or(0);
    job.checkpoint_s = number(record, field::kCheckpointS).value_or(0);
    job.save_s = number(record, field::kSaveS).value_or(0);
    job.accepted = from_micros(fields.whole(field::kAcceptedUs));
    job.types = fields.optional_text_list(field::kTypes);
    job.zone = text(record, field::kZone);
    job.deadline_s = number(record, field::kDeadlineS);
    read_dependencies(fields, record, job);
    if (const auto cancelled_us = whole(record, field::kCancelled)) {
        job.cancelled = true;
        job.cancelled_at = from_micros(*cancelled_us);
    }
    if (!fields.failed()) job.unknown_fields = unknown_fields(kJobFields, record);
    return fields.result(std::move(job));
}

Json job_ids_record(const std::vector<std::string>& ids) {
    // Without the prefix that all have: the size counts.
    std::string joined;
    for (const auto& id : ids) {
        if (!joined.empty()) joined += ',';
        joined += std::string_view(id).substr(kJobIdPrefix.size());
    }
    return {{field::kIds, std::move(joined)}};
}

Decoded<std::vector<std::string>> parse_job_ids_record(const Json& record) {
    const DecodeError malformed{field::kIds, "numbers of jobs, separated by commas"};
    const auto joined = text(record, field::kIds);
    if (!joined) return malformed;
    std::vector<std::string> ids;
    for (std::size_t from = 0; from <= joined->size();) {
        const std::size_t end = std::min(joined->find(',', from), joined->size());
        ids.push_back(std::string(kJobIdPrefix) + joined->substr(from, end - from));
        if (!is_job_id(ids.back())) return malformed;
        from = end + 1;
    }
    return ids;
}

Json chunk_record(const core::Chunk& chunk) {
    return {{field::kDoneTasks, done_ranges(chunk.done)},
            {field::kOpenAttempts, open_attempts(chunk.open)},
            {field::kLastAttempt, chunk.last_attempt}};
}

Decoded<core::Chunk> parse_chunk_record(const Json& record, core::Revision mod_revision) {
    FieldReader fields(record);
    core::Chunk chunk;
    chunk.mod_revision = mod_revision;
    chunk.last_attempt = fields.whole(field::kLastAttempt);
    for (const auto& range : fields.list(field::kDoneTasks)) {
        if (!read_done_range(range, chunk.done))
            return DecodeError{field::kDoneTasks, "ranges of indices of tasks"};
    }
    for (const auto& entry : fields.list(field::kOpenAttempts)) {
        if (!read_attempts_of_machine(entry, chunk.open))
            return DecodeError{field::kOpenAttempts, "attempts by machine and incarnation"};
    }
    return fields.result(std::move(chunk));
}

Json page_record(const std::map<core::ChunkKey, const core::Chunk*>& chunks) {
    Json content = Json::object();
    for (const auto& [key, chunk] : chunks) content[task_name(key.job, key.number)] = chunk_record(*chunk);
    return {{field::kChunks, std::move(content)}};
}

Decoded<std::map<core::ChunkKey, core::Chunk>> parse_page_record(const Json& record) {
    const DecodeError malformed{field::kChunks, "chunks by job and number"};
    const Json* content = map_under(record, field::kChunks);
    if (content == nullptr) return malformed;
    std::map<core::ChunkKey, core::Chunk> chunks;
    for (const auto& [name, value] : content->items()) {
        auto key = parse_task_name(name);
        if (!key) return malformed;
        auto chunk = parse_chunk_record(value, 0);
        if (!chunk) return chunk.error();
        chunks.emplace(core::ChunkKey{std::move(key->job), key->index}, *std::move(chunk));
    }
    return chunks;
}

Json epoch_record(const core::Epoch& epoch) {
    Json members = Json::array();
    for (const auto& member : epoch.members) members.push_back({member.label, member.store_lease});
    Json record{{field::kNumber, epoch.number},
                {field::kLeader, epoch.leader},
                {field::kMembers, std::move(members)},
                {field::kShardOwners, epoch.shard_owners},
                {field::kRemovedUs, epoch.removed_at.count()}};
    add_unknown_fields(record, epoch.unknown_fields);
    return record;
}

Decoded<core::Epoch> parse_epoch_record(const Json& record, core::Revision mod_revision) {
    FieldReader fields(record);
    core::Epoch epoch;
    epoch.number = fields.whole(field::kNumber);
    epoch.leader = fields.text(field::kLeader);
    epoch.members = read_members(fields);
    epoch.shard_owners = read_shard_owners(fields, record);
    epoch.removed_at = from_micros(fields.whole(field::kRemovedUs));
    epoch.mod_revision = mod_revision;
    if (!fields.failed()) epoch.unknown_fields = unknown_fields(kEpochFields, record);
    return fields.result(std::move(epoch));
}

Json member_record(std::uint64_t store_lease, std::uint64_t capabilities) {
    return {{field::kStoreLease, store_lease}, {field::kCapabilities, capabilities}};
}

core::MemberRecord parse_member_record(const Json& record, core::Revision mod_revision) {
    core::MemberRecord member;
    member.store_lease = whole(record, field::kStoreLease).value_or(0);
    member.mod_revision = mod_revision;
    member.capabilities = whole(record, field::kCapabilities).value_or(0);
    return member;
}

Json names_record(const std::set<std::string>& names) { return {{field::kNames, names}}; }

Decoded<std::set<std::string>> parse_names_record(const Json& record) {
    FieldReader fields(record);
    const auto names = fields.text_list(field::kNames);
    return fields.result(std::set<std::string>(names.begin(), names.end()));
}

Json final_record(JobStatus status, std::uint32_t done) {
    return {{field::kFinalStatus, status_name(status)}, {field::kDone, done}};
}

Decoded<FinalState> parse_final_record(const Json& record) {
    const std::string status = text(record, field::kFinalStatus).value_or("");
    const auto done = static_cast<std::uint32_t>(whole(record, field::kDone).value_or(0));
    for (const JobStatus final_status : {JobStatus::done, JobStatus::cancelled}) {
        if (status == status_name(final_status)) return FinalState{final_status, done};
    }
    return DecodeError{field::kFinalStatus, "a final status"};
}

}  // namespace hatchwind::wire
