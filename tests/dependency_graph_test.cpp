// Tests of the dependency graph: against a brute-force model, in complete runs, and on a very long chain.
#include "core/dependency_graph.hpp"

#include <algorithm>
#include <set>

#include "support.hpp"

namespace hatchwind {
namespace {

using core::TerminalState;
using test::check_property;

enum class JobState : std::uint8_t {
    running,
    running_cancelled,
    waiting,
    waiting_cancelled,
    done,
    cancelled
};

struct Graph {
    std::vector<JobState> states;
    std::vector<std::set<std::size_t>> dependencies;  // by waiting job; dependencies have lower numbers
    std::set<std::size_t> known_terminal_states;      // jobs whose terminal state is known
    std::set<std::size_t> unknown_dependencies;       // jobs whose dependencies are unknown
    std::set<std::size_t> selected;                   // jobs that the plan selects

    static std::string id(std::size_t i) { return "req-" + std::to_string(i); }
    std::optional<TerminalState> terminal_state(const std::string& job) const {
        const std::size_t i = std::stoul(job.substr(4));
        if (!known_terminal_states.contains(i)) return std::nullopt;
        if (states[i] == JobState::done) return TerminalState::done;
        if (states[i] == JobState::cancelled) return TerminalState::cancelled;
        return std::nullopt;
    }
    core::JobTable job_table() const {
        core::JobTable job_table;
        for (std::size_t i = 0; i < states.size(); ++i) {
            if (states[i] == JobState::done || states[i] == JobState::cancelled) continue;
            const bool waits = states[i] == JobState::waiting || states[i] == JobState::waiting_cancelled;
            core::Job job = test::job(id(i), waits ? core::kWaitingTeam : "x", 1, 1);
            job.cancelled =
                states[i] == JobState::running_cancelled || states[i] == JobState::waiting_cancelled;
            if (waits) {
                job.team_once_released = selected.contains(i) ? "x" : "y";
                if (!unknown_dependencies.contains(i)) {
                    for (const std::size_t dependency : dependencies[i])
                        job.dependencies.push_back(id(dependency));
                }
            }
            job_table.put_job(job, i + 1);
        }
        return job_table;
    }
};

Graph draw_graph() {
    Graph graph;
    const std::size_t job_count = *rc::gen::inRange<std::size_t>(1, 40);
    for (std::size_t i = 0; i < job_count; ++i) {
        graph.dependencies.emplace_back();
        JobState state = *rc::gen::element(JobState::running, JobState::running_cancelled, JobState::waiting,
                                           JobState::waiting, JobState::waiting, JobState::waiting_cancelled,
                                           JobState::done, JobState::done, JobState::cancelled);
        // Cancelled jobs are rare; otherwise nearly all waiting jobs would be cancelled.
        if ((state == JobState::running_cancelled || state == JobState::cancelled ||
             state == JobState::waiting_cancelled) &&
            *rc::gen::inRange(0, 3) != 0)
            state = JobState::done;
        if (i == 0 && state == JobState::waiting) state = JobState::running;
        graph.states.push_back(state);
        if (state == JobState::waiting || state == JobState::waiting_cancelled) {
            const int count = *rc::gen::inRange(1, 4);
            for (int k = 0; k < count && i > 0; ++k)
                graph.dependencies[i].insert(*rc::gen::inRange<std::size_t>(0, i));
            if (*rc::gen::inRange(0, 20) == 0) graph.unknown_dependencies.insert(i);
        }
        if (*rc::gen::inRange(0, 4) != 0) graph.known_terminal_states.insert(i);
        if (*rc::gen::arbitrary<bool>()) graph.selected.insert(i);
    }
    return graph;
}

// Returns the jobs known to be cancelled. Propagates cancellations until nothing changes.
std::set<std::size_t> cancelled_in_model(const Graph& graph) {
    std::set<std::size_t> cancelled;
    for (std::size_t i = 0; i < graph.states.size(); ++i) {
        if (graph.states[i] == JobState::running_cancelled ||
            graph.states[i] == JobState::waiting_cancelled ||
            (graph.states[i] == JobState::cancelled && graph.known_terminal_states.contains(i)))
            cancelled.insert(i);
    }
    for (bool changed = true; changed;) {
        changed = false;
        for (std::size_t i = 0; i < graph.states.size(); ++i) {
            if (graph.states[i] != JobState::waiting || graph.unknown_dependencies.contains(i) ||
                cancelled.contains(i))
                continue;
            for (const std::size_t dependency : graph.dependencies[i]) {
                if (cancelled.contains(dependency)) changed = cancelled.insert(i).second || changed;
            }
        }
    }
    return cancelled;
}

std::set<std::string> as_set(const std::vector<std::string>& ids) {
    std::set<std::string> set(ids.begin(), ids.end());
    EXPECT_EQ(set.size(), ids.size()) << "named twice";
    return set;
}

struct ExpectedPlan {
    std::set<std::string> release;
    std::set<std::string> cancel;
    std::set<std::string> unknown_terminal_states;
};

bool is_waiting(const Graph& graph, std::size_t job) {
    return graph.states[job] == JobState::waiting || graph.states[job] == JobState::waiting_cancelled;
}

// Adds the expected action for a waiting job that is not cancelled.
void expect_for_waiting_job(const Graph& graph, std::size_t job, ExpectedPlan& plan) {
    bool all_done = true;
    for (const std::size_t dependency : graph.dependencies[job]) {
        const JobState state = graph.states[dependency];
        const bool known = graph.known_terminal_states.contains(dependency);
        const bool ended = state == JobState::done || state == JobState::cancelled;
        if (ended && !known) plan.unknown_terminal_states.insert(Graph::id(dependency));
        all_done = all_done && state == JobState::done && known;
    }
    if (all_done) plan.release.insert(Graph::id(job));
}

ExpectedPlan plan_in_model(const Graph& graph, const std::set<std::size_t>& cancelled) {
    ExpectedPlan plan;
    for (std::size_t job = 0; job < graph.states.size(); ++job) {
        if (!is_waiting(graph, job) || !graph.selected.contains(job)) continue;
        if (cancelled.contains(job)) {
            plan.cancel.insert(Graph::id(job));
        } else if (!graph.unknown_dependencies.contains(job)) {
            expect_for_waiting_job(graph, job, plan);
        }
    }
    return plan;
}

TEST(DependencyGraph, AgreesWithBruteForceModel) {
    check_property("random graphs, endings and cancels", [] {
        const Graph graph = draw_graph();
        const core::JobTable job_table = graph.job_table();
        const auto terminal_state = [&](const std::string& job) { return graph.terminal_state(job); };
        const auto plan = core::plan_dependencies(
            job_table, terminal_state, [](const core::Job& job) { return job.team_once_released == "x"; });
        const std::set<std::size_t> cancelled = cancelled_in_model(graph);
        const ExpectedPlan expected = plan_in_model(graph, cancelled);
        RC_ASSERT(as_set(plan.release) == expected.release);
        RC_ASSERT(as_set(plan.cancel) == expected.cancel);
        RC_ASSERT(as_set(plan.unknown_terminal_states) == expected.unknown_terminal_states);
        for (std::size_t job = 0; job < graph.states.size(); ++job) {
            if (!is_waiting(graph, job)) continue;
            const auto status =
                core::resolve_transitive_dependencies(job_table, {Graph::id(job)}, terminal_state);
            RC_ASSERT(status.cancelled == cancelled.contains(job));
        }
    });
}

// Jobs with dependencies on each other, in a cluster where jobs that can run end one at a time in random
// order.
class DependentJobs {
  public:
    DependentJobs() : dependencies_(*rc::gen::inRange<std::size_t>(2, 25)) {
        for (std::size_t number = 0; number < dependencies_.size(); ++number) draw_job(number);
    }

