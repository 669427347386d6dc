/// The job table: accepted jobs, attempts recorded ahead of their start, and what each team uses. It is a
/// replica of the store's records: it changes by what was committed and by nothing else, and records may
/// come in any order.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/job.hpp"
#include "core/range_set.hpp"
#include "core/revision.hpp"

namespace hatchwind::core {

/// Tasks of a job whose attempts are recorded together. So few that a chunk stays below the store's limit of
/// a value whatever its tasks do.
constexpr std::uint32_t kChunkTasks = 64;

/// One try at running a task. Numbers increase with each attempt of a chunk.
struct Attempt {
    std::uint64_t number = 0;
    std::string machine;
    std::uint64_t incarnation = 0;  ///< of the machine's worker when the attempt was recorded
    friend bool operator==(const Attempt&, const Attempt&) = default;
};

/// The recorded state of up to kChunkTasks tasks of a job.
struct Chunk {
    Revision mod_revision = 0;
    RangeSet done;                          ///< task numbers
    std::map<std::uint32_t, Attempt> open;  ///< by task number: recorded, and not known to have ended
    std::uint64_t last_attempt = 0;         ///< highest attempt number of its tasks
    std::uint32_t page = 0;                 ///< number of the team's page that contains it; 0: none yet
};
/// Which chunk of which job. Ordered by job, so the chunks of one job follow each other.
struct ChunkKey {
    std::string job;
    std::uint32_t number = 0;  ///< task / kChunkTasks
    friend auto operator<=>(const ChunkKey&, const ChunkKey&) = default;
};

/// One record of the store: chunks of many jobs of one team. The store limits the number of writes and not
/// what they contain, so what starts and ends at the same time is written together.
struct AttemptPage {
    Revision mod_revision = 0;
    std::set<ChunkKey> chunks;  ///< some may be of jobs that are over
};
/// Which attempt page of which team. Ordered by team.
struct AttemptPageKey {
    std::string team;
    std::uint32_t number = 0;  ///< from 1
    friend auto operator<=>(const AttemptPageKey&, const AttemptPageKey&) = default;
};

/// Which part of a dependency list that is too long for a waiting job's record.
struct DependencyPartKey {
    std::string list;
    std::uint32_t number = 0;  ///< from 0
    friend auto operator<=>(const DependencyPartKey&, const DependencyPartKey&) = default;
};

/// A job with the state of its tasks.
struct JobEntry {
    Job job;
    Revision mod_revision = 0;              ///< of the job's own record
    std::map<std::uint32_t, Chunk> chunks;  ///< by number; one is absent while nothing of it is recorded
    std::uint32_t done = 0;                 ///< number of tasks that are done
    std::uint32_t open = 0;                 ///< number of tasks with an open attempt

    std::uint32_t unstarted() const { return job.tasks - done - open; }
    bool finished() const { return done == job.tasks; }
    /// Highest attempt number of all tasks; 0 when there was none.
    std::uint64_t last_attempt() const;
};

struct TaskRef {
    std::string job;
    std::uint32_t task = 0;
    friend auto operator<=>(const TaskRef&, const TaskRef&) = default;
};

/// A recorded attempt as the machine's side sees it. The entry lives as long as the job's record.
struct RecordedAttempt {
    const JobEntry* entry = nullptr;
    std::uint64_t number = 0;
    std::uint64_t incarnation = 0;
};
using RecordedAttempts = std::map<TaskRef, RecordedAttempt>;

/// The attempts recorded on one machine; never empty.
struct MachineTasks {
    RecordedAttempts tasks;
    /// Another one after every change, also when the machine had no attempts in between.
    std::uint64_t version = 0;
};

/// All jobs that are not over. Each `put_...` takes a record as the store has it, and each `erase_...` the
/// revision at which the store deleted it: what is not newer than the known mod revision changes nothing.
class JobTable {
  public:
    using Jobs = std::map<std::string, JobEntry>;

