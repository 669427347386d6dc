// The graph of waiting jobs: which of them can be released, and which have to be cancelled because a job that
// they need is cancelled. Pure; time and memory follow the number of needs, and nothing is recursive, so
// chains and fans may be of any length.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/job_table.hpp"

namespace hatchwind::core {

// How a job ended for good.
enum class TerminalState : std::uint8_t { done, cancelled };
// The ending of a job that is not in the job table; nothing when it is not known here. That a job is missing
// from the job table never means that it is done.
using TerminalStateLookup = std::function<std::optional<TerminalState>(const std::string& job)>;

struct DependencyPlan {
    std::vector<std::string> release;  // all that they need is done
    std::vector<std::string> cancel;   // cancelled, or in need of a cancelled job, directly or not
    std::vector<std::string> unknown_terminal_states;  // that may decide about others; without repeats
};

// What is due for the waiting jobs that `mine` selects.
DependencyPlan plan_dependencies(const JobTable& job_table, const TerminalStateLookup& ending,
                                 const std::function<bool(const Job&)>& mine);

// What some jobs, and those that they need, directly or through others, say about a job that needs them all.
struct Ancestry {
    bool cancelled = false;  // one of them is: so is the job, whatever else is not known
    bool complete = true;    // false: the needs of one of them are not known here
    std::vector<std::string> unknown_terminal_states;  // without repeats
};
Ancestry look_back(const JobTable& job_table, const std::vector<std::string>& jobs,
                   const TerminalStateLookup& ending);

}  // namespace hatchwind::core
