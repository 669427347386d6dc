#include "core/job_table.hpp"

#include <algorithm>
#include <utility>

namespace hatchwind::core {

namespace {

const Chunk* find_chunk(const JobEntry& entry, std::uint32_t index) {
    const auto chunk = entry.chunks.find(index);
    return chunk == entry.chunks.end() ? nullptr : &chunk->second;
}

bool is_unstarted(const Chunk* chunk, std::uint32_t task) {
    return chunk == nullptr || (!chunk->done.contains(task) && !chunk->open.contains(task));
}

}  // namespace

std::uint64_t JobEntry::last_attempt() const {
    std::uint64_t highest = 0;
    for (const auto& [index, chunk] : chunks) highest = std::max(highest, chunk.last_attempt);
    return highest;
}

void JobTable::add_to_machine(const JobEntry& entry, std::uint32_t task, const Attempt& attempt) {
    MachineTasks& machine = by_machine_[attempt.machine];
    machine.tasks[{entry.job.id, task}] = {&entry, attempt.number, attempt.incarnation};
    machine.version = ++last_machine_version_;
}

void JobTable::remove_from_machine(const TaskRef& ref, const std::string& machine) {
    const auto known = by_machine_.find(machine);
    if (known == by_machine_.end()) return;
    known->second.tasks.erase(ref);
    known->second.version = ++last_machine_version_;
    if (known->second.tasks.empty()) by_machine_.erase(known);
}

void JobTable::update_indexes(const JobEntry& entry, const Chunk& before, const Chunk& after) {
    auto old_attempt = before.open.begin();
    auto new_attempt = after.open.begin();
    while (old_attempt != before.open.end() || new_attempt != after.open.end()) {
        const bool has_before = old_attempt != before.open.end();
        const bool has_after = new_attempt != after.open.end();
        if (has_before && has_after && *old_attempt == *new_attempt) {
            ++old_attempt;
            ++new_attempt;
        } else if (has_before && (!has_after || old_attempt->first <= new_attempt->first)) {
            remove_from_machine({entry.job.id, old_attempt->first}, old_attempt->second.machine);
            ++old_attempt;
        } else {
            add_to_machine(entry, new_attempt->first, new_attempt->second);
            ++new_attempt;
        }
    }
    const double added_attempts =
        static_cast<double>(after.open.size()) - static_cast<double>(before.open.size());
    usage_[entry.job.team] += entry.job.resources * added_attempts;
}

void JobTable::move_usage_to_team(const JobEntry& entry, const std::string& team) {
    if (entry.job.team == team || entry.open == 0) return;
    const Resources usage = entry.job.resources * static_cast<double>(entry.open);
    usage_[entry.job.team] -= usage;
    usage_[team] += usage;
}

void JobTable::adopt_orphans(const std::string& job) {
    for (auto orphan = orphans_.lower_bound({job, 0});
         orphan != orphans_.end() && orphan->first.job == job;) {
        const std::uint32_t index = orphan->first.number;
        Chunk chunk = std::move(orphan->second);
        orphan = orphans_.erase(orphan);
        put_chunk(job, index, std::move(chunk));
    }
}

void JobTable::put_job(Job job, Revision mod_revision) {
    const auto [known, is_new] = jobs_.try_emplace(job.id);
    JobEntry& entry = known->second;
    if (!is_new && entry.mod_revision >= mod_revision) return;
    // A page with attempts of a released job may be read before the record of the release. Its usage then has
    // to move from kWaitingTeam to the job's team (JobTable.LateReleaseRecordMovesUsageToTheTeam).
    if (!is_new) move_usage_to_team(entry, job.team);
    if (entry.announced_cancellation > mod_revision) {
        job.cancelled = true;
        job.cancelled_at = entry.job.cancelled_at;
    } else {
        entry.announced_cancellation = 0;
    }
    entry.job = std::move(job);
    entry.mod_revision = mod_revision;
    set_dependencies_if_complete(entry.job);
    if (entry.job.waiting()) {
        waiting_.insert(entry.job.id);
    } else {
        waiting_.erase(entry.job.id);
    }
    // The store is read in ranges, so a page may be newer than the job's record and arrive before it. Without
    // the chunks kept from such a page, all tasks of the job would look unstarted.
    if (is_new) adopt_orphans(entry.job.id);
}

void JobTable::put_cancel(const std::string& job, Revision revision, Micros cancelled_at) {
    const auto it = jobs_.find(job);
    if (it == jobs_.end()) return;
    JobEntry& entry = it->second;
    if (std::max(entry.mod_revision, entry.announced_cancellation) >= revision) return;
    entry.job.cancelled = true;
    entry.job.cancelled_at = cancelled_at;
    // A mod revision stands for a record that was read whole. Raised here, it would hide the records between,
    // such as that of the job's release (JobTable.AnAnnouncedCancellationHidesNoRecord).
    entry.announced_cancellation = revision;
}

void JobTable::put_chunk(const std::string& job, std::uint32_t index, Chunk chunk) {
    const auto it = jobs_.find(job);
    if (it == jobs_.end()) {
        Chunk& kept = orphans_[{job, index}];
        if (kept.mod_revision < chunk.mod_revision) kept = std::move(chunk);
        return;
    }
    JobEntry& entry = it->second;
    Chunk& known = entry.chunks[index];
    if (known.mod_revision >= chunk.mod_revision) return;
    update_indexes(entry, known, chunk);
    entry.open -= static_cast<std::uint32_t>(known.open.size());
    entry.open += static_cast<std::uint32_t>(chunk.open.size());
    entry.done -= known.done.size();
    entry.done += chunk.done.size();
    known = std::move(chunk);
}

// The check does not recognize that the chunks are moved out of the map.
// NOLINTNEXTLINE(performance-unnecessary-value-param)
void JobTable::put_page(const AttemptPageKey& key, Revision mod_revision, std::map<ChunkKey, Chunk> chunks) {
    AttemptPage& page = pages_[key];
    if (page.mod_revision >= mod_revision) return;
    for (const auto& chunk : page.chunks) {
        if (!chunks.contains(chunk)) erase_chunk(chunk.job, chunk.number, mod_revision);
    }
    page.mod_revision = mod_revision;
    page.chunks.clear();
    for (auto& [chunk_key, chunk] : chunks) {
        page.chunks.insert(chunk_key);
        chunk.mod_revision = mod_revision;
        chunk.page = key.number;
        put_chunk(chunk_key.job, chunk_key.number, std::move(chunk));
    }
}

void JobTable::erase_page(const AttemptPageKey& key, Revision erased_at) {
    const auto page = pages_.find(key);
    if (page == pages_.end() || page->second.mod_revision >= erased_at) return;
    for (const auto& chunk : page->second.chunks) erase_chunk(chunk.job, chunk.number, erased_at);
    pages_.erase(page);
}

void JobTable::erase_job(const std::string& job, Revision erased_at) {
    const auto known = jobs_.find(job);
    if (known == jobs_.end() || known->second.mod_revision >= erased_at) return;
    for (auto& [index, chunk] : known->second.chunks) {
        update_indexes(known->second, chunk, {});
        if (chunk.mod_revision != 0) orphans_[{job, index}] = std::move(chunk);
    }
    waiting_.erase(job);
    jobs_.erase(known);
}

void JobTable::erase_chunk(const std::string& job, std::uint32_t index, Revision erased_at) {
    const auto orphan = orphans_.find({job, index});
    if (orphan != orphans_.end() && orphan->second.mod_revision < erased_at) orphans_.erase(orphan);
    const auto known = jobs_.find(job);
    if (known == jobs_.end()) return;
    JobEntry& entry = known->second;
    const auto chunk = entry.chunks.find(index);
    if (chunk == entry.chunks.end() || chunk->second.mod_revision >= erased_at) return;
    update_indexes(entry, chunk->second, {});
    entry.open -= static_cast<std::uint32_t>(chunk->second.open.size());
    entry.done -= chunk->second.done.size();
    entry.chunks.erase(chunk);
}

void JobTable::put_dependency_part(const std::string& job, const std::string& list, std::uint32_t part,
                                   std::vector<std::string> ids) {
    dependency_parts_[job][{list, part}] = std::move(ids);
    if (const auto it = jobs_.find(job); it != jobs_.end()) set_dependencies_if_complete(it->second.job);
}

void JobTable::erase_dependency_part(const std::string& job, const std::string& list, std::uint32_t part) {
    const auto parts = dependency_parts_.find(job);
    if (parts == dependency_parts_.end()) return;
    parts->second.erase({list, part});
    if (parts->second.empty()) dependency_parts_.erase(parts);
}

void JobTable::set_dependencies_if_complete(Job& job) const {
    const auto parts = dependency_parts_.find(job.id);
    if (!job.waiting() || job.dependency_parts == 0 || job.dependencies_known() ||
        parts == dependency_parts_.end())
        return;
    std::vector<std::string> ids;
    for (std::uint32_t part = 0; part < job.dependency_parts; ++part) {
        const auto known = parts->second.find({job.dependency_list, part});
        if (known == parts->second.end()) return;
        ids.insert(ids.end(), known->second.begin(), known->second.end());
    }
    job.dependencies = std::move(ids);
}

void JobTable::clear() {
    jobs_.clear();
    waiting_.clear();
    dependency_parts_.clear();
    usage_.clear();
    by_machine_.clear();
    orphans_.clear();
    pages_.clear();
}

const JobEntry* JobTable::find(const std::string& job) const {
    const auto it = jobs_.find(job);
    return it == jobs_.end() ? nullptr : &it->second;
}

const Attempt* JobTable::open_attempt(const std::string& job, std::uint32_t task) const {
    const JobEntry* entry = find(job);
    if (entry == nullptr) return nullptr;
    const Chunk* chunk = find_chunk(*entry, task / kChunkTasks);
    if (chunk == nullptr) return nullptr;
    const auto attempt = chunk->open.find(task);
    return attempt == chunk->open.end() ? nullptr : &attempt->second;
}

Resources JobTable::team_use(const std::string& team) const {
    const auto it = usage_.find(team);
    return it == usage_.end() ? Resources{} : it->second;
}

const RecordedAttempts& JobTable::on_machine(const std::string& machine) const {
    static const RecordedAttempts none;
    const auto it = by_machine_.find(machine);
    return it == by_machine_.end() ? none : it->second.tasks;
}

std::vector<std::uint32_t> unstarted_tasks(const JobEntry& entry, std::size_t limit) {
    std::vector<std::uint32_t> tasks;
    const std::uint32_t last_chunk = (entry.job.tasks - 1) / kChunkTasks;
    for (std::uint32_t index = 0; index <= last_chunk && tasks.size() < limit; ++index) {
        const Chunk* chunk = find_chunk(entry, index);
        const std::uint32_t end = std::min(entry.job.tasks, (index + 1) * kChunkTasks);
        for (std::uint32_t task = index * kChunkTasks; task < end && tasks.size() < limit; ++task) {
            if (is_unstarted(chunk, task)) tasks.push_back(task);
        }
    }
    return tasks;
}

}  // namespace hatchwind::core
