#include "core/queue_order.hpp"

#include <algorithm>
#include <tuple>

namespace hatchwind::core {

namespace {

// Lower bound, in seconds from acceptance, of the due time of a job that has missed all objectives.
constexpr double kMinLateDueSeconds = 240.0;

// Due time of a job that has missed all its objectives. Such jobs go behind jobs that can still meet an
// objective, because serving the latest job first under overload makes every job late in turn. The due time
// does not move, so that new jobs do not pass a late job for ever.
Micros late_due(const Job& job, double last_objective_s) {
    return job.accepted + from_seconds(std::max(kMinLateDueSeconds, 2 * last_objective_s));
}

// Seconds from acceptance by which the job must be done to meet this objective. A wait objective ends with
// the start, so the estimated run time is added: otherwise such jobs would look late too early, and machines
// would be scaled out for them.
double seconds_to_completion(const Job& job, const Objective& objective) {
    return objective.kind == "wait" ? objective.within_s + job.estimate_s : objective.within_s;
}

// Returns the job's latest deadline or objective, in seconds from acceptance.
double latest_objective_s(const Job& job, const std::vector<Objective>& objectives) {
    double latest_s = job.deadline_s.value_or(0);
    for (const auto& objective : objectives) {
        if (objective.job_class == job.job_class)
            latest_s = std::max(latest_s, seconds_to_completion(job, objective));
    }
    return latest_s;
}

// Due time by the job's own deadline and objectives, without the demands of pipelines.
Micros own_due_time(const Job& job, const std::vector<Objective>& objectives, Micros wall_clock_now) {
    const Micros min_run_time = from_seconds(job.estimate_s * kOptimisticEstimateFactor);
    Micros due = late_due(job, latest_objective_s(job, objectives));
    const auto consider = [&](double within_s) {
        const Micros due_at = job.accepted + from_seconds(within_s);
        if (due_at >= wall_clock_now + min_run_time) due = std::min(due, due_at);
    };
    if (job.deadline_s) consider(*job.deadline_s);
    for (const auto& objective : objectives) {
        if (objective.job_class == job.job_class && objective.within_s > 0)
            consider(seconds_to_completion(job, objective));
    }
    return due;
}

Micros earlier_of_own_and_inherited(const Job& job, Micros own_due, const PipelineSchedule* pipelines) {
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
    // A job that is late even by its last due time goes before other arrays of any priority. The due time
    // inherited from a pipeline is a plan with a margin, so passing it does not raise the rank.
    int rank = -static_cast<int>(effective_priority(entry.job, pipelines));
    if (wall_clock_now > own_due) rank = std::min(rank, -static_cast<int>(Priority::high));
    return {rank, earlier_of_own_and_inherited(entry.job, own_due, pipelines), &entry};
}

}  // namespace

Micros due_time(const Job& job, const std::vector<Objective>& objectives, Micros wall_clock_now,
                const PipelineSchedule* pipelines) {
    return earlier_of_own_and_inherited(job, own_due_time(job, objectives, wall_clock_now), pipelines);
}

Micros earliest_reachable_deadline(const Job& job, const std::vector<Objective>& objectives,
                                   Micros earliest_completion) {
    Micros due = late_due(job, *job.deadline_s);
    const auto consider = [&](double deadline_multiple) {
        const Micros due_at = job.accepted + from_seconds(*job.deadline_s * deadline_multiple);
        if (due_at >= earliest_completion) due = std::min(due, due_at);
    };
    consider(1);
    for (const auto& objective : objectives) {
        if (objective.kind == "deadline" && objective.job_class == job.job_class)
            consider(objective.deadline_multiple);
    }
    return due;
}

bool unfinished_when_overdue(const JobEntry& entry, Micros wall_clock_now) {
    return entry.done == 0 && wall_clock_now - entry.job.accepted >= kOverdueAfter;
}

bool is_overdue(const JobEntry& entry, Micros wall_clock_now) {
    return entry.open == 0 && unfinished_when_overdue(entry, wall_clock_now);
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
        if (is_overdue(*entry, wall_clock_now)) overdue.push_back(entry);
    }
    std::stable_sort(overdue.begin(), overdue.end(), [](const JobEntry* left, const JobEntry* right) {
        return left->job.accepted < right->job.accepted;
    });
    return overdue;
}

}  // namespace hatchwind::core
