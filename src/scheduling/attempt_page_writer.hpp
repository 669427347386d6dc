// Groups staged records into units to be written: one for each job that is over, one for each attempt page.
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

class AttemptPageWriter {
  public:
    AttemptPageWriter(const Settings& settings, const ReplicatedState& replicated,
                      const Leadership& leadership, const WorkerStatus& workers)
        : settings_(settings), replicated_(replicated), leadership_(leadership), workers_(workers) {}

    // Most pressing first. Takes the records of finished jobs out of `staged`, and gives chunks their pages.
    // `now`: steady.
    std::vector<WriteUnit> units(StagedRecords& staged, io::Micros now);
    // The chunks are written.
    void written(const std::vector<core::ChunkKey>& chunks);
    void start_epoch() { waiting_since_.clear(); }

  private:
    using JobSet = std::set<std::string>;
    using PageKeys = std::set<core::AttemptPageKey>;

    WriteUnit finish_unit(const std::string& job, StagedRecords& staged) const;
    WriteUnit page_unit(const core::AttemptPageKey& page, const std::vector<core::ChunkKey>& chunks,
                        const StagedRecords& staged, const JobSet& ending, io::Micros now, PageKeys& taken);
    // The write of a page; in parts if it is larger than the store takes by now. `taken`: pages that
    // are written in this pass.
    void add_page(WriteUnit& unit, const core::AttemptPageKey& page, const PageContent& content,
                  PageKeys& taken) const;
    // What the page has now, the jobs apart that end.
    PageContent known_content(const core::AttemptPageKey& page, const JobSet& ending) const;
    void add_chunk(WriteUnit& unit, const core::ChunkKey& key, const ChunkRecord& record, io::Micros now);
    WriteRank rank_of(const core::ChunkKey& key, const ChunkRecord& record, bool production, io::Micros now);

    // What the team's recorded attempts use leaves little of its limit.
    bool near_limit(const std::string& team) const;

    const Settings& settings_;
    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    const WorkerStatus& workers_;
    std::map<core::ChunkKey, io::Micros> waiting_since_;  // completions that wait for company; steady
};

}  // namespace hatchwind::controller
