// Which attempt page holds which chunk.
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

struct PageAssignmentInput {
    const Settings& settings;
    const core::JobTable& job_table;
    const core::ClusterView& cluster_view;
    const Leadership& leadership;
};

// Gives each staged chunk without a page one, and returns the pages to be written with their staged chunks.
// `ending`: jobs whose chunks leave their pages. Pages stay below the size that this node can afford to read,
// whatever their chunks may grow to.
std::map<core::AttemptPageKey, std::vector<core::ChunkKey>> assign_pages(const PageAssignmentInput& input,
                                                                         StagedRecords& staged,
                                                                         const std::set<std::string>& ending);

}  // namespace hatchwind::controller
