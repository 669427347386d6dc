/// Groups staged records into write units: one for each finished job and one for each attempt page.
/// Tracks how long the recording of each completion has been delayed.
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

/// Reads the replica. The write units that it returns are committed by GroupCommit.
class AttemptPageWriter {
  public:
    AttemptPageWriter(const Settings& settings, const ReplicatedState& replicated,
                      const Leadership& leadership, const WorkerStatus& workers)
        : settings_(settings), replicated_(replicated), leadership_(leadership), workers_(workers) {}

    /// Returns the write units of a pass, sorted by rank. Removes the records of finished jobs from `staged`
    /// and assigns pages to the remaining chunks.
    std::vector<WriteUnit> write_units(StagedRecords& staged, io::Micros monotonic_now);
    /// Stops counting the delay of completions in these chunks, which are now committed.
    void record_committed(const std::vector<core::ChunkKey>& chunks);
    /// Resets the delays counted in earlier epochs.
    void start_epoch() { completion_staged_at_.clear(); }

  private:
    using JobSet = std::set<std::string>;

    /// State shared by the page units of one pass.
    struct PagePass {
        const StagedRecords& staged;
        const JobSet& ending_jobs;
        io::Micros monotonic_now;
        std::set<core::AttemptPageKey> written_pages;  // includes the new pages of splits
    };

    /// Replaces the job's record by its final state in one transaction. The job's chunks are removed from
    /// their pages by the next writes of those pages.
    WriteUnit finish_unit(const std::string& job, StagedRecords& staged) const;
    WriteUnit page_unit(PagePass& pass, const core::AttemptPageKey& page,
                        const std::vector<core::ChunkKey>& chunks);
    /// Adds the write of a page to `unit`. Splits the page if it exceeds the store's current value limit.
    void add_page(PagePass& pass, WriteUnit& unit, const core::AttemptPageKey& page,
                  const PageContent& content) const;
    void add_chunk(WriteUnit& unit, const core::ChunkKey& key, const ChunkRecord& record,
                   io::Micros monotonic_now);
    WriteRank rank_of(const core::ChunkKey& key, const ChunkRecord& record, const core::Job& job,
                      io::Micros monotonic_now);

    /// Returns 0 if the page does not exist.
    core::Revision mod_revision_of(const core::AttemptPageKey& page) const;
    /// Returns the chunks on the page, without those of jobs that have ended or are in `ending_jobs`.
    PageContent current_content(const core::AttemptPageKey& page, const JobSet& ending_jobs) const;
    std::uint32_t done_tasks(const core::JobEntry& entry, const StagedRecords& staged) const;
    /// Returns true if the team's recorded attempts use most of its resource limit.
    bool is_near_limit(const std::string& team) const;

    const Settings& settings_;
    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    const WorkerStatus& workers_;
    // When a chunk's completions were first staged without being committed; monotonic clock.
    std::map<core::ChunkKey, io::Micros> completion_staged_at_;
};

}  // namespace hatchwind::controller
