// The graph of waiting jobs against a plain model.
#include "core/dependency_graph.hpp"

#include <algorithm>
#include <set>

#include "support.hpp"

namespace hatchwind {
namespace {

using core::Ending;
using test::holds;

enum class Fate : std::uint8_t { running, running_cancelled, waiting, waiting_cancelled, done, cancelled };

struct Graph {
    std::vector<Fate> fates;
    std::vector<std::set<std::size_t>> needs;  // of waiting jobs, all of lower number
    std::set<std::size_t> known;               // whose ending is known
    std::set<std::size_t> hidden;              // whose list of needs is not known
    std::set<std::size_t> mine;

    static std::string id(std::size_t i) { return "req-" + std::to_string(i); }
    std::optional<Ending> ending(const std::string& job) const {
        const std::size_t i = std::stoul(job.substr(4));
        if (!known.contains(i)) return std::nullopt;
        if (fates[i] == Fate::done) return Ending::done;
        if (fates[i] == Fate::cancelled) return Ending::cancelled;
        return std::nullopt;
    }
    core::Ledger ledger() const {
        core::Ledger ledger;
        for (std::size_t i = 0; i < fates.size(); ++i) {
            if (fates[i] == Fate::done || fates[i] == Fate::cancelled) continue;
            const bool waits = fates[i] == Fate::waiting || fates[i] == Fate::waiting_cancelled;
            core::Job job = test::job(id(i), waits ? core::kWaitingTeam : "x", 1, 1);
            job.cancelled = fates[i] == Fate::running_cancelled || fates[i] == Fate::waiting_cancelled;
            if (waits) {
                job.team_once_released = mine.contains(i) ? "x" : "y";
                if (!hidden.contains(i)) {
                    for (const std::size_t need : needs[i]) job.awaits.push_back(id(need));
                }
            }
            ledger.put_job(job, i + 1);
        }
        return ledger;
    }
};

Graph draw_graph() {
    Graph g;
    const std::size_t n = *rc::gen::inRange<std::size_t>(1, 40);
    for (std::size_t i = 0; i < n; ++i) {
        g.needs.emplace_back();
        Fate fate = *rc::gen::element(Fate::running, Fate::running_cancelled, Fate::waiting, Fate::waiting,
                                      Fate::waiting, Fate::waiting_cancelled, Fate::done, Fate::done,
                                      Fate::cancelled);
        // Rarely a cancelled one, or nearly all would be.
        if ((fate == Fate::running_cancelled || fate == Fate::cancelled || fate == Fate::waiting_cancelled) &&
            *rc::gen::inRange(0, 3) != 0)
            fate = Fate::done;
        if (i == 0 && fate == Fate::waiting) fate = Fate::running;
        g.fates.push_back(fate);
        if (fate == Fate::waiting || fate == Fate::waiting_cancelled) {
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
        if (g.fates[i] == Fate::running_cancelled || g.fates[i] == Fate::waiting_cancelled ||
            (g.fates[i] == Fate::cancelled && g.known.contains(i)))
            cancelled.insert(i);
    }
    for (bool changed = true; changed;) {
        changed = false;
        for (std::size_t i = 0; i < g.fates.size(); ++i) {
            if (g.fates[i] != Fate::waiting || g.hidden.contains(i) || cancelled.contains(i)) continue;
            for (const std::size_t need : g.needs[i]) {
                if (cancelled.contains(need)) changed = cancelled.insert(i).second || changed;
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
        const core::Ledger ledger = g.ledger();
        const auto ending = [&](const std::string& job) { return g.ending(job); };
        const auto plan = core::plan_dependencies(
            ledger, ending, [](const core::Job& job) { return job.team_once_released == "x"; });
        const std::set<std::size_t> cancelled = cancelled_in_model(g);
        std::set<std::string> release;
        std::set<std::string> cancel;
        std::set<std::string> unknown;
        for (std::size_t i = 0; i < g.fates.size(); ++i) {
            const bool waits = g.fates[i] == Fate::waiting || g.fates[i] == Fate::waiting_cancelled;
            if (!waits || !g.mine.contains(i)) continue;
            if (cancelled.contains(i)) {
                cancel.insert(Graph::id(i));
                continue;
            }
            if (g.hidden.contains(i)) continue;
            bool all_done = true;
            for (const std::size_t need : g.needs[i]) {
                const bool ended = g.fates[need] == Fate::done || g.fates[need] == Fate::cancelled;
                if (ended && !g.known.contains(need)) unknown.insert(Graph::id(need));
                all_done = all_done && g.fates[need] == Fate::done && g.known.contains(need);
            }
            if (all_done) release.insert(Graph::id(i));
        }
        RC_ASSERT(as_set(plan.release) == release);
        RC_ASSERT(as_set(plan.cancel) == cancel);
        RC_ASSERT(as_set(plan.unknown_endings) == unknown);
        for (std::size_t i = 0; i < g.fates.size(); ++i) {
            if (g.fates[i] != Fate::waiting && g.fates[i] != Fate::waiting_cancelled) continue;
            const auto ancestry = core::look_back(ledger, {Graph::id(i)}, ending);
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
        core::Ledger ledger;
        std::map<std::string, Ending> endings;
        core::Stamp stamp = 0;
        for (std::size_t i = 0; i < n; ++i) {
            const int count = *rc::gen::inRange(0, 4);
            for (int k = 0; k < count && i > 0; ++k) needs[i].insert(*rc::gen::inRange<std::size_t>(0, i));
            core::Job job = test::job(Graph::id(i), needs[i].empty() ? "x" : core::kWaitingTeam, 1, 1);
            for (const std::size_t need : needs[i]) job.awaits.push_back(Graph::id(need));
            job.team_once_released = "x";
            ledger.put_job(job, ++stamp);
        }
        const auto ending = [&](const std::string& job) -> std::optional<Ending> {
            const auto it = endings.find(job);
            return it == endings.end() ? std::nullopt : std::optional{it->second};
        };
        while (!ledger.jobs().empty()) {
            const auto plan =
                core::plan_dependencies(ledger, ending, [](const core::Job& /*job*/) { return true; });
            RC_ASSERT(plan.unknown_endings.empty());
            for (const auto& id : plan.release) {
                for (const std::size_t need : needs[std::stoul(id.substr(4))])
                    RC_ASSERT(endings.at(Graph::id(need)) == Ending::done);
                core::Job job = ledger.find(id)->job;
                job.team = "x";
                ledger.put_job(job, ++stamp);
            }
            for (const auto& id : plan.cancel) {
                endings[id] = Ending::cancelled;
                ledger.erase_job(id, ++stamp);
            }
            std::vector<std::string> runnable;
            for (const auto& [id, entry] : ledger.jobs()) {
                if (!entry.job.waiting()) runnable.push_back(id);
            }
            if (runnable.empty()) {
                RC_ASSERT(ledger.jobs().empty());
                break;
            }
            const std::string ended = *rc::gen::elementOf(runnable);
            endings[ended] = *rc::gen::inRange(0, 8) == 0 ? Ending::cancelled : Ending::done;
            ledger.erase_job(ended, ++stamp);
        }
        for (std::size_t i = 0; i < n; ++i) {
            for (const std::size_t need : needs[i]) {
                if (endings.at(Graph::id(need)) == Ending::cancelled)
                    RC_ASSERT(endings.at(Graph::id(i)) == Ending::cancelled);
            }
        }
    });
}

// Far deeper than any stack would bear.
TEST(DependencyGraph, ChainsAndFansOfAnyLengthAreCancelledInOneStep) {
    constexpr std::size_t kJobs = 100'000;
    core::Ledger ledger;
    core::Job root = test::job("req-0", "x", 1, 1);
    root.cancelled = true;
    ledger.put_job(root, 1);
    for (std::size_t i = 1; i <= kJobs; ++i) {
        core::Job job = test::job(Graph::id(i), core::kWaitingTeam, 1, 1);
        job.awaits = {Graph::id(i - 1)};
        job.team_once_released = "x";
        ledger.put_job(job, i + 1);
    }
    const core::EndingOf none = [](const std::string& /*job*/) { return std::nullopt; };
    const auto plan = core::plan_dependencies(ledger, none, [](const core::Job& /*job*/) { return true; });
    EXPECT_EQ(plan.cancel.size(), kJobs);
    EXPECT_TRUE(core::look_back(ledger, {Graph::id(kJobs)}, none).cancelled);
}

}  // namespace
}  // namespace hatchwind
