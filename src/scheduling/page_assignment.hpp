/// Assigns chunks to attempt pages by bin packing: the store limits the number of writes, and each write of a
/// page counts the same regardless of its size. Stateless.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "cluster/leadership.hpp"
#include "config/settings.hpp"
#include "core/cluster_view.hpp"
#include "core/job_table.hpp"
#include "scheduling/staged_records.hpp"

namespace hatchwind::controller {

/// Input of assign_pages().
struct PageAssignmentInput {
    const Settings& settings;
    const core::JobTable& job_table;
    const core::ClusterView& cluster_view;
    const Leadership& leadership;
};

/// Maps each page that has to be written to its staged chunks.
using AssignedChunks = std::map<core::AttemptPageKey, std::vector<core::ChunkKey>>;

/// Sets the page number of each staged chunk that has none, and returns the pages to be written with their
/// staged chunks. `ending_jobs` holds the ids of jobs whose chunks are removed from their pages. The job of
/// each staged chunk must be in the job table. Reserves space for the expected growth of chunks, so that
/// pages stay below the size that this controller has the processor time to read.
AssignedChunks assign_pages(const PageAssignmentInput& input, StagedRecords& staged,
                            const std::set<std::string>& ending_jobs);

}  // namespace hatchwind::controller