    bool all_ended() const { return job_table_.jobs().empty(); }

    // Applies the plan immediately. Checks that a job is released only if all its dependencies are done.
    void apply_plan() {
        const auto terminal_state = [this](const std::string& job) -> std::optional<TerminalState> {
            const auto it = terminal_states_.find(job);
            return it == terminal_states_.end() ? std::nullopt : std::optional{it->second};
        };
        const auto plan = core::plan_dependencies(job_table_, terminal_state,
                                                  [](const core::Job& /*job*/) { return true; });
        RC_ASSERT(plan.unknown_terminal_states.empty());
        for (const auto& id : plan.release) release(id);
        for (const auto& id : plan.cancel) end(id, TerminalState::cancelled);
    }

    // Ends a random job that is not waiting. If there is none, no job may be left.
    void end_random_job() {
        std::vector<std::string> runnable;
        for (const auto& [id, entry] : job_table_.jobs()) {
            if (!entry.job.waiting()) runnable.push_back(id);
        }
        if (runnable.empty()) {
            RC_ASSERT(job_table_.jobs().empty());
            return;
        }
        const std::string ended = *rc::gen::elementOf(runnable);
        end(ended, *rc::gen::inRange(0, 8) == 0 ? TerminalState::cancelled : TerminalState::done);
    }

