#include "core/dependency_graph.hpp"

#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace hatchwind::core {

namespace {

struct WaitingJob {
    const Job* job = nullptr;
    bool cancelled = false;
    std::size_t open_needs = 0;             // that are not known to be done
    std::vector<std::size_t> dependents{};  // waiting jobs that need this one
    std::vector<std::string_view> unknown{};
};

class DependencyPass {
  public:
    DependencyPass(const Ledger& ledger, const EndingOf& ending) : ledger_(ledger), ending_(ending) {
        for (const auto& id : ledger.waiting()) {
            index_.emplace(id, jobs_.size());
            jobs_.push_back({&ledger.find(id)->job});
        }
    }

    DependencyPlan run(const std::function<bool(const Job&)>& mine) {
        for (std::size_t i = 0; i < jobs_.size(); ++i) look_at_needs(i);
        spread_cancels();
        DependencyPlan plan;
        std::unordered_set<std::string_view> unknown;
        for (const auto& waiting : jobs_) {
            if (!mine(*waiting.job)) continue;
            if (waiting.cancelled) {
                plan.cancel.push_back(waiting.job->id);
            } else if (waiting.open_needs == 0) {
                plan.release.push_back(waiting.job->id);
            } else {
                for (const auto need : waiting.unknown) {
                    if (unknown.insert(need).second) plan.unknown_endings.emplace_back(need);
                }
            }
        }
        return plan;
    }

  private:
    void look_at_needs(std::size_t i) {
        WaitingJob& waiting = jobs_[i];
        if (waiting.job->cancelled) {
            mark_cancelled(i);
            return;
        }
        if (!waiting.job->needs_known()) waiting.open_needs = 1;
        for (const auto& need : waiting.job->awaits) look_at_need(i, need);
    }

    void look_at_need(std::size_t i, const std::string& need) {
        WaitingJob& waiting = jobs_[i];
        if (const auto other = index_.find(need); other != index_.end()) {
            ++waiting.open_needs;
            jobs_[other->second].dependents.push_back(i);
            return;
        }
        if (const JobEntry* unfinished = ledger_.find(need)) {
            ++waiting.open_needs;
            if (unfinished->job.cancelled) mark_cancelled(i);
            return;
        }
        const auto ended = ending_(need);
        if (ended == Ending::done) return;
        ++waiting.open_needs;
        if (ended) {
            mark_cancelled(i);
        } else {
            waiting.unknown.emplace_back(need);
        }
    }

    void mark_cancelled(std::size_t i) {
        if (jobs_[i].cancelled) return;
        jobs_[i].cancelled = true;
        cancelled_.push_back(i);
    }

    void spread_cancels() {
        while (!cancelled_.empty()) {
            const std::size_t i = cancelled_.back();
            cancelled_.pop_back();
            for (const std::size_t dependent : jobs_[i].dependents) mark_cancelled(dependent);
        }
    }

    const Ledger& ledger_;
    const EndingOf& ending_;
    std::vector<WaitingJob> jobs_;
    std::unordered_map<std::string_view, std::size_t> index_;
    std::vector<std::size_t> cancelled_;  // whose dependents are to be marked
};

}  // namespace

DependencyPlan plan_dependencies(const Ledger& ledger, const EndingOf& ending,
                                 const std::function<bool(const Job&)>& mine) {
    if (ledger.waiting().empty()) return {};
    return DependencyPass{ledger, ending}.run(mine);
}

Ancestry look_back(const Ledger& ledger, const std::vector<std::string>& jobs, const EndingOf& ending) {
    Ancestry ancestry;
    std::unordered_set<std::string_view> seen(jobs.begin(), jobs.end());
    std::vector<const std::string*> to_visit;
    to_visit.reserve(jobs.size());
    for (const auto& job : jobs) to_visit.push_back(&job);
    while (!to_visit.empty()) {
        const std::string& id = *to_visit.back();
        to_visit.pop_back();
        if (const JobEntry* entry = ledger.find(id)) {
            if (entry->job.cancelled) {
                ancestry.cancelled = true;
                return ancestry;
            }
            if (!entry->job.waiting()) continue;
            if (!entry->job.needs_known()) ancestry.complete = false;
            for (const auto& need : entry->job.awaits) {
                if (seen.insert(need).second) to_visit.push_back(&need);
            }
            continue;
        }
        const auto ended = ending(id);
        if (ended == Ending::cancelled) {
            ancestry.cancelled = true;
            return ancestry;
        }
        if (!ended) ancestry.unknown_endings.push_back(id);
    }
    return ancestry;
}

}  // namespace hatchwind::core
