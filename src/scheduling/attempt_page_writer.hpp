/// Groups staged records into units to be written: one for each job that is over, one for each attempt page.
/// Owns how long completions have been held back for company.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "cluster/leadership.hpp"
#include "config/settings.hpp"
#include "scheduling/attempt_page_split.hpp"
#include "scheduling/staged_records.hpp"
#include "scheduling/write_unit.hpp"
#include "store/replicated_state.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

/// Reads the replica; what it decides is written by GroupCommit.
class AttemptPageWriter {
  public:
    AttemptPageWriter(const Settings& settings, const ReplicatedState& replicated,
                      const Leadership& leadership, const WorkerStatus& workers)
        : settings_(settings), replicated_(replicated), leadership_(leadership), workers_(workers) {}

    /// The units of a pass, by rank. Takes the records of finished jobs out of `staged`, and gives chunks
    /// their pages.
    std::vector<WriteUnit> write_units(StagedRecords& staged, io::Micros monotonic_now);
    /// The chunks are committed: what they say waits no more.
    void record_committed(const std::vector<core::ChunkKey>& chunks);
    /// Forgets what earlier epochs have held back.
    void start_epoch() { waiting_since_.clear(); }

  private:
    using JobSet = std::set<std::string>;

    /// What the page units of one pass share.
    struct PagePass {
        const StagedRecords& staged;
        const JobSet& ending_jobs;
        io::Micros monotonic_now;
        std::set<core::AttemptPageKey> written_pages;  // grows with each part of a page that is split
    };

    /// The final state replaces the job's record in one step. What its pages say of it leaves with their next
    /// writes.
    WriteUnit finish_unit(const std::string& job, StagedRecords& staged) const;
    WriteUnit page_unit(PagePass& pass, const core::AttemptPageKey& page,
                        const std::vector<core::ChunkKey>& chunks);
    /// Adds the write of a page; in parts if it is larger than the store takes by now.
    void add_page(PagePass& pass, WriteUnit& unit, const core::AttemptPageKey& page,
                  const PageContent& content) const;
    void add_chunk(WriteUnit& unit, const core::ChunkKey& key, const ChunkRecord& record,
                   io::Micros monotonic_now);
    WriteRank rank_of(const core::ChunkKey& key, const ChunkRecord& record, const core::Job& job,
                      io::Micros monotonic_now);

    /// 0: the page does not exist.
    core::Revision mod_revision_of(const core::AttemptPageKey& page) const;
    /// What the page has now, without the jobs that end.
    PageContent current_content(const core::AttemptPageKey& page, const JobSet& ending_jobs) const;
    std::uint32_t done_tasks(const core::JobEntry& entry, const StagedRecords& staged) const;
    /// What the team's recorded attempts use leaves little of its limit.
    bool is_near_limit(const std::string& team) const;

    const Settings& settings_;
    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    const WorkerStatus& workers_;
    std::map<core::ChunkKey, io::Micros> waiting_since_;  // monotonic clock: completions not yet written
};

}  // namespace hatchwind::controller
