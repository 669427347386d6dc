#include "core/placement.hpp"

#include <unordered_set>
#include <utility>

#include "core/candidate_search.hpp"
#include "core/capacity_reservation.hpp"
#include "core/fair_share_ranking.hpp"
#include "core/gang_placement.hpp"
#include "core/overdue_gang_preemption.hpp"
#include "core/placement_trial.hpp"
#include "core/preemption.hpp"
#include "core/queue_order.hpp"
#include "core/task_placement.hpp"

namespace hatchwind::core {

namespace {

class PlacementPass {
  public:
    PlacementPass(const PlacementInput& input, FreeCapacity& capacity)
        : trial_(input, capacity),
          search_(trial_),
          ranking_(trial_),
          preemption_(trial_, ranking_),
          tasks_(trial_, search_, ranking_, preemption_),
          gangs_(trial_, search_, tasks_),
          overdue_gangs_(trial_) {}

    PlacementResult run() {
        const PlacementInput& input = trial_.input();
        const auto queue = queue_order(*input.job_table, input.own_teams, *input.objectives,
                                       input.wall_clock_now, input.pipelines);
        start_overdue_jobs(overdue_jobs(queue, input.wall_clock_now));
        apply_peer_overdue_reservations();
        place_queue(queue);
        return std::move(trial_.result());
    }

  private:
    // Starts the first task, or the whole gang, of each overdue job before the queue is placed, the job with
    // the longest wait first. Missing capacity is reserved for the job, so that neither smaller nor more
    // urgent jobs take capacity that becomes free.
    void start_overdue_jobs(const std::vector<const JobEntry*>& overdue) {
        for (const JobEntry* entry : overdue) {
            if (trial_.full()) break;
            if (!in_backoff(*entry)) start_overdue_job(*entry);
        }
    }

    // Applied only after this shard's overdue jobs: overdue jobs of different shards may compete for the same
    // capacity, but other jobs must not use it.
    void apply_peer_overdue_reservations() {
        for (const auto& reservation : trial_.input().peer_reservations) {
            if (reservation.for_overdue_job) trial_.reserve(reservation);
        }
    }

    void place_queue(const std::vector<const JobEntry*>& queue) {
        for (const JobEntry* entry : queue) {
            if (trial_.full()) {
                ++trial_.result().deferred;
                continue;
            }
            if (in_backoff(*entry)) continue;
            if (entry->job.kind != JobKind::gang) {
                tasks_.place_all(*entry);
            } else if (!tried_overdue_jobs_.contains(entry)) {
                gangs_.place(*entry);
            }
        }
    }

    bool in_backoff(const JobEntry& entry) const {
        const auto& backoff = trial_.input().job_backoff;
        const auto until = backoff.find(entry.job.id);
        return until != backoff.end() && until->second > trial_.input().now;
    }

    // Starts the first task of an overdue job, or all tasks of an overdue gang.
    void start_overdue_job(const JobEntry& entry) {
        tried_overdue_jobs_.insert(&entry);
        const bool gang = entry.job.kind == JobKind::gang;
        const std::uint32_t tasks = gang ? entry.job.tasks : 1;
        if (!trial_.within_limit(entry.job, tasks)) {
            // Later jobs of the team would otherwise use up its limit for ever. If the team's services alone
            // leave too little of the limit for this job, holding back the other jobs would not help it.
            if (!trial_.within_limit_if_only_services_run(entry.job, tasks)) return;
            if (gang) overdue_gangs_.preempt_for(entry);
            trial_.charge_team(entry.job.team, entry.job.resources * static_cast<double>(tasks));
            return;
        }
        const auto starts_before = trial_.result().starts.size();
        if (gang) {
            gangs_.place(entry);
        } else {
            tasks_.place_first(entry);
        }
        if (trial_.result().starts.size() != starts_before) return;
        if (trial_.result().reservations.contains({entry.job.id, 0})) return;
        reserve_capacity(trial_, entry, tasks);
    }

    PlacementTrial trial_;
    CandidateSearch search_;
    FairShareRanking ranking_;
    Preemption preemption_;
    TaskPlacement tasks_;
    GangPlacement gangs_;
    OverdueGangPreemption overdue_gangs_;
    std::unordered_set<const JobEntry*> tried_overdue_jobs_;
};

}  // namespace

PlacementResult place(const PlacementInput& input, FreeCapacity& capacity) {
    return PlacementPass{input, capacity}.run();
}

}  // namespace hatchwind::core
