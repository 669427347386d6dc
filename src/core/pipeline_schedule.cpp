#include "core/pipeline_schedule.hpp"

#include <algorithm>
#include <cstdint>

#include "core/queue_order.hpp"

namespace hatchwind::core {

namespace {

// A job of the DAG.
struct Node {
    const JobEntry* entry = nullptr;
    std::vector<std::size_t> dependents;
    std::size_t unvisited_dependencies = 0;  // on the way forward
    bool depends_on_cancelled = false;
    bool can_run = false;  // stays false on a cycle and behind one
    Micros soonest_start{};
    Micros soonest_done{};
    InheritedDemand demand;
    bool has_dependents = false;  // that can run
};

// The DAG of unfinished jobs that wait or are waited for. All walks are loops over a topological order,
// without recursion: pipelines may be hundreds of jobs deep.
class Graph {
  public:
    Graph(const JobTable& job_table, Micros wall_clock_now)
        : job_table_(job_table), wall_clock_now_(wall_clock_now) {
        for (const auto& id : job_table.waiting()) add_waiting(*job_table.find(id));
    }

    // When each job could be done if all goes well.
    void walk_forward() {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (nodes_[i].unvisited_dependencies == 0) order_.push_back(i);
        }
        // The order grows on the way, so iterators do not last.
        std::size_t next = 0;
        while (next < order_.size()) propagate_start(nodes_[order_[next++]]);
    }

    // What the dependents of each job require of it.
    void walk_backward(const std::vector<Objective>& objectives) {
        std::for_each(order_.rbegin(), order_.rend(),
                      [&](std::size_t node) { inherit(nodes_[node], objectives); });
    }

    const std::vector<Node>& nodes() const { return nodes_; }

  private:
    std::size_t node_of(const JobEntry& entry) {
        const auto [known, fresh] = index_.try_emplace(&entry, nodes_.size());
        if (fresh) {
            Node& node = nodes_.emplace_back();
            node.entry = &entry;
            node.soonest_start = wall_clock_now_;
            node.demand.priority = entry.job.priority;
        }
        return known->second;
    }

    void add_waiting(const JobEntry& entry) {
        const std::size_t waiting = node_of(entry);
        for (const auto& id : entry.job.dependencies) {
            const JobEntry* dependency = job_table_.find(id);
            // A job that is not in the job table any more is over.
            if (dependency == nullptr) continue;
            if (dependency->finished() && !dependency->job.cancelled) continue;
            const std::size_t before = node_of(*dependency);
            nodes_[before].dependents.push_back(waiting);
            ++nodes_[waiting].unvisited_dependencies;
        }
    }

    void propagate_start(Node& node) {
        node.can_run = !node.entry->job.cancelled && !node.depends_on_cancelled;
        node.soonest_done =
            node.soonest_start + from_seconds(node.entry->job.estimate_s * kTrustedShareOfEstimate);
        for (const auto dependent : node.dependents) {
            Node& later = nodes_[dependent];
            later.depends_on_cancelled = later.depends_on_cancelled || !node.can_run;
            later.soonest_start = std::max(later.soonest_start, node.soonest_done);
            if (--later.unvisited_dependencies == 0) order_.push_back(dependent);
        }
    }

    void inherit(Node& node, const std::vector<Objective>& objectives) {
        if (!node.can_run) return;
        const Job& job = node.entry->job;
        InheritedDemand& demand = node.demand;
        if (job.deadline_s) demand.due = deadline_still_met(job, objectives, node.soonest_done);
        for (const auto dependent : node.dependents) {
            const Node& later = nodes_[dependent];
            if (!later.can_run) continue;
            node.has_dependents = true;
            demand.priority = std::max(demand.priority, later.demand.priority);
            const auto& start = later.demand.latest_start;
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
    graph.walk_forward();
    graph.walk_backward(objectives);
    for (const auto& node : graph.nodes()) {
        if (!node.can_run) continue;
        if (node.has_dependents) schedule.demands_.emplace(node.entry->job.id, node.demand);
        // Without a list its dependencies are not known here, and nobody can say when it will be released.
        const Job& job = node.entry->job;
        if (job.waiting() && !job.dependencies.empty())
            schedule.upcoming_.push_back({node.entry, node.soonest_start});
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
