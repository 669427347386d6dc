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
    DependencyPass(const JobTable& job_table, const TerminalStateLookup& ending)
        : job_table_(job_table), ending_(ending) {
        for (const auto& id : job_table.waiting()) {
            index_.emplace(id, jobs_.size());
            jobs_.push_back({&job_table.find(id)->job});
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
                for (const auto resources : waiting.unknown) {
                    if (unknown.insert(resources).second)
                        plan.unknown_terminal_states.emplace_back(resources);
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
        if (!waiting.job->dependencies_known()) waiting.open_needs = 1;
        for (const auto& resources : waiting.job->dependencies) look_at_need(i, resources);
    }

    void look_at_need(std::size_t i, const std::string& resources) {
        WaitingJob& waiting = jobs_[i];
        if (const auto other = index_.find(resources); other != index_.end()) {
            ++waiting.open_needs;
            jobs_[other->second].dependents.push_back(i);
            return;
        }
        if (const JobEntry* unfinished = job_table_.find(resources)) {
            ++waiting.open_needs;
            if (unfinished->job.cancelled) mark_cancelled(i);
            return;
        }
        const auto ended = ending_(resources);
        if (ended == TerminalState::done) return;
        ++waiting.open_needs;
        if (ended) {
            mark_cancelled(i);
        } else {
            waiting.unknown.emplace_back(resources);
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

    const JobTable& job_table_;
    const TerminalStateLookup& ending_;
    std::vector<WaitingJob> jobs_;
    std::unordered_map<std::string_view, std::size_t> index_;
    std::vector<std::size_t> cancelled_;  // whose dependents are to be marked
};

}  // namespace

DependencyPlan plan_dependencies(const JobTable& job_table, const TerminalStateLookup& ending,
                                 const std::function<bool(const Job&)>& mine) {
    if (job_table.waiting().empty()) return {};
    return DependencyPass{job_table, ending}.run(mine);
}

Ancestry look_back(const JobTable& job_table, const std::vector<std::string>& jobs,
                   const TerminalStateLookup& ending) {
    Ancestry ancestry;
    std::unordered_set<std::string_view> seen(jobs.begin(), jobs.end());
    std::vector<const std::string*> to_visit;
    to_visit.reserve(jobs.size());
    for (const auto& job : jobs) to_visit.push_back(&job);
    while (!to_visit.empty()) {
        const std::string& id = *to_visit.back();
        to_visit.pop_back();
        if (const JobEntry* entry = job_table.find(id)) {
            if (entry->job.cancelled) {
                ancestry.cancelled = true;
                return ancestry;
            }
            if (!entry->job.waiting()) continue;
            if (!entry->job.dependencies_known()) ancestry.complete = false;
            for (const auto& resources : entry->job.dependencies) {
                if (seen.insert(resources).second) to_visit.push_back(&resources);
            }
            continue;
        }
        const auto ended = ending(id);
        if (ended == TerminalState::cancelled) {
            ancestry.cancelled = true;
            return ancestry;
        }
        if (!ended) ancestry.unknown_terminal_states.push_back(id);
    }
    return ancestry;
}

}  // namespace hatchwind::core
