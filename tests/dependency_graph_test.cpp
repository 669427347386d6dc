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

TEST(DependencyGraph, AgreesWithAPlainModel) {
    holds("random graphs, endings and cancels", [] {
        const Graph g = draw_graph();
        const core::JobTable job_table = g.job_table();
        const auto ending = [&](const std::string& job) { return g.ending(job); };
        const auto plan = core::plan_dependencies(
            job_table, ending, [](const core::Job& job) { return job.team_once_released == "x"; });
        const std::set<std::size_t> cancelled = cancelled_in_model(g);
        std::set<std::string> release;
        std::set<std::string> cancel;
        std::set<std::string> unknown;
        for (std::size_t i = 0; i < g.fates.size(); ++i) {
            const bool waits =
                g.fates[i] == AttemptStatus::waiting || g.fates[i] == AttemptStatus::waiting_cancelled;
            if (!waits || !g.mine.contains(i)) continue;
            if (cancelled.contains(i)) {
                cancel.insert(Graph::id(i));
                continue;
            }
            if (g.hidden.contains(i)) continue;
            bool all_done = true;
            for (const std::size_t resources : g.needs[i]) {
                const bool ended = g.fates[resources] == AttemptStatus::done ||
                                   g.fates[resources] == AttemptStatus::cancelled;
                if (ended && !g.known.contains(resources)) unknown.insert(Graph::id(resources));
                all_done =
                    all_done && g.fates[resources] == AttemptStatus::done && g.known.contains(resources);
            }
            if (all_done) release.insert(Graph::id(i));
        }
        RC_ASSERT(as_set(plan.release) == release);
        RC_ASSERT(as_set(plan.cancel) == cancel);
        RC_ASSERT(as_set(plan.unknown_terminal_states) == unknown);
        for (std::size_t i = 0; i < g.fates.size(); ++i) {
            if (g.fates[i] != AttemptStatus::waiting && g.fates[i] != AttemptStatus::waiting_cancelled)
                continue;
            const auto ancestry = core::look_back(job_table, {Graph::id(i)}, ending);
            RC_ASSERT(ancestry.cancelled == cancelled.contains(i));
        }
    });
}

// The jobs end one after another, in any order, and what the plans say is done at once: each waiting job is
// released when the last job that it needs is done and never before, or cancelled.
TEST(DependencyGraph, EveryJobIsReleasedOnceAllItNeedsIsDoneOrIsCancelled) {
    holds("a whole life", [] {
        const std::size_t n = *rc::gen::inRange<std::size_t>(2, 25);
        std::vector<std::set<std::size_t>> needs(n);
        core::JobTable job_table;
        std::map<std::string, TerminalState> endings;
        core::Revision mod_revision = 0;
        for (std::size_t i = 0; i < n; ++i) {
            const int count = *rc::gen::inRange(0, 4);
            for (int k = 0; k < count && i > 0; ++k) needs[i].insert(*rc::gen::inRange<std::size_t>(0, i));
            core::Job job = test::job(Graph::id(i), needs[i].empty() ? "x" : core::kWaitingTeam, 1, 1);
            for (const std::size_t resources : needs[i]) job.dependencies.push_back(Graph::id(resources));
            job.team_once_released = "x";
            job_table.put_job(job, ++mod_revision);
        }
        const auto ending = [&](const std::string& job) -> std::optional<TerminalState> {
            const auto it = endings.find(job);
            return it == endings.end() ? std::nullopt : std::optional{it->second};
        };
        while (!job_table.jobs().empty()) {
            const auto plan =
                core::plan_dependencies(job_table, ending, [](const core::Job& /*job*/) { return true; });
            RC_ASSERT(plan.unknown_terminal_states.empty());
            for (const auto& id : plan.release) {
                for (const std::size_t resources : needs[std::stoul(id.substr(4))])
                    RC_ASSERT(endings.at(Graph::id(resources)) == TerminalState::done);
                core::Job job = job_table.find(id)->job;
                job.team = "x";
                job_table.put_job(job, ++mod_revision);
            }
            for (const auto& id : plan.cancel) {
                endings[id] = TerminalState::cancelled;
                job_table.erase_job(id, ++mod_revision);
            }
            std::vector<std::string> runnable;
            for (const auto& [id, entry] : job_table.jobs()) {
                if (!entry.job.waiting()) runnable.push_back(id);
            }
            if (runnable.empty()) {
                RC_ASSERT(job_table.jobs().empty());
                break;
            }
            const std::string ended = *rc::gen::elementOf(runnable);
            endings[ended] = *rc::gen::inRange(0, 8) == 0 ? TerminalState::cancelled : TerminalState::done;
            job_table.erase_job(ended, ++mod_revision);
        }
        for (std::size_t i = 0; i < n; ++i) {
            for (const std::size_t resources : needs[i]) {
                if (endings.at(Graph::id(resources)) == TerminalState::cancelled)
                    RC_ASSERT(endings.at(Graph::id(i)) == TerminalState::cancelled);
            }
        }
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
