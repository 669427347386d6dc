#include "core/queue_order.hpp"

#include <algorithm>
#include <tuple>

namespace hatchwind::core {

namespace {

// Seconds from acceptance: no late due time is earlier.
constexpr double kLeastLateDueSeconds = 240.0;

// Due time once all objectives are missed: behind what can still be met, since serving the latest first under
// overload makes every job late in turn; but a time of its own, so that newcomers do not pass it for ever.
Micros late_due(const Job& job, double last_objective_s) {
    return job.accepted + from_seconds(std::max(kLeastLateDueSeconds, 2 * last_objective_s));
}

// Seconds from acceptance by which the job has to be done for this objective. A wait ends with the start:
// counted to the end, as the others are, a class with an objective for its wait looked late too early, and
// machines were scaled out for that.
double done_within(const Job& job, const Objective& objective) {
    return objective.kind == "wait" ? objective.within_s + job.estimate_s : objective.within_s;
}

// Seconds from acceptance.
double last_objective(const Job& job, const std::vector<Objective>& objectives) {
    double last = job.deadline_s.value_or(0);
    for (const auto& objective : objectives) {
        if (objective.job_class == job.job_class) last = std::max(last, done_within(job, objective));
    }
    return last;
}

// By the job's own deadline and objectives, without what pipelines require of it.
Micros own_due_time(const Job& job, const std::vector<Objective>& objectives, Micros wall_clock_now) {
    const Micros run = from_seconds(job.estimate_s * kTrustedShareOfEstimate);
    Micros due = late_due(job, last_objective(job, objectives));
    const auto consider = [&](double within_s) {
        const Micros at = job.accepted + from_seconds(within_s);
        if (at >= wall_clock_now + run) due = std::min(due, at);
    };
    if (job.deadline_s) consider(*job.deadline_s);
    for (const auto& objective : objectives) {
        if (objective.job_class == job.job_class && objective.within_s > 0)
            consider(done_within(job, objective));
    }
    return due;
}

Micros earlier_if_needed(const Job& job, Micros own_due, const PipelineSchedule* pipelines) {
    const InheritedDemand* inherited = pipelines == nullptr ? nullptr : pipelines->find(job.id);
    if (inherited == nullptr || !inherited->due) return own_due;
    return std::min(own_due, *inherited->due);
}

struct QueuePosition {
    int rank;  // lower goes first
    Micros due;
    const JobEntry* entry;
};

bool goes_before(const QueuePosition& left, const QueuePosition& right) {
    return std::tie(left.rank, left.due, left.entry->job.id) <
           std::tie(right.rank, right.due, right.entry->job.id);
}

QueuePosition position_of(const JobEntry& entry, const std::vector<Objective>& objectives,
                          Micros wall_clock_now, const PipelineSchedule* pipelines) {
    const Micros own_due = own_due_time(entry.job, objectives, wall_clock_now);
    // What is late even by its last due time goes before other arrays of any priority. The time that a
    // pipeline leaves is a plan with a margin: to be past it raises no priority.
    int rank = -static_cast<int>(effective_priority(entry.job, pipelines));
    if (wall_clock_now > own_due) rank = std::min(rank, -static_cast<int>(Priority::high));
    return {rank, earlier_if_needed(entry.job, own_due, pipelines), &entry};
}

}  // namespace

Micros due_time(const Job& job, const std::vector<Objective>& objectives, Micros wall_clock_now,
                const PipelineSchedule* pipelines) {
    return earlier_if_needed(job, own_due_time(job, objectives, wall_clock_now), pipelines);
}

Micros deadline_still_met(const Job& job, const std::vector<Objective>& objectives, Micros soonest_done) {
    Micros due = late_due(job, *job.deadline_s);
    const auto consider = [&](double times) {
        const Micros at = job.accepted + from_seconds(*job.deadline_s * times);
        if (at >= soonest_done) due = std::min(due, at);
    };
    consider(1);
    for (const auto& objective : objectives) {
        if (objective.kind == "deadline" && objective.job_class == job.job_class) consider(objective.times);
    }
    return due;
}

bool waited_too_long(const JobEntry& entry, Micros wall_clock_now) {
    return entry.done == 0 && wall_clock_now - entry.job.accepted >= kBeginWithin;
}

bool must_begin(const JobEntry& entry, Micros wall_clock_now) {
    return entry.open == 0 && waited_too_long(entry, wall_clock_now);
}

std::vector<const JobEntry*> queue_order(const JobTable& job_table, const std::set<std::string>& teams,
                                         const std::vector<Objective>& objectives, Micros wall_clock_now,
                                         const PipelineSchedule* pipelines) {
    std::vector<QueuePosition> positions;
    for (const auto& [id, entry] : job_table.jobs()) {
        if (entry.job.cancelled || entry.unstarted() == 0 || !teams.contains(entry.job.team)) continue;
        positions.push_back(position_of(entry, objectives, wall_clock_now, pipelines));
    }
    std::sort(positions.begin(), positions.end(), goes_before);
    std::vector<const JobEntry*> queue;
    queue.reserve(positions.size());
    for (const auto& position : positions) queue.push_back(position.entry);
    return queue;
}

std::vector<const JobEntry*> overdue_jobs(const std::vector<const JobEntry*>& queue, Micros wall_clock_now) {
    std::vector<const JobEntry*> overdue;
    for (const JobEntry* entry : queue) {
        if (must_begin(*entry, wall_clock_now)) overdue.push_back(entry);
    }
    std::stable_sort(overdue.begin(), overdue.end(), [](const JobEntry* left, const JobEntry* right) {
        return left->job.accepted < right->job.accepted;
    });
    return overdue;
}

}  // namespace hatchwind::core
