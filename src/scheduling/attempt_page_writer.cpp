#include "scheduling/attempt_page_writer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "scheduling/page_assignment.hpp"
#include "store/store_keys.hpp"
#include "wire/job_status.hpp"
#include "wire/records.hpp"

namespace hatchwind::controller {

using io::Micros;

namespace {
// A write that records only completions is delayed so that it can be combined with other changes of the same
// page: always by kCompletionDelay, and by up to kMaxCompletionDelay while the write budget is short.
constexpr Micros kCompletionDelay{4'000'000};
constexpr Micros kMaxCompletionDelay{15'000'000};
// Fraction of a team's limit above which its starts depend on completions being recorded.
constexpr double kNearLimitShare = 0.85;
// Estimated sizes in JSON form.
constexpr std::size_t kFinishBytes = 300;
constexpr std::size_t kChunkBytes = 60;
constexpr std::size_t kAttemptBytes = 14;  // without the machine's name
constexpr std::size_t kDoneRangeBytes = 8;
constexpr std::size_t kJobConditionsPerWrite = 3;

template <typename T>
void append(std::vector<T>& to, const std::vector<T>& from) {
    to.insert(to.end(), from.begin(), from.end());
}

std::size_t estimate_bytes(const core::ChunkKey& key, const core::Chunk& chunk,
                           std::size_t longest_machine_name) {
    return kChunkBytes + key.job.size() + chunk.open.size() * (longest_machine_name + kAttemptBytes) +
           chunk.done.ranges().size() * kDoneRangeBytes;
}

std::size_t estimate_bytes(const PageContent& content, std::size_t longest_machine_name) {
    std::size_t sum = 0;
    for (const auto& [key, chunk] : content) sum += estimate_bytes(key, *chunk, longest_machine_name);
    return sum;
}
}  // namespace

std::vector<WriteUnit> AttemptPageWriter::write_units(StagedRecords& staged, Micros monotonic_now) {
    std::vector<WriteUnit> units;
    const JobSet ending_jobs(staged.finished_jobs.begin(), staged.finished_jobs.end());
    for (const auto& job : staged.finished_jobs) units.push_back(finish_unit(job, staged));
    std::erase_if(completion_staged_at_,
                  [&](const auto& waiting) { return !staged.chunks.contains(waiting.first); });
    if (staged.chunks.empty()) return units;
    const AssignedChunks assigned = assign_pages(
        {settings_, replicated_.job_table(), workers_.cluster_view(), leadership_}, staged, ending_jobs);
    PagePass pass{staged, ending_jobs, monotonic_now, {}};
    for (const auto& [page, chunks] : assigned) pass.written_pages.insert(page);
    for (const auto& [page, chunks] : assigned) units.push_back(page_unit(pass, page, chunks));
    std::stable_sort(units.begin(), units.end(),
                     [](const WriteUnit& left, const WriteUnit& right) { return left.rank < right.rank; });
    return units;
}

void AttemptPageWriter::record_committed(const std::vector<core::ChunkKey>& chunks) {
    for (const auto& key : chunks) completion_staged_at_.erase(key);
}

std::uint32_t AttemptPageWriter::done_tasks(const core::JobEntry& entry, const StagedRecords& staged) const {
    std::uint32_t done = 0;
    for (const auto& [number, chunk] : entry.chunks) {
        const auto record = staged.chunks.find({entry.job.id, number});
        done += record == staged.chunks.end() ? chunk.done.size() : record->second.chunk.done.size();
    }
    return done;
}

WriteUnit AttemptPageWriter::finish_unit(const std::string& job, StagedRecords& staged) const {
    const core::JobEntry& entry = *replicated_.job_table().find(job);
    const auto status = entry.job.cancelled ? wire::JobStatus::cancelled : wire::JobStatus::done;
    const FinalState final_state{status, done_tasks(entry, staged)};
    WriteUnit unit;
    unit.rank = WriteRank::urgent;
    unit.estimated_bytes = kFinishBytes;
    unit.conditions.push_back({keys::job(job), entry.mod_revision});
    unit.replicated_writes.push_back({keys::job(job), std::nullopt, 0});
    unit.other_writes.push_back(
        {keys::final(job), wire::final_record(final_state.status, final_state.done), 0});
    unit.job_ends.push_back({job, final_state});
    auto record = staged.chunks.lower_bound({job, 0});
    while (record != staged.chunks.end() && record->first.job == job) {
        append(unit.closed, record->second.closed);
        record = staged.chunks.erase(record);
    }
    return unit;
}

core::Revision AttemptPageWriter::mod_revision_of(const core::AttemptPageKey& page) const {
    const auto& pages = replicated_.job_table().pages();
    const auto known = pages.find(page);
    return known == pages.end() ? 0 : known->second.mod_revision;
}

PageContent AttemptPageWriter::current_content(const core::AttemptPageKey& page,
                                               const JobSet& ending_jobs) const {
    PageContent content;
    const auto& pages = replicated_.job_table().pages();
    const auto known = pages.find(page);
    if (known == pages.end()) return content;
    for (const auto& chunk : known->second.chunks) {
        const core::JobEntry* entry = replicated_.job_table().find(chunk.job);
        if (entry == nullptr || ending_jobs.contains(chunk.job)) continue;
        content[chunk] = &entry->chunks.at(chunk.number);
    }
    return content;
}

WriteUnit AttemptPageWriter::page_unit(PagePass& pass, const core::AttemptPageKey& page,
                                       const std::vector<core::ChunkKey>& chunks) {
    WriteUnit unit;
    unit.rank = WriteRank::lowest;
    unit.conditions.push_back({keys::page(page), mod_revision_of(page)});
    PageContent content = current_content(page, pass.ending_jobs);
    // Leaves room in the transaction for the conditions on the epoch and on the new pages of a split.
    const std::size_t max_conditions = kJobConditionsPerWrite * settings_.txn_ops - 1;
    for (const auto& key : chunks) {
        const ChunkRecord& record = pass.staged.chunks.at(key);
        // Left to the next pass: there is no room for another condition on a job.
        if (!record.started.empty() && unit.conditions.size() >= max_conditions) continue;
        add_chunk(unit, key, record, pass.monotonic_now);
        content[key] = &record.chunk;
    }
    unit.estimated_bytes = estimate_bytes(content, workers_.cluster_view().max_machine_id_length());
    add_page(pass, unit, page, content);
    return unit;
}

void AttemptPageWriter::add_page(PagePass& pass, WriteUnit& unit, const core::AttemptPageKey& page,
                                 const PageContent& content) const {
    const std::size_t max_bytes = settings_.value_limit();
    if (unit.estimated_bytes <= max_bytes || page_bytes(content) <= max_bytes) {
        unit.replicated_writes.push_back({keys::page(page), wire::page_record(content), 0});
        return;
    }
    const auto parts = split_page(content, max_bytes, settings_.txn_ops);
    spdlog::info("event=page_split page={} bytes={} parts={}", keys::page(page), page_bytes(content),
                 parts.size());
    unit.replicated_writes.push_back({keys::page(page), wire::page_record(parts.front()), 0});
    core::AttemptPageKey new_page{page.team, 1};
    for (std::size_t part = 1; part < parts.size(); ++part) {
        while (pass.written_pages.contains(new_page) || replicated_.job_table().pages().contains(new_page))
            ++new_page.number;
        pass.written_pages.insert(new_page);
        unit.conditions.push_back({keys::page(new_page), 0});
        unit.replicated_writes.push_back({keys::page(new_page), wire::page_record(parts[part]), 0});
    }
}

void AttemptPageWriter::add_chunk(WriteUnit& unit, const core::ChunkKey& key, const ChunkRecord& record,
                                  Micros monotonic_now) {
    const core::JobEntry& entry = *replicated_.job_table().find(key.job);
    unit.rank = std::min(unit.rank, rank_of(key, record, entry.job, monotonic_now));
    if (!record.started.empty()) {
        // The condition prevents the start from being recorded if the job was cancelled or has ended.
        const wire::Condition condition{keys::job(key.job), entry.mod_revision};
        if (unit.conditions.back() != condition) unit.conditions.push_back(condition);
    }
    unit.chunks.push_back(key);
    append(unit.closed, record.closed);
    append(unit.started, record.started);
}

WriteRank AttemptPageWriter::rank_of(const core::ChunkKey& key, const ChunkRecord& record,
                                     const core::Job& job, Micros monotonic_now) {
    const bool production = job.priority == core::Priority::production;
    if (!record.started.empty()) return production ? WriteRank::production : WriteRank::start;
    // Workers repeat a completion in their heartbeats until it is acknowledged, so its record can be delayed.
    // The delay combines completions in one write: the write budget counts page writes, not their size.
    const Micros waited = monotonic_now - completion_staged_at_.try_emplace(key, monotonic_now).first->second;
    if (record.blocks_restart) return production ? WriteRank::production : WriteRank::urgent;
    if (waited <= kCompletionDelay) return WriteRank::completion;
    const bool overdue = waited > kMaxCompletionDelay || is_near_limit(job.team);
    return overdue ? WriteRank::overdue_completion : WriteRank::due_completion;
}

bool AttemptPageWriter::is_near_limit(const std::string& team) const {
    const auto limits = settings_.teams.find(team);
    if (limits == settings_.teams.end()) return false;
    const core::Resources use = replicated_.job_table().team_use(team);
    return use.cpus > limits->second.cpus_max * kNearLimitShare ||
           (use.gpus > 0 && use.gpus > limits->second.gpus_max * kNearLimitShare);
}

}  // namespace hatchwind::controller
