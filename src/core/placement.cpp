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
        begin_overdue(overdue_jobs(queue, input.wall_clock_now));
        reserve_for_overdue_of_peers();
        place_queue(queue);
        return std::move(trial_.result());
    }

  private:
    // What has waited too long begins first, each with one task, the longest wait first; capacity that it
    // does not find is reserved for it, so that neither small nor urgent work takes what is freed.
    void begin_overdue(const std::vector<const JobEntry*>& overdue) {
        for (const JobEntry* entry : overdue) {
            if (trial_.full()) break;
            if (!backed_off(*entry)) begin(*entry);
        }
    }

    // Overdue jobs of different shards may try for the same capacity; only other jobs keep away from it.
    void reserve_for_overdue_of_peers() {
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
            if (backed_off(*entry)) continue;
            if (entry->job.kind != JobKind::gang) {
                tasks_.place_all(*entry);
            } else if (!begun_.contains(entry)) {
                gangs_.place(*entry);
            }
        }
    }

    bool backed_off(const JobEntry& entry) const {
        const auto& backoff = trial_.input().job_backoff;
        const auto until = backoff.find(entry.job.id);
        return until != backoff.end() && until->second > trial_.input().now;
    }

    // First task of an overdue job, or all of an overdue gang.
    void begin(const JobEntry& entry) {
        begun_.insert(&entry);
        const bool gang = entry.job.kind == JobKind::gang;
        const std::uint32_t tasks = gang ? entry.job.tasks : 1;
        if (!trial_.within_limit(entry.job, tasks)) {
            // The team's later jobs would take what its limit leaves, for ever. Where its services alone keep
            // this one out, waiting with it serves nobody.
            if (!trial_.within_limit_beside_services(entry.job, tasks)) return;
            if (gang) overdue_gangs_.make_room(entry);
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
    std::unordered_set<const JobEntry*> begun_;
};

}  // namespace

PlacementResult place(const PlacementInput& input, FreeCapacity& capacity) {
    return PlacementPass{input, capacity}.run();
}

}  // namespace hatchwind::core
