// The job table: accepted jobs, attempts written ahead, and what each team uses. It is a copy of the store:
// it changes by what was committed and by nothing else.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/model.hpp"
#include "core/range_set.hpp"

namespace hatchwind::core {

// Tasks that are recorded together. Small enough for the value limit whatever they do.
constexpr std::uint32_t kChunkTasks = 64;

struct Attempt {
    std::uint64_t number = 0;
    std::string machine;
    std::uint64_t incarnation = 0;
    friend bool operator==(const Attempt&, const Attempt&) = default;
};

struct Chunk {
    Revision mod_revision = 0;
    RangeSet done;
    std::map<std::uint32_t, Attempt> open;  // by task number
    std::uint64_t last_attempt = 0;
    std::uint32_t page = 0;  // of its team that holds it; 0: none yet
};
using ChunkKey = std::pair<std::string, std::uint32_t>;  // job, number of the chunk

// One record of the store: chunks of many jobs of one team. The store counts writes, not what they say, so
// what starts and ends at the same time is written together.
struct AttemptPage {
    Revision mod_revision = 0;
    std::set<ChunkKey> chunks;  // some may be of jobs that are over
};
using AttemptPageKey = std::pair<std::string, std::uint32_t>;  // team, number from 1

struct JobEntry {
    Job job;
    Revision mod_revision = 0;
    std::map<std::uint32_t, Chunk> chunks;
    std::uint32_t done = 0;
    std::uint32_t open = 0;

    std::uint32_t unstarted() const { return job.tasks - done - open; }
    bool finished() const { return done == job.tasks; }
    std::uint64_t last_attempt() const;
};

struct TaskRef {
    std::string job;
    std::uint32_t task = 0;
    friend auto operator<=>(const TaskRef&, const TaskRef&) = default;
};

// A recorded attempt as the machine's side sees it. The entry lives as long as the record.
struct RecordedAttempt {
    const JobEntry* entry = nullptr;
    std::uint64_t number = 0;
    std::uint64_t incarnation = 0;
};
using RecordedAttempts = std::map<TaskRef, RecordedAttempt>;
// Never empty. The version is another one after every change, also when the machine was empty in between.
struct MachineTasks {
    RecordedAttempts tasks;
    std::uint64_t version = 0;
};

class JobTable {
  public:
    using Jobs = std::map<std::string, JobEntry>;

    // Each takes a record as the store has it; older mod revisions than the known one change nothing.
    void put_job(Job job, Revision mod_revision);
    // A cancellation that another controller has told ahead of the store's own news. Does nothing for a job
    // that is not known, or known at that revision or a later one.
    void put_cancel(const std::string& job, Revision revision, Micros cancelled_at);
    void put_chunk(const std::string& job, std::uint32_t index, Chunk chunk);
    // A page as the store has it: what it does not have any more is gone.
    void put_page(const AttemptPageKey& key, Revision mod_revision, std::map<ChunkKey, Chunk> chunks);
    void erase_page(const AttemptPageKey& key, Revision at);
    const std::map<AttemptPageKey, AttemptPage>& pages() const { return pages_; }
    void erase_job(const std::string& job, Revision at);
    // Parts of lists that are too long for a waiting job's record; the content of a part never changes.
    using DependencyParts =
        std::map<std::pair<std::string, std::uint32_t>, std::vector<std::string>>;  // list, part
    void put_dependency_part(const std::string& job, const std::string& list, std::uint32_t part,
                             std::vector<std::string> ids);
    void erase_dependency_part(const std::string& job, const std::string& list, std::uint32_t part);
    const std::map<std::string, DependencyParts>& dependency_parts() const { return dependency_parts_; }
    void erase_chunk(const std::string& job, std::uint32_t index, Revision at);
    void clear();

    const Jobs& jobs() const { return jobs_; }
    // The jobs that wait for others.
    const std::set<std::string>& waiting() const { return waiting_; }
    const JobEntry* find(const std::string& job) const;
    const Attempt* open_attempt(const std::string& job, std::uint32_t task) const;
    // What the team's recorded attempts use that are not known to be gone.
    Resources team_use(const std::string& team) const;
    const RecordedAttempts& on_machine(const std::string& machine) const;
    const std::map<std::string, MachineTasks>& by_machine() const { return by_machine_; }
    // Chunks whose job is over: they leave the store with the next write of their page.
    const std::map<ChunkKey, Chunk>& orphans() const { return orphans_; }

  private:
    // Moves the indexes from one state of a record to the next, by what differs: a record of 64 attempts is
    // written again for each of its tasks that starts or ends.
    void account(const JobEntry& e, const Chunk& before, const Chunk& after);
    void drop(const TaskRef& ref, const std::string& machine);
    // Fills in the needs of a waiting job once all parts of its list are known.
    void join_dependency_parts(Job& job) const;
    Jobs jobs_;
    std::set<std::string> waiting_;
    std::map<std::string, DependencyParts> dependency_parts_;
    std::unordered_map<std::string, Resources> use_;
    std::map<std::string, MachineTasks> by_machine_;  // in the cluster view's order: passes walk both in step
    std::uint64_t changes_ = 0;
    std::map<ChunkKey, Chunk> orphans_;
    std::map<AttemptPageKey, AttemptPage> pages_;
};

// Tasks of a job that have no open attempt and are not done, lowest first, at most `most`.
std::vector<std::uint32_t> unstarted_tasks(const JobEntry& e, std::size_t most);

}  // namespace hatchwind::core
