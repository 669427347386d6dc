/// The dependency graph (DAG) of waiting jobs: which of them can be released, and which have to be cancelled
/// because a dependency was cancelled. The functions have no side effects. Time and memory are linear in the
/// number of dependencies, and there is no recursion, so the graph may be arbitrarily deep and wide.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/job_table.hpp"

namespace hatchwind::core {

/// Final outcome of a job.
enum class TerminalState : std::uint8_t { done, cancelled };
/// Returns the terminal state of a job that is not in the job table, or nothing if it is unknown. A job that
/// is missing from the job table is not necessarily done.
using TerminalStateLookup = std::function<std::optional<TerminalState>(const std::string& job)>;

/// Actions for waiting jobs, as lists of job ids.
struct DependencyPlan {
    std::vector<std::string> release;  ///< jobs whose dependencies are all done
    /// Jobs that are cancelled or depend on a cancelled job, directly or transitively.
    std::vector<std::string> cancel;
    /// Dependencies whose terminal state is needed but unknown, without duplicates.
    std::vector<std::string> unknown_terminal_states;
};

/// Returns the actions for the waiting jobs that `selected` accepts. `lookup` is called for dependencies that
/// are not in the job table.
DependencyPlan plan_dependencies(const JobTable& job_table, const TerminalStateLookup& lookup,
                                 const std::function<bool(const Job&)>& selected);

/// Combined status of a set of jobs and their direct and transitive dependencies.
struct TransitiveDependencyStatus {
    bool cancelled = false;  ///< one of the jobs is cancelled; the other fields may be incomplete
    bool complete = true;    ///< false: the dependencies of at least one waiting job are unknown
    /// Ended jobs whose terminal state is unknown, without duplicates.
    std::vector<std::string> unknown_terminal_states;
};
/// Returns the combined status of `jobs` and all their direct and transitive dependencies. Stops at the first
/// cancelled job.
TransitiveDependencyStatus resolve_transitive_dependencies(const JobTable& job_table,
                                                           const std::vector<std::string>& jobs,
                                                           const TerminalStateLookup& lookup);

}  // namespace hatchwind::core
