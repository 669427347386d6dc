#include "core/dependency_graph.hpp"

#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace hatchwind::core {

namespace {

struct WaitingJob {
    const Job* job = nullptr;
    bool cancelled = false;
    std::size_t open_dependencies = 0;        // dependencies not known to be done
    std::vector<std::size_t> dependents{};    // positions of the waiting jobs that depend on this one
    std::vector<std::string_view> unknown{};  // dependencies whose terminal state is unknown
};

class DependencyPass {
  public:
    DependencyPass(const JobTable& job_table, const TerminalStateLookup& lookup)
        : job_table_(job_table), lookup_(lookup) {
        for (const auto& id : job_table.waiting()) {
            index_.emplace(id, jobs_.size());
            jobs_.push_back({&job_table.find(id)->job});
        }
    }

    DependencyPlan run(const std::function<bool(const Job&)>& selected) {
        for (std::size_t position = 0; position < jobs_.size(); ++position) visit_dependencies(position);
        propagate_cancellations();
        DependencyPlan plan;
        std::unordered_set<std::string_view> unknown;
        for (const auto& waiting : jobs_) {
            if (!selected(*waiting.job)) continue;
            if (waiting.cancelled) {
                plan.cancel.push_back(waiting.job->id);
            } else if (waiting.open_dependencies == 0) {
                plan.release.push_back(waiting.job->id);
            } else {
                for (const auto dependency : waiting.unknown) {
                    if (unknown.insert(dependency).second)
                        plan.unknown_terminal_states.emplace_back(dependency);
                }
            }
        }
        return plan;
    }

  private:
    void visit_dependencies(std::size_t position) {
        WaitingJob& waiting = jobs_[position];
        if (waiting.job->cancelled) {
            mark_cancelled(position);
            return;
        }
        if (!waiting.job->dependencies_known()) waiting.open_dependencies = 1;
        for (const auto& dependency : waiting.job->dependencies) visit_dependency(position, dependency);
    }

    void visit_dependency(std::size_t position, const std::string& dependency) {
        WaitingJob& waiting = jobs_[position];
        if (const auto other = index_.find(dependency); other != index_.end()) {
            ++waiting.open_dependencies;
            jobs_[other->second].dependents.push_back(position);
            return;
        }
        if (const JobEntry* unfinished = job_table_.find(dependency)) {
            ++waiting.open_dependencies;
            if (unfinished->job.cancelled) mark_cancelled(position);
            return;
        }
        const auto terminal_state = lookup_(dependency);
        if (terminal_state == TerminalState::done) return;
        ++waiting.open_dependencies;
        if (terminal_state) {
            mark_cancelled(position);
        } else {
            waiting.unknown.emplace_back(dependency);
        }
    }

    void mark_cancelled(std::size_t position) {
        if (jobs_[position].cancelled) return;
        jobs_[position].cancelled = true;
        cancelled_.push_back(position);
    }

    void propagate_cancellations() {
        while (!cancelled_.empty()) {
            const std::size_t position = cancelled_.back();
            cancelled_.pop_back();
            for (const std::size_t dependent : jobs_[position].dependents) mark_cancelled(dependent);
        }
    }

    const JobTable& job_table_;
    const TerminalStateLookup& lookup_;
    std::vector<WaitingJob> jobs_;
    std::unordered_map<std::string_view, std::size_t> index_;
    std::vector<std::size_t> cancelled_;  // positions whose dependents are not marked as cancelled yet
};

}  // namespace

DependencyPlan plan_dependencies(const JobTable& job_table, const TerminalStateLookup& lookup,
                                 const std::function<bool(const Job&)>& selected) {
    if (job_table.waiting().empty()) return {};
    return DependencyPass{job_table, lookup}.run(selected);
}

TransitiveDependencyStatus resolve_transitive_dependencies(const JobTable& job_table,
                                                           const std::vector<std::string>& jobs,
                                                           const TerminalStateLookup& lookup) {
    TransitiveDependencyStatus status;
    std::unordered_set<std::string_view> visited(jobs.begin(), jobs.end());
    std::vector<const std::string*> to_visit;
    to_visit.reserve(jobs.size());
    for (const auto& job : jobs) to_visit.push_back(&job);
    while (!to_visit.empty()) {
        const std::string& id = *to_visit.back();
        to_visit.pop_back();
        if (const JobEntry* entry = job_table.find(id)) {
            if (entry->job.cancelled) {
                status.cancelled = true;
                return status;
            }
            if (!entry->job.waiting()) continue;
            if (!entry->job.dependencies_known()) status.complete = false;
            for (const auto& dependency : entry->job.dependencies) {
                if (visited.insert(dependency).second) to_visit.push_back(&dependency);
            }
            continue;
        }
        const auto terminal_state = lookup(id);
        if (terminal_state == TerminalState::cancelled) {
            status.cancelled = true;
            return status;
        }
        if (!terminal_state) status.unknown_terminal_states.push_back(id);
    }
    return status;
}

}  // namespace hatchwind::core
