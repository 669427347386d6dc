/// Decides which attempt page holds which chunk: bin packing, since the store limits writes and each write of
/// a page counts the same however much it says. Pure but for the page numbers that it fills in.
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

/// What the assignment reads.
struct PageAssignmentInput {
    const Settings& settings;
    const core::JobTable& job_table;
    const core::ClusterView& cluster_view;
    const Leadership& leadership;
};

/// The staged chunks of each page that has to be written.
using AssignedChunks = std::map<core::AttemptPageKey, std::vector<core::ChunkKey>>;

/// Gives each staged chunk without a page one, and returns the pages to be written with their staged chunks.
/// `ending_jobs`: ids of jobs whose chunks leave their pages. Each staged chunk's job must be in the job
/// table. Pages stay below the size that this controller can afford to read, whatever their chunks may grow
/// to.
AssignedChunks assign_pages(const PageAssignmentInput& input, StagedRecords& staged,
                            const std::set<std::string>& ending_jobs);

}  // namespace hatchwind::controller
