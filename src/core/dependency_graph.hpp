/// The DAG of waiting jobs: which of them can be released, and which have to be cancelled because a
/// dependency is cancelled. Pure; time and memory are linear in the number of dependencies, and nothing is
/// recursive, so chains and fans may be of any length.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/job_table.hpp"

namespace hatchwind::core {

/// How a job ended for good.
enum class TerminalState : std::uint8_t { done, cancelled };
/// The terminal state of a job that is not in the job table; nothing when it is not known here. That a job is
/// missing from the job table never means that it is done.
using TerminalStateLookup = std::function<std::optional<TerminalState>(const std::string& job)>;

/// What to do about waiting jobs, by id.
struct DependencyPlan {
    std::vector<std::string> release;  ///< all their dependencies are done
    std::vector<std::string> cancel;   ///< cancelled, or dependent on a cancelled job, directly or not
    std::vector<std::string> unknown_terminal_states;  ///< of jobs that decide about others; without repeats
};

/// What to do about the waiting jobs that `selected` accepts. `lookup` is asked for jobs that are not in the
/// table.
DependencyPlan plan_dependencies(const JobTable& job_table, const TerminalStateLookup& lookup,
                                 const std::function<bool(const Job&)>& selected);

/// What some jobs and their ancestors, their direct and indirect dependencies, say about a job that depends
/// on them all.
struct Ancestry {
    bool cancelled = false;  ///< one of them is: so is the job, whatever else is not known
    bool complete = true;    ///< false: the dependencies of one of them are not known here
    std::vector<std::string> unknown_terminal_states;  ///< without repeats
};
/// Visits `jobs` and all their ancestors.
Ancestry look_back(const JobTable& job_table, const std::vector<std::string>& jobs,
                   const TerminalStateLookup& lookup);

}  // namespace hatchwind::core
