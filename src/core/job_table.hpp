/// The job table: accepted jobs, attempts (recorded before their tasks start) and the resource usage of each
/// team. It is a replica of the store's records: only committed records change it, and they may arrive in any
/// order.
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

/// Number of consecutive tasks of a job whose attempts are recorded together. Small enough for a chunk to
/// stay below the store's value size limit in every state of its tasks.
constexpr std::uint32_t kChunkTasks = 64;

/// One attempt to run a task. Attempt numbers increase within a chunk.
struct Attempt {
    std::uint64_t number = 0;
    std::string machine;
    std::uint64_t incarnation = 0;  ///< of the worker at the time the attempt was recorded
    friend bool operator==(const Attempt&, const Attempt&) = default;
};

/// The recorded state of up to kChunkTasks tasks of a job.
struct Chunk {
    Revision mod_revision = 0;
    RangeSet done;                          ///< numbers of the tasks that are done
    std::map<std::uint32_t, Attempt> open;  ///< by task number: attempts not known to have ended
    std::uint64_t last_attempt = 0;         ///< highest attempt number used in this chunk
    std::uint32_t page = 0;  ///< number of the team's attempt page that contains it; 0: none yet
};
/// Identifies a chunk. Ordered by job, so the chunks of one job are adjacent.
struct ChunkKey {
    std::string job;
    std::uint32_t number = 0;  ///< task / kChunkTasks
    friend auto operator<=>(const ChunkKey&, const ChunkKey&) = default;
};

/// A store record that contains chunks of many jobs of one team. The store limits the rate of writes rather
/// than their size, so attempts that start or end at the same time share a write.
struct AttemptPage {
    Revision mod_revision = 0;
    std::set<ChunkKey> chunks;  ///< may include chunks of jobs that have ended
};
/// Identifies an attempt page. Ordered by team.
struct AttemptPageKey {
    std::string team;
    std::uint32_t number = 0;  ///< from 1
    friend auto operator<=>(const AttemptPageKey&, const AttemptPageKey&) = default;
};

/// Identifies one part of a dependency list that is too long for the record of its waiting job.
struct DependencyPartKey {
    std::string list;
    std::uint32_t number = 0;  ///< from 0
    friend auto operator<=>(const DependencyPartKey&, const DependencyPartKey&) = default;
};

/// A job with the state of its tasks.
struct JobEntry {
    Job job;
    Revision mod_revision = 0;  ///< of the job's own record, as it was read
    /// Mod revision of the record of a cancellation that a peer has announced, until that record or a later
    /// one is read; 0: none. `job.cancelled` is set meanwhile, and everything else is as of `mod_revision`.
    Revision announced_cancellation = 0;
    std::map<std::uint32_t, Chunk> chunks;  ///< by number; absent: no attempt was recorded
    std::uint32_t done = 0;                 ///< number of tasks that are done
    std::uint32_t open = 0;                 ///< number of tasks with an open attempt

    std::uint32_t unstarted() const { return job.tasks - done - open; }
    bool finished() const { return done == job.tasks; }
    /// Returns true while the store has a newer record of this job, so that no condition on the known one can
    /// hold.
    bool record_is_outdated() const { return announced_cancellation != 0; }
    /// Returns the revision at which a cancelled job is known to be cancelled.
    Revision cancellation_revision() const {
        return record_is_outdated() ? announced_cancellation : mod_revision;
    }
    /// Returns the highest attempt number of all tasks, or 0 if there was no attempt.
    std::uint64_t last_attempt() const;
};

/// Identifies a task.
struct TaskRef {
    std::string job;
    std::uint32_t task = 0;
    friend auto operator<=>(const TaskRef&, const TaskRef&) = default;
};

/// A recorded attempt in the index by machine. `entry` is valid until the job is erased from the table.
struct RecordedAttempt {
    const JobEntry* entry = nullptr;
    std::uint64_t number = 0;
    std::uint64_t incarnation = 0;
};
using RecordedAttempts = std::map<TaskRef, RecordedAttempt>;

/// Attempts recorded on one machine; never empty.
struct MachineTasks {
    RecordedAttempts tasks;
    /// Changes with every modification and is never reused, even if the machine had no attempts in between.
    std::uint64_t version = 0;
};