    void check_terminal_states() const {
        for (std::size_t number = 0; number < dependencies_.size(); ++number) {
            for (const std::size_t dependency : dependencies_[number]) {
                if (terminal_states_.at(Graph::id(dependency)) == TerminalState::cancelled)
                    RC_ASSERT(terminal_states_.at(Graph::id(number)) == TerminalState::cancelled);
            }
        }
    }

  private:
    void draw_job(std::size_t number) {
        auto& dependencies = dependencies_[number];
        const int count = *rc::gen::inRange(0, 4);
        for (int i = 0; i < count && number > 0; ++i)
            dependencies.insert(*rc::gen::inRange<std::size_t>(0, number));
        core::Job job = test::job(Graph::id(number), dependencies.empty() ? "x" : core::kWaitingTeam, 1, 1);
        for (const std::size_t dependency : dependencies) job.dependencies.push_back(Graph::id(dependency));
        job.team_once_released = "x";
        job_table_.put_job(job, ++revision_);
    }
    void release(const std::string& id) {
        for (const std::size_t dependency : dependencies_[std::stoul(id.substr(4))])
            RC_ASSERT(terminal_states_.at(Graph::id(dependency)) == TerminalState::done);
        core::Job job = job_table_.find(id)->job;
        job.team = "x";
        job_table_.put_job(job, ++revision_);
    }
    void end(const std::string& id, TerminalState state) {
        terminal_states_[id] = state;
        job_table_.erase_job(id, ++revision_);
    }

    std::vector<std::set<std::size_t>> dependencies_;  // by job number; dependencies have lower numbers
    core::JobTable job_table_;
    std::map<std::string, TerminalState> terminal_states_;
    core::Revision revision_ = 0;
};

// Guards against jobs that are released early, or neither released nor cancelled.
TEST(DependencyGraph, EveryJobIsReleasedOnceItsDependenciesAreDoneOrIsCancelled) {
    check_property("from the first job to the last", [] {
        DependentJobs jobs;
        while (!jobs.all_ended()) {
            jobs.apply_plan();
            jobs.end_random_job();
        }
        jobs.check_terminal_states();
    });
}

// Guards against recursion, which would overflow the stack on a chain of this length.
TEST(DependencyGraph, LongChainIsCancelledInOnePass) {
    constexpr std::size_t kJobs = 100'000;
    core::JobTable job_table;
    core::Job root = test::job("req-0", "x", 1, 1);
    root.cancelled = true;
    job_table.put_job(root, 1);
    for (std::size_t i = 1; i <= kJobs; ++i) {
        core::Job job = test::job(Graph::id(i), core::kWaitingTeam, 1, 1);
        job.dependencies = {Graph::id(i - 1)};
        job.team_once_released = "x";
        job_table.put_job(job, i + 1);
    }
    const core::TerminalStateLookup none = [](const std::string& /*job*/) { return std::nullopt; };
    const auto plan = core::plan_dependencies(job_table, none, [](const core::Job& /*job*/) { return true; });
    EXPECT_EQ(plan.cancel.size(), kJobs);
    EXPECT_TRUE(core::resolve_transitive_dependencies(job_table, {Graph::id(kJobs)}, none).cancelled);
}

}  // namespace
}  // namespace hatchwind
