#include "core/job_table.hpp"

#include <algorithm>

namespace hatchwind::core {

std::uint64_t JobEntry::last_attempt() const {
    std::uint64_t n = 0;
    for (const auto& [i, c] : chunks) n = std::max(n, c.last_attempt);
    return n;
}

void JobTable::drop(const TaskRef& ref, const std::string& machine) {
    const auto it = by_machine_.find(machine);
    if (it == by_machine_.end()) return;
    it->second.tasks.erase(ref);
    it->second.version = ++changes_;
    if (it->second.tasks.empty()) by_machine_.erase(it);
}

void JobTable::account(const JobEntry& e, const Chunk& before, const Chunk& after) {
    auto b = before.open.begin();
    auto a = after.open.begin();
    while (b != before.open.end() || a != after.open.end()) {
        if (a != after.open.end() && b != before.open.end() && a->first == b->first &&
            a->second == b->second) {
            ++a;
            ++b;
            continue;
        }
        if (b != before.open.end() && (a == after.open.end() || b->first <= a->first)) {
            drop({e.job.id, b->first}, b->second.machine);
            ++b;
        } else {
            MachineTasks& m = by_machine_[a->second.machine];
            m.tasks[{e.job.id, a->first}] = {&e, a->second.number, a->second.incarnation};
            m.version = ++changes_;
            ++a;
        }
    }
    use_[e.job.team] +=
        e.job.resources * (static_cast<double>(after.open.size()) - static_cast<double>(before.open.size()));
}

void JobTable::put_job(Job job, Revision mod_revision) {
    auto [it, fresh] = jobs_.try_emplace(job.id);
    JobEntry& e = it->second;
    if (!fresh && e.mod_revision >= mod_revision) return;
    if (!fresh && e.job.team != job.team && e.open > 0) {
        // A page of a released job may have been read before the record of its release: what it holds counts
        // for the team that the job has now (Ledger.AReleaseThatIsReadLateMovesTheUseToTheTeam).
        const Resources use = e.job.resources * static_cast<double>(e.open);
        use_[e.job.team] -= use;
        use_[job.team] += use;
    }
    e.job = std::move(job);
    e.mod_revision = mod_revision;
    join_dependency_parts(e.job);
    if (e.job.waiting()) {
        waiting_.insert(e.job.id);
    } else {
        waiting_.erase(e.job.id);
    }
    // The store is read in pieces: a page may be newer than the job's record, and come before it. Without
    // what it says the job would look as if nothing of it had started.
    for (auto o = orphans_.lower_bound({e.job.id, 0});
         fresh && o != orphans_.end() && o->first.first == e.job.id;) {
        const std::uint32_t index = o->first.second;
        Chunk chunk = std::move(o->second);
        o = orphans_.erase(o);
        put_chunk(e.job.id, index, std::move(chunk));
    }
}

void JobTable::put_cancel(const std::string& job, Revision revision, Micros cancelled_at) {
    const auto it = jobs_.find(job);
    if (it == jobs_.end() || it->second.mod_revision >= revision) return;
    it->second.job.cancelled = true;
    it->second.job.cancelled_at = cancelled_at;
    it->second.mod_revision = revision;
}

void JobTable::put_chunk(const std::string& job, std::uint32_t index, Chunk chunk) {
    const auto it = jobs_.find(job);
    if (it == jobs_.end()) {
        Chunk& kept = orphans_[{job, index}];
        if (kept.mod_revision < chunk.mod_revision) kept = std::move(chunk);
        return;
    }
    JobEntry& e = it->second;
    Chunk& mine = e.chunks[index];
    if (mine.mod_revision >= chunk.mod_revision) return;
    account(e, mine, chunk);
    e.open =
        e.open - static_cast<std::uint32_t>(mine.open.size()) + static_cast<std::uint32_t>(chunk.open.size());
    e.done = e.done - mine.done.size() + chunk.done.size();
    mine = std::move(chunk);
}

// The chunks are moved out of the map, which the check does not see.
// NOLINTNEXTLINE(performance-unnecessary-value-param)
void JobTable::put_page(const AttemptPageKey& key, Revision mod_revision, std::map<ChunkKey, Chunk> chunks) {
    AttemptPage& page = pages_[key];
    if (page.mod_revision >= mod_revision) return;
    for (const auto& [job, index] : page.chunks) {
        if (!chunks.contains({job, index})) erase_chunk(job, index, mod_revision);
    }
    page.mod_revision = mod_revision;
    page.chunks.clear();
    for (auto& [chunk, c] : chunks) {
        page.chunks.insert(chunk);
        c.mod_revision = mod_revision;
        c.page = key.second;
        put_chunk(chunk.first, chunk.second, std::move(c));
    }
}

void JobTable::erase_page(const AttemptPageKey& key, Revision at) {
    const auto it = pages_.find(key);
    if (it == pages_.end() || it->second.mod_revision >= at) return;
    for (const auto& [job, index] : it->second.chunks) erase_chunk(job, index, at);
    pages_.erase(it);
}

void JobTable::erase_job(const std::string& job, Revision at) {
    const auto it = jobs_.find(job);
    if (it == jobs_.end() || it->second.mod_revision >= at) return;
    for (auto& [index, c] : it->second.chunks) {
        account(it->second, c, {});
        if (c.mod_revision != 0) orphans_[{job, index}] = std::move(c);
    }
    waiting_.erase(job);
    jobs_.erase(it);
}

void JobTable::erase_chunk(const std::string& job, std::uint32_t index, Revision at) {
    if (const auto o = orphans_.find({job, index}); o != orphans_.end() && o->second.mod_revision < at)
        orphans_.erase(o);
    const auto it = jobs_.find(job);
    if (it == jobs_.end()) return;
    const auto c = it->second.chunks.find(index);
    if (c == it->second.chunks.end() || c->second.mod_revision >= at) return;
    account(it->second, c->second, {});
    it->second.open -= static_cast<std::uint32_t>(c->second.open.size());
    it->second.done -= c->second.done.size();
    it->second.chunks.erase(c);
}

void JobTable::put_dependency_part(const std::string& job, const std::string& list, std::uint32_t part,
                                   std::vector<std::string> ids) {
    dependency_parts_[job][{list, part}] = std::move(ids);
    if (const auto it = jobs_.find(job); it != jobs_.end()) join_dependency_parts(it->second.job);
}

void JobTable::erase_dependency_part(const std::string& job, const std::string& list, std::uint32_t part) {
    const auto parts = dependency_parts_.find(job);
    if (parts == dependency_parts_.end()) return;
    parts->second.erase({list, part});
    if (parts->second.empty()) dependency_parts_.erase(parts);
}

void JobTable::join_dependency_parts(Job& job) const {
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
    use_.clear();
    by_machine_.clear();
    orphans_.clear();
    pages_.clear();
}

const JobEntry* JobTable::find(const std::string& job) const {
    const auto it = jobs_.find(job);
    return it == jobs_.end() ? nullptr : &it->second;
}

const Attempt* JobTable::open_attempt(const std::string& job, std::uint32_t task) const {
    const JobEntry* e = find(job);
    if (e == nullptr) return nullptr;
    const auto c = e->chunks.find(task / kChunkTasks);
    if (c == e->chunks.end()) return nullptr;
    const auto a = c->second.open.find(task);
    return a == c->second.open.end() ? nullptr : &a->second;
}

Resources JobTable::team_use(const std::string& team) const {
    const auto it = use_.find(team);
    return it == use_.end() ? Resources{} : it->second;
}

const RecordedAttempts& JobTable::on_machine(const std::string& machine) const {
    static const RecordedAttempts none;
    const auto it = by_machine_.find(machine);
    return it == by_machine_.end() ? none : it->second.tasks;
}

std::vector<std::uint32_t> unstarted_tasks(const JobEntry& e, std::size_t most) {
    std::vector<std::uint32_t> out;
    const std::uint32_t last_chunk = (e.job.tasks - 1) / kChunkTasks;
    for (std::uint32_t i = 0; i <= last_chunk && out.size() < most; ++i) {
        const auto c = e.chunks.find(i);
        const std::uint32_t end = std::min(e.job.tasks, (i + 1) * kChunkTasks);
        for (std::uint32_t t = i * kChunkTasks; t < end && out.size() < most; ++t) {
            if (c != e.chunks.end() && (c->second.done.contains(t) || c->second.open.contains(t))) continue;
            out.push_back(t);
        }
    }
    return out;
}

}  // namespace hatchwind::core
