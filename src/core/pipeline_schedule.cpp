#include "core/pipeline_schedule.hpp"

#include <algorithm>
#include <cstdint>

#include "core/queue_order.hpp"

namespace hatchwind::core {

namespace {

// A job in the dependency graph.
struct Node {
    const JobEntry* entry = nullptr;
    std::vector<std::size_t> dependents;
    std::size_t unvisited_dependencies = 0;  // during the forward pass
    bool depends_on_cancelled = false;
    bool can_run = false;  // stays false on a dependency cycle and downstream of one
    Micros earliest_start{};
    Micros earliest_finish{};
    InheritedDemand demand;
    bool has_dependents = false;  // only dependents that can run count
};

// The dependency graph of waiting jobs and their unfinished dependencies. Both passes iterate over a
// topological order instead of recursing, because pipelines may be hundreds of jobs deep.
class Graph {
  public:
    Graph(const JobTable& job_table, Micros wall_clock_now)
        : job_table_(job_table), wall_clock_now_(wall_clock_now) {
        for (const auto& id : job_table.waiting()) add_waiting(*job_table.find(id));
    }

    // Computes the earliest start and finish of each job, and which jobs can run.
    void run_forward_pass() {
        for (std::size_t node = 0; node < nodes_.size(); ++node) {
            if (nodes_[node].unvisited_dependencies == 0) order_.push_back(node);
        }
        // propagate_start() appends to order_, which invalidates iterators.
        std::size_t next = 0;
        while (next < order_.size()) propagate_start(nodes_[order_[next++]]);
    }

    // Computes the demand that each job inherits from its dependents.
    void run_backward_pass(const std::vector<Objective>& objectives) {
        std::for_each(order_.rbegin(), order_.rend(),
                      [&](std::size_t node) { inherit_demand(nodes_[node], objectives); });
    }

    const std::vector<Node>& nodes() const { return nodes_; }

  private:
    std::size_t node_of(const JobEntry& entry) {
        const auto [known, is_new] = index_.try_emplace(&entry, nodes_.size());
        if (is_new) {
            Node& node = nodes_.emplace_back();
            node.entry = &entry;
            node.earliest_start = wall_clock_now_;
            node.demand.priority = entry.job.priority;
        }
        return known->second;
    }

    void add_waiting(const JobEntry& entry) {
        const std::size_t waiting = node_of(entry);
        for (const auto& id : entry.job.dependencies) {
            const JobEntry* dependency = job_table_.find(id);
            // A job that is no longer in the job table has ended.
            if (dependency == nullptr) continue;
            if (dependency->finished() && !dependency->job.cancelled) continue;
            const std::size_t predecessor = node_of(*dependency);
            nodes_[predecessor].dependents.push_back(waiting);
            ++nodes_[waiting].unvisited_dependencies;
        }
    }

    void propagate_start(Node& node) {
        node.can_run = !node.entry->job.cancelled && !node.depends_on_cancelled;
        node.earliest_finish =
            node.earliest_start + from_seconds(node.entry->job.estimate_s * kOptimisticEstimateFactor);
        for (const auto dependent : node.dependents) {
            Node& successor = nodes_[dependent];
            successor.depends_on_cancelled = successor.depends_on_cancelled || !node.can_run;
            successor.earliest_start = std::max(successor.earliest_start, node.earliest_finish);
            if (--successor.unvisited_dependencies == 0) order_.push_back(dependent);
        }
    }

    void inherit_demand(Node& node, const std::vector<Objective>& objectives) {
        if (!node.can_run) return;
        const Job& job = node.entry->job;
        InheritedDemand& demand = node.demand;
        if (job.deadline_s) demand.due = earliest_reachable_deadline(job, objectives, node.earliest_finish);
        for (const auto dependent : node.dependents) {
            const Node& successor = nodes_[dependent];
            if (!successor.can_run) continue;
            node.has_dependents = true;
            demand.priority = std::max(demand.priority, successor.demand.priority);
            const auto& start = successor.demand.latest_start;
            if (start && (!demand.due || *start < *demand.due)) demand.due = start;
        }
        if (demand.due) demand.latest_start = *demand.due - planned_stage_time(job);
    }

    const JobTable& job_table_;
    Micros wall_clock_now_;
    std::vector<Node> nodes_;
    std::unordered_map<const JobEntry*, std::size_t> index_;
    std::vector<std::size_t> order_;  // topological: every job after its dependencies
};

}  // namespace

PipelineSchedule PipelineSchedule::build(const JobTable& job_table, const std::vector<Objective>& objectives,
                                         Micros wall_clock_now) {
    PipelineSchedule schedule;
    Graph graph{job_table, wall_clock_now};
    graph.run_forward_pass();
    graph.run_backward_pass(objectives);
    for (const auto& node : graph.nodes()) {
        if (!node.can_run) continue;
        if (node.has_dependents) schedule.demands_.emplace(node.entry->job.id, node.demand);
        // Without known dependencies the release time cannot be predicted.
        const Job& job = node.entry->job;
        if (job.waiting() && !job.dependencies.empty())
            schedule.upcoming_.push_back({node.entry, node.earliest_start});
    }
    return schedule;
}

const InheritedDemand* PipelineSchedule::find(const std::string& job) const {
    if (demands_.empty()) return nullptr;
    const auto known = demands_.find(job);
    return known == demands_.end() ? nullptr : &known->second;
}

Priority effective_priority(const Job& job, const PipelineSchedule* pipelines) {
    const InheritedDemand* inherited = pipelines == nullptr ? nullptr : pipelines->find(job.id);
    return inherited == nullptr ? job.priority : inherited->priority;
}

}  // namespace hatchwind::core
