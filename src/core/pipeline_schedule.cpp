#include "core/pipeline_schedule.hpp"

#include <algorithm>
#include <cstdint>

#include "core/queue_order.hpp"

namespace hatchwind::core {

namespace {

struct Node {
    const JobEntry* entry = nullptr;
    std::vector<std::size_t> needed_by;
    std::size_t unfinished_needs = 0;  // not passed yet on the way forward
    bool needs_cancelled_job = false;
    bool can_run = false;  // stays false in a circle and behind one
    Micros soonest_start{};
    Micros soonest_done{};
    InheritedDemand demand;
    bool needed = false;
};

// Unfinished jobs that wait or are waited for, and who needs whom. All walks are loops over a command in
// which every job comes after those that it needs: pipelines may be hundreds of jobs deep.
class Graph {
  public:
    Graph(const JobTable& job_table, Micros wall_clock_now) : job_table_(job_table), wall_(wall_clock_now) {
        for (const auto& id : job_table.waiting()) add_waiting(*job_table.find(id));
    }

    // When each job could be done if all goes well.
    void walk_forward() {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (nodes_[i].unfinished_needs == 0) order_.push_back(i);
        }
        // The order grows on the way.
        // NOLINTNEXTLINE(modernize-loop-convert)
        for (std::size_t next = 0; next < order_.size(); ++next) pass_on_start(nodes_[order_[next]]);
    }

    // What is asked of each job by those behind it.
    void walk_backward(const std::vector<Objective>& objectives) {
        std::for_each(order_.rbegin(), order_.rend(),
                      [&](std::size_t node) { inherit(nodes_[node], objectives); });
    }

    const std::vector<Node>& member_records() const { return nodes_; }

  private:
    std::size_t node_of(const JobEntry& entry) {
        const auto [known, fresh] = index_.try_emplace(&entry, nodes_.size());
        if (fresh) {
            Node& node = nodes_.emplace_back();
            node.entry = &entry;
            node.soonest_start = wall_;
            node.demand.priority = entry.job.priority;
        }
        return known->second;
    }

    void add_waiting(const JobEntry& entry) {
        const std::size_t waiting = node_of(entry);
        for (const auto& id : entry.job.dependencies) {
            const JobEntry* needed = job_table_.find(id);
            // What the job table does not have any more is over.
            if (needed == nullptr || (needed->finished() && !needed->job.cancelled)) continue;
            const std::size_t before = node_of(*needed);
            nodes_[before].needed_by.push_back(waiting);
            ++nodes_[waiting].unfinished_needs;
        }
    }

    void pass_on_start(Node& node) {
        node.can_run = !node.entry->job.cancelled && !node.needs_cancelled_job;
        node.soonest_done =
            node.soonest_start + from_seconds(node.entry->job.estimate_s * kTrustedShareOfEstimate);
        for (const auto behind : node.needed_by) {
            Node& later = nodes_[behind];
            later.needs_cancelled_job = later.needs_cancelled_job || !node.can_run;
            later.soonest_start = std::max(later.soonest_start, node.soonest_done);
            if (--later.unfinished_needs == 0) order_.push_back(behind);
        }
    }

    void inherit(Node& node, const std::vector<Objective>& objectives) {
        if (!node.can_run) return;
        const Job& job = node.entry->job;
        InheritedDemand& demand = node.demand;
        if (job.deadline_s) demand.due = deadline_still_met(job, objectives, node.soonest_done);
        for (const auto behind : node.needed_by) {
            const Node& later = nodes_[behind];
            if (!later.can_run) continue;
            node.needed = true;
            demand.priority = std::max(demand.priority, later.demand.priority);
            const auto& start = later.demand.latest_start;
            if (start && (!demand.due || *start < *demand.due)) demand.due = start;
        }
        if (demand.due) demand.latest_start = *demand.due - planned_stage_time(job);
    }

    const JobTable& job_table_;
    Micros wall_;
    std::vector<Node> nodes_;
    std::unordered_map<const JobEntry*, std::size_t> index_;
    std::vector<std::size_t> order_;  // every job after those that it needs
};

}  // namespace

PipelineSchedule PipelineSchedule::build(const JobTable& job_table, const std::vector<Objective>& objectives,
                                         Micros wall_clock_now) {
    PipelineSchedule schedule;
    Graph graph{job_table, wall_clock_now};
    graph.walk_forward();
    graph.walk_backward(objectives);
    for (const auto& node : graph.member_records()) {
        if (!node.can_run) continue;
        if (node.needed) schedule.demands_.emplace(node.entry->job.id, node.demand);
        // Without a list its needs are not known here, and nobody can say when it will be released.
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