    void put_job(Job job, Revision mod_revision);
    /// A cancellation that another controller has told ahead of the store's own watch. Does nothing for a job
    /// that is not known, or known at that revision or a later one. `cancelled_at`: wall clock.
    void put_cancel(const std::string& job, Revision revision, Micros cancelled_at);
    /// A chunk of an unknown job is kept as an orphan until the job's record comes.
    void put_chunk(const std::string& job, std::uint32_t index, Chunk chunk);
    /// Replaces the page: chunks that it does not contain any more are erased.
    void put_page(const AttemptPageKey& key, Revision mod_revision, std::map<ChunkKey, Chunk> chunks);
    void erase_page(const AttemptPageKey& key, Revision erased_at);
    /// Page records by key. Their chunks are in the jobs' entries, or orphans.
    const std::map<AttemptPageKey, AttemptPage>& pages() const { return pages_; }
    void erase_job(const std::string& job, Revision erased_at);
    /// Ids of the jobs that each part names. The content of a part never changes, so parts have no revisions.
    using DependencyParts = std::map<DependencyPartKey, std::vector<std::string>>;
    void put_dependency_part(const std::string& job, const std::string& list, std::uint32_t part,
                             std::vector<std::string> ids);
    void erase_dependency_part(const std::string& job, const std::string& list, std::uint32_t part);
    /// By job, which may be unknown yet, or over.
    const std::map<std::string, DependencyParts>& dependency_parts() const { return dependency_parts_; }
    void erase_chunk(const std::string& job, std::uint32_t index, Revision erased_at);
    /// Forgets all records. Versions of MachineTasks go on increasing.
    void clear();

    const Jobs& jobs() const { return jobs_; }
    /// Ids of the jobs that wait for others.
    const std::set<std::string>& waiting() const { return waiting_; }
    /// Null when the job is not known. The entry lives until the job is erased.
    const JobEntry* find(const std::string& job) const;
    /// Null when the task has no open attempt.
    const Attempt* open_attempt(const std::string& job, std::uint32_t task) const;
    /// What the open attempts of the team's jobs use.
    Resources team_use(const std::string& team) const;
    /// Empty for a machine without any.
    const RecordedAttempts& on_machine(const std::string& machine) const;
    /// Machines that have recorded attempts, in the same order as ClusterView::machines(): placement walks
    /// both in step.
    const std::map<std::string, MachineTasks>& by_machine() const { return by_machine_; }
    /// Chunks whose job is over or not known yet: they leave the store with the next write of their page.
    const std::map<ChunkKey, Chunk>& orphans() const { return orphans_; }

  private:
    // Moves the indexes from one state of a chunk to the next, by what differs: a chunk of 64 attempts is
    // written again for each of its tasks that starts or ends.
    void update_indexes(const JobEntry& entry, const Chunk& before, const Chunk& after);
    void add_to_machine(const JobEntry& entry, std::uint32_t task, const Attempt& attempt);
    void remove_from_machine(const TaskRef& ref, const std::string& machine);
    void move_use_to_team(const JobEntry& entry, const std::string& team);
    void adopt_orphans(const std::string& job);
    // Fills in the dependencies of a waiting job once all parts of its list are known.
    void join_dependency_parts(Job& job) const;

    Jobs jobs_;
    std::set<std::string> waiting_;
    std::map<std::string, DependencyParts> dependency_parts_;
    std::unordered_map<std::string, Resources> use_;  // by team
    std::map<std::string, MachineTasks> by_machine_;
    std::uint64_t last_version_ = 0;  // of MachineTasks
    std::map<ChunkKey, Chunk> orphans_;
    std::map<AttemptPageKey, AttemptPage> pages_;
};

/// Numbers of the job's tasks that have no open attempt and are not done, lowest first, at most `limit`.
std::vector<std::uint32_t> unstarted_tasks(const JobEntry& entry, std::size_t limit);

}  // namespace hatchwind::core
