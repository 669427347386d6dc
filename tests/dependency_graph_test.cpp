// The graph of waiting jobs against a plain model.
#include "core/dependency_graph.hpp"

#include <algorithm>
#include <set>

#include "support.hpp"

namespace hatchwind {
namespace {

using core::TerminalState;
using test::holds;

enum class AttemptStatus : std::uint8_t {
    running,
    running_cancelled,
    waiting,
    waiting_cancelled,
    done,
    cancelled
};

struct Graph {
    std::vector<AttemptStatus> fates;
    std::vector<std::set<std::size_t>> needs;  // of waiting jobs, all of lower number
    std::set<std::size_t> known;               // whose ending is known
    std::set<std::size_t> hidden;              // whose list of needs is not known
    std::set<std::size_t> mine;

    static std::string id(std::size_t i) { return "req-" + std::to_string(i); }
    std::optional<TerminalState> ending(const std::string& job) const {
        const std::size_t i = std::stoul(job.substr(4));
        if (!known.contains(i)) return std::nullopt;
        if (fates[i] == AttemptStatus::done) return TerminalState::done;
        if (fates[i] == AttemptStatus::cancelled) return TerminalState::cancelled;
        return std::nullopt;
    }
    core::JobTable job_table() const {
        core::JobTable job_table;
        for (std::size_t i = 0; i < fates.size(); ++i) {
            if (fates[i] == AttemptStatus::done || fates[i] == AttemptStatus::cancelled) continue;
            const bool waits =
                fates[i] == AttemptStatus::waiting || fates[i] == AttemptStatus::waiting_cancelled;
            core::Job job = test::job(id(i), waits ? core::kWaitingTeam : "x", 1, 1);
            job.cancelled =
                fates[i] == AttemptStatus::running_cancelled || fates[i] == AttemptStatus::waiting_cancelled;
            if (waits) {
                job.team_once_released = mine.contains(i) ? "x" : "y";
                if (!hidden.contains(i)) {
                    for (const std::size_t resources : needs[i]) job.dependencies.push_back(id(resources));
                }
            }
            job_table.put_job(job, i + 1);
        }
        return job_table;
    }
};

Graph draw_graph() {
    Graph g;
    const std::size_t n = *rc::gen::inRange<std::size_t>(1, 40);
    for (std::size_t i = 0; i < n; ++i) {
        g.needs.emplace_back();
        AttemptStatus status = *rc::gen::element(
            AttemptStatus::running, AttemptStatus::running_cancelled, AttemptStatus::waiting,
            AttemptStatus::waiting, AttemptStatus::waiting, AttemptStatus::waiting_cancelled,
            AttemptStatus::done, AttemptStatus::done, AttemptStatus::cancelled);
        // Rarely a cancelled one, or nearly all would be.
        if ((status == AttemptStatus::running_cancelled || status == AttemptStatus::cancelled ||
             status == AttemptStatus::waiting_cancelled) &&
            *rc::gen::inRange(0, 3) != 0)
            status = AttemptStatus::done;
        if (i == 0 && status == AttemptStatus::waiting) status = AttemptStatus::running;
        g.fates.push_back(status);
        if (status == AttemptStatus::waiting || status == AttemptStatus::waiting_cancelled) {
            const int count = *rc::gen::inRange(1, 4);
            for (int k = 0; k < count && i > 0; ++k) g.needs[i].insert(*rc::gen::inRange<std::size_t>(0, i));
            if (*rc::gen::inRange(0, 20) == 0) g.hidden.insert(i);
        }
        if (*rc::gen::inRange(0, 4) != 0) g.known.insert(i);
        if (*rc::gen::arbitrary<bool>()) g.mine.insert(i);
    }
    return g;
}

// Jobs that are cancelled, as far as it is known, by going over all of them until nothing changes.
std::set<std::size_t> cancelled_in_model(const Graph& g) {
    std::set<std::size_t> cancelled;
    for (std::size_t i = 0; i < g.fates.size(); ++i) {
        if (g.fates[i] == AttemptStatus::running_cancelled ||
            g.fates[i] == AttemptStatus::waiting_cancelled ||
            (g.fates[i] == AttemptStatus::cancelled && g.known.contains(i)))
            cancelled.insert(i);
    }
    for (bool changed = true; changed;) {
        changed = false;
        for (std::size_t i = 0; i < g.fates.size(); ++i) {
            if (g.fates[i] != AttemptStatus::waiting || g.hidden.contains(i) || cancelled.contains(i))
                continue;
            for (const std::size_t resources : g.needs[i]) {
                if (cancelled.contains(resources)) changed = cancelled.insert(i).second || changed;
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
    return graph.fates[job] == AttemptStatus::waiting || graph.fates[job] == AttemptStatus::waiting_cancelled;
}

// Adds a job that waits and is not cancelled.
void expect_for_waiting_job(const Graph& graph, std::size_t job, ExpectedPlan& plan) {
    bool all_done = true;
    for (const std::size_t dependency : graph.needs[job]) {
        const AttemptStatus fate = graph.fates[dependency];
        const bool known = graph.known.contains(dependency);
        const bool ended = fate == AttemptStatus::done || fate == AttemptStatus::cancelled;
        if (ended && !known) plan.unknown_terminal_states.insert(Graph::id(dependency));
        all_done = all_done && fate == AttemptStatus::done && known;
    }
    if (all_done) plan.release.insert(Graph::id(job));
}

ExpectedPlan plan_in_model(const Graph& graph, const std::set<std::size_t>& cancelled) {
    ExpectedPlan plan;
    for (std::size_t job = 0; job < graph.fates.size(); ++job) {
        if (!is_waiting(graph, job) || !graph.mine.contains(job)) continue;
        if (cancelled.contains(job)) {
            plan.cancel.insert(Graph::id(job));
        } else if (!graph.hidden.contains(job)) {
            expect_for_waiting_job(graph, job, plan);
        }
    }
    return plan;
}

TEST(DependencyGraph, AgreesWithAPlainModel) {
    holds("random graphs, endings and cancels", [] {
        const Graph graph = draw_graph();
        const core::JobTable job_table = graph.job_table();
        const auto ending = [&](const std::string& job) { return graph.ending(job); };
        const auto plan = core::plan_dependencies(
            job_table, ending, [](const core::Job& job) { return job.team_once_released == "x"; });
        const std::set<std::size_t> cancelled = cancelled_in_model(graph);
        const ExpectedPlan expected = plan_in_model(graph, cancelled);
        RC_ASSERT(as_set(plan.release) == expected.release);
        RC_ASSERT(as_set(plan.cancel) == expected.cancel);
        RC_ASSERT(as_set(plan.unknown_terminal_states) == expected.unknown_terminal_states);
        for (std::size_t job = 0; job < graph.fates.size(); ++job) {
            if (!is_waiting(graph, job)) continue;
            const auto ancestry = core::look_back(job_table, {Graph::id(job)}, ending);
            RC_ASSERT(ancestry.cancelled == cancelled.contains(job));
        }
    });
}

// Jobs that wait for one another, and a cluster in which one after the other ends, in any order.
class DependentJobs {
  public:
    DependentJobs() : dependencies_(*rc::gen::inRange<std::size_t>(2, 25)) {
        for (std::size_t number = 0; number < dependencies_.size(); ++number) draw_job(number);
    }

    bool all_ended() const { return job_table_.jobs().empty(); }

    // What the plan says is done at once. A job is released only when all that it needs is done.
    void carry_out_plan() {
        const auto ending = [this](const std::string& job) -> std::optional<TerminalState> {
            const auto it = endings_.find(job);
            return it == endings_.end() ? std::nullopt : std::optional{it->second};
        };
        const auto plan =
            core::plan_dependencies(job_table_, ending, [](const core::Job& /*job*/) { return true; });
        RC_ASSERT(plan.unknown_terminal_states.empty());
        for (const auto& id : plan.release) release(id);
        for (const auto& id : plan.cancel) end(id, TerminalState::cancelled);
    }

    // One of those that run; without any, none may be left.
    void end_one() {
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

    void check_endings() const {
        for (std::size_t number = 0; number < dependencies_.size(); ++number) {
            for (const std::size_t dependency : dependencies_[number]) {
                if (endings_.at(Graph::id(dependency)) == TerminalState::cancelled)
                    RC_ASSERT(endings_.at(Graph::id(number)) == TerminalState::cancelled);
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
            RC_ASSERT(endings_.at(Graph::id(dependency)) == TerminalState::done);
        core::Job job = job_table_.find(id)->job;
        job.team = "x";
        job_table_.put_job(job, ++revision_);
    }
    void end(const std::string& id, TerminalState state) {
        endings_[id] = state;
        job_table_.erase_job(id, ++revision_);
    }

    std::vector<std::set<std::size_t>> dependencies_;  // by the job's number; all have lower ones
    core::JobTable job_table_;
    std::map<std::string, TerminalState> endings_;
    core::Revision revision_ = 0;
};

// Each waiting job is released when the last job that it needs is done and never before, or cancelled.
TEST(DependencyGraph, EveryJobIsReleasedOnceAllItNeedsIsDoneOrIsCancelled) {
    holds("from the first job to the last", [] {
        DependentJobs jobs;
        while (!jobs.all_ended()) {
            jobs.carry_out_plan();
            jobs.end_one();
        }
        jobs.check_endings();
    });
}

// Far deeper than any stack would bear.
TEST(DependencyGraph, ChainsAndFansOfAnyLengthAreCancelledInOneStep) {
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
    EXPECT_TRUE(core::look_back(job_table, {Graph::id(kJobs)}, none).cancelled);
}

}  // namespace
}  // namespace hatchwind