/// Contains all jobs that have not ended. Each `put_...` takes a record and its mod revision in the store,
/// each `erase_...` the revision at which the store deleted the record. A call whose revision is not newer
/// than the known mod revision has no effect.
class JobTable {
  public:
    using Jobs = std::map<std::string, JobEntry>;

    void put_job(Job job, Revision mod_revision);
    /// Applies a cancellation that another controller announced before the store's watch delivered it. Has no
    /// effect if the job is unknown, or known at `revision` or a later one. Records from before `revision`
    /// are still applied when they arrive. `cancelled_at`: wall clock.
    void put_cancel(const std::string& job, Revision revision, Micros cancelled_at);
    /// Applies a chunk. A chunk of an unknown job is kept as an orphan until the job's record arrives.
    void put_chunk(const std::string& job, std::uint32_t index, Chunk chunk);
    /// Replaces a page and erases the chunks that it no longer contains.
    void put_page(const AttemptPageKey& key, Revision mod_revision, std::map<ChunkKey, Chunk> chunks);
    void erase_page(const AttemptPageKey& key, Revision erased_at);
    /// Page records by key. Their chunks are stored in the job entries or as orphans.
    const std::map<AttemptPageKey, AttemptPage>& pages() const { return pages_; }
    void erase_job(const std::string& job, Revision erased_at);
    /// The job ids in each part of a dependency list. Parts are immutable, so they have no revisions.
    using DependencyParts = std::map<DependencyPartKey, std::vector<std::string>>;
    void put_dependency_part(const std::string& job, const std::string& list, std::uint32_t part,
                             std::vector<std::string> ids);
    void erase_dependency_part(const std::string& job, const std::string& list, std::uint32_t part);
    /// Parts by waiting job. The job may not be known yet, or may have ended.
    const std::map<std::string, DependencyParts>& dependency_parts() const { return dependency_parts_; }
    void erase_chunk(const std::string& job, std::uint32_t index, Revision erased_at);
    /// Removes all records. MachineTasks::version keeps increasing.
    void clear();

    const Jobs& jobs() const { return jobs_; }
    /// Ids of the jobs that wait for their dependencies.
    const std::set<std::string>& waiting() const { return waiting_; }
    /// Returns the job's entry, valid until the job is erased, or null if the job is unknown.
    const JobEntry* find(const std::string& job) const;
    /// Returns the task's open attempt, or null if it has none.
    const Attempt* open_attempt(const std::string& job, std::uint32_t task) const;
    /// Returns the resources used by open attempts of the team's jobs.
    Resources team_use(const std::string& team) const;
    /// Returns the attempts recorded on the machine.
    const RecordedAttempts& on_machine(const std::string& machine) const;
    /// Machines that have recorded attempts, in the same order as ClusterView::machines(), because placement
    /// iterates over both in parallel.
    const std::map<std::string, MachineTasks>& by_machine() const { return by_machine_; }
    /// Chunks whose job has ended or is not known yet. The next write of their page removes them from the
    /// store.
    const std::map<ChunkKey, Chunk>& orphans() const { return orphans_; }

  private:
    // Updates the indexes with the difference between two states of a chunk. A chunk of 64 attempts is
    // rewritten whenever one of its tasks starts or ends, so most of its attempts are unchanged.
    void update_indexes(const JobEntry& entry, const Chunk& before, const Chunk& after);
    void add_to_machine(const JobEntry& entry, std::uint32_t task, const Attempt& attempt);
    void remove_from_machine(const TaskRef& ref, const std::string& machine);
    void move_usage_to_team(const JobEntry& entry, const std::string& team);
    void adopt_orphans(const std::string& job);
    // Sets the dependencies of a waiting job if all parts of its dependency list are known.
    void set_dependencies_if_complete(Job& job) const;

    Jobs jobs_;
    std::set<std::string> waiting_;
    std::map<std::string, DependencyParts> dependency_parts_;
    std::unordered_map<std::string, Resources> usage_;  // by team
    std::map<std::string, MachineTasks> by_machine_;
    std::uint64_t last_machine_version_ = 0;  // of MachineTasks
    std::map<ChunkKey, Chunk> orphans_;
    std::map<AttemptPageKey, AttemptPage> pages_;
};

/// Returns the numbers of up to `limit` tasks that have no open attempt and are not done, in ascending order.
std::vector<std::uint32_t> unstarted_tasks(const JobEntry& entry, std::size_t limit);

}  // namespace hatchwind::core
