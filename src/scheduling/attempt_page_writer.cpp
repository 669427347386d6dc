#include "scheduling/attempt_page_writer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "scheduling/page_assignment.hpp"
#include "store/replica.hpp"
#include "store/store_keys.hpp"
#include "wire/job_status.hpp"
#include "wire/records.hpp"

namespace hatchwind::controller {

using io::Micros;

namespace {
// Completions alone wait for company: at first for so long, and while the budget is short for longer.
constexpr Micros kCompletionsWait{4'000'000};
constexpr Micros kCompletionsWaitAtMost{15'000'000};
// Of a team's limit: above it, starts wait for completions to be recorded.
constexpr double kNearLimit = 0.85;
// The JSON form's bytes, about.
constexpr std::size_t kFinishBytes = 300;
constexpr std::size_t kChunkBytes = 60;
constexpr std::size_t kAttemptBytes = 14;  // beside the machine's name
constexpr std::size_t kRangeBytes = 8;
constexpr std::size_t kConditionsOfJobsPerWrite = 3;

template <typename T>
void append(std::vector<T>& to, const std::vector<T>& from) {
    to.insert(to.end(), from.begin(), from.end());
}

std::size_t json_bytes(const core::ChunkKey& key, const core::Chunk& chunk, std::size_t longest_name) {
    return kChunkBytes + key.job.size() + chunk.open.size() * (longest_name + kAttemptBytes) +
           chunk.done.ranges().size() * kRangeBytes;
}
}  // namespace

std::vector<WriteUnit> AttemptPageWriter::units(StagedRecords& staged, Micros now) {
    std::vector<WriteUnit> units;
    const JobSet ending(staged.finished.begin(), staged.finished.end());
    for (const auto& job : staged.finished) units.push_back(finish_unit(job, staged));
    std::erase_if(waiting_since_, [&](const auto& chunk) { return !staged.chunks.contains(chunk.first); });
    if (staged.chunks.empty()) return units;
    const auto assigned = assign_pages(
        {settings_, replicated_.job_table(), workers_.cluster_view(), leadership_}, staged, ending);
    PageKeys taken;
    for (const auto& [page, chunks] : assigned) taken.insert(page);
    for (const auto& [page, chunks] : assigned)
        units.push_back(page_unit(page, chunks, staged, ending, now, taken));
    std::stable_sort(units.begin(), units.end(),
                     [](const WriteUnit& left, const WriteUnit& right) { return left.rank < right.rank; });
    return units;
}

void AttemptPageWriter::written(const std::vector<core::ChunkKey>& chunks) {
    for (const auto& key : chunks) waiting_since_.erase(key);
}

// The end state replaces the job's record in one step. What its pages say of it leaves with their next
// writes.
WriteUnit AttemptPageWriter::finish_unit(const std::string& job, StagedRecords& staged) const {
    const core::JobEntry& entry = *replicated_.job_table().find(job);
    const auto status = entry.job.cancelled ? wire::JobStatus::cancelled : wire::JobStatus::done;
    WriteUnit unit;
    unit.rank = WriteRank::urgent;
    unit.bytes = kFinishBytes;
    unit.conditions.push_back({keys::job(job), entry.mod_revision});
    unit.effects.push_back({keys::job(job), std::nullopt, 0});
    std::uint32_t done = 0;
    for (const auto& [index, chunk] : entry.chunks) {
        const auto record = staged.chunks.find({job, index});
        done += record == staged.chunks.end() ? chunk.done.size() : record->second.chunk.done.size();
    }
    unit.extra.push_back({keys::final(job), wire::final_record(status, done), 0});
    unit.ends.emplace_back(job, FinalState{status, done});
    auto record = staged.chunks.lower_bound({job, 0});
    while (record != staged.chunks.end() && record->first.job == job) {
        append(unit.closed, record->second.closed);
        record = staged.chunks.erase(record);
    }
    return unit;
}

PageContent AttemptPageWriter::known_content(const core::AttemptPageKey& page, const JobSet& ending) const {
    PageContent content;
    const auto known = replicated_.job_table().pages().find(page);
    if (known == replicated_.job_table().pages().end()) return content;
    for (const auto& chunk : known->second.chunks) {
        const core::JobEntry* entry = replicated_.job_table().find(chunk.job);
        if (entry == nullptr || ending.contains(chunk.job)) continue;
        content[chunk] = &entry->chunks.at(chunk.number);
    }
    return content;
}

WriteUnit AttemptPageWriter::page_unit(const core::AttemptPageKey& page,
                                       const std::vector<core::ChunkKey>& chunks, const StagedRecords& staged,
                                       const JobSet& ending, Micros now, PageKeys& taken) {
    WriteUnit unit;
    unit.rank = WriteRank::lowest;
    const auto known = replicated_.job_table().pages().find(page);
    const core::Revision mod_revision =
        known == replicated_.job_table().pages().end() ? 0 : known->second.mod_revision;
    unit.conditions.push_back({keys::page(page), mod_revision});
    PageContent content = known_content(page, ending);
    // Of those that a transaction may have, some are left to the epoch and to the parts of a page that is
    // split.
    const std::size_t most_conditions = kConditionsOfJobsPerWrite * settings_.txn_ops - 1;
    for (const auto& key : chunks) {
        const ChunkRecord& record = staged.chunks.at(key);
        // The next pass takes it.
        if (!record.started.empty() && unit.conditions.size() >= most_conditions) continue;
        add_chunk(unit, key, record, now);
        content[key] = &record.chunk;
    }
    const std::size_t longest_name = workers_.cluster_view().longest_name();
    for (const auto& [key, chunk] : content) unit.bytes += json_bytes(key, *chunk, longest_name);
    add_page(unit, page, content, taken);
    return unit;
}

void AttemptPageWriter::add_page(WriteUnit& unit, const core::AttemptPageKey& page,
                                 const PageContent& content, PageKeys& taken) const {
    const std::size_t limit = settings_.value_limit();
    if (unit.bytes <= limit || page_bytes(content) <= limit) {
        unit.effects.push_back({keys::page(page), wire::page_record(content), 0});
        return;
    }
    const auto parts = split_page(content, limit, settings_.txn_ops);
    spdlog::info("event=page_split page={} bytes={} parts={}", keys::page(page), page_bytes(content),
                 parts.size());
    unit.effects.push_back({keys::page(page), wire::page_record(parts.front()), 0});
    core::AttemptPageKey fresh{page.team, 1};
    for (std::size_t i = 1; i < parts.size(); ++i) {
        while (taken.contains(fresh) || replicated_.job_table().pages().contains(fresh)) ++fresh.number;
        taken.insert(fresh);
        unit.conditions.push_back({keys::page(fresh), 0});
        unit.effects.push_back({keys::page(fresh), wire::page_record(parts[i]), 0});
    }
}

void AttemptPageWriter::add_chunk(WriteUnit& unit, const core::ChunkKey& key, const ChunkRecord& record,
                                  Micros now) {
    const core::JobEntry& entry = *replicated_.job_table().find(key.job);
    const bool production = entry.job.priority == core::Priority::production;
    unit.rank = std::min(unit.rank, rank_of(key, record, production, now));
    if (!record.started.empty()) {
        // A cancel that comes first must keep the start from being recorded; and so must the job's end.
        const wire::Condition condition{keys::job(key.job), entry.mod_revision};
        if (unit.conditions.back() != condition) unit.conditions.push_back(condition);
    }
    unit.chunks.push_back(key);
    append(unit.closed, record.closed);
    append(unit.started, record.started);
}

WriteRank AttemptPageWriter::rank_of(const core::ChunkKey& key, const ChunkRecord& record, bool production,
                                     Micros now) {
    if (!record.started.empty()) return production ? WriteRank::production : WriteRank::start;
    // Ends of tasks alone are told by the worker until they are acknowledged. They wait for company, since
    // each write of a page counts the same however much it says.
    const Micros waited = now - waiting_since_.try_emplace(key, now).first->second;
    if (record.urgent) return production ? WriteRank::production : WriteRank::urgent;
    if (waited <= kCompletionsWait) return WriteRank::completion;
    const bool overdue =
        waited > kCompletionsWaitAtMost || near_limit(replicated_.job_table().find(key.job)->job.team);
    return overdue ? WriteRank::overdue_completion : WriteRank::due_completion;
}

bool AttemptPageWriter::near_limit(const std::string& team) const {
    const auto limits = settings_.teams.find(team);
    if (limits == settings_.teams.end()) return false;
    const core::Resources use = replicated_.job_table().team_use(team);
    return use.cpus > limits->second.cpus_max * kNearLimit ||
           (use.gpus > 0 && use.gpus > limits->second.gpus_max * kNearLimit);
}

}  // namespace hatchwind::controller
