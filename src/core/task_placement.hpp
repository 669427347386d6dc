/// Places the tasks of arrays and services one by one: each task starts on a machine with free capacity,
/// preempts other tasks, or waits.
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "core/candidate_search.hpp"
#include "core/fair_share_ranking.hpp"
#include "core/placement_trial.hpp"
#include "core/preemption.hpp"

namespace hatchwind::core {

/// Places tasks within one placement pass.
class TaskPlacement {
  public:
    TaskPlacement(PlacementTrial& trial, CandidateSearch& search, FairShareRanking& ranking,
                  Preemption& preemption)
        : trial_(trial), search_(search), ranking_(ranking), preemption_(preemption) {}

    /// Starts as many tasks of the job as the pass and the team's limit allow.
    void place_all(const JobEntry& entry) { place(entry, Extent::all); }
    /// Starts the first task of an overdue job, even on capacity that is reserved for other teams' quotas.
    void place_first(const JobEntry& entry) { place(entry, Extent::first); }

  private:
    enum class Extent : std::uint8_t { all, first };
    enum class Outcome : std::uint8_t { started, task_waits, job_waits };
    struct JobSearch {
        const JobEntry& entry;
        Extent extent;
        ZoneUse& zones;
        std::optional<double> max_wait_s;  // longest wait that the objective of the job's class allows
        std::vector<CandidateScore> candidates;
        // All candidates before it are full or in a zone that the job may no longer use.
        std::size_t next = 0;
    };

    void place(const JobEntry& entry, Extent extent);
    Outcome place_task(JobSearch& search, std::uint32_t task);
    bool fits(const JobSearch& search, std::size_t machine) const;
    std::optional<std::size_t> reserved_machine(const JobSearch& search, std::uint32_t task,
                                                const Reservation& reservation) const;
    std::optional<std::size_t> next_candidate(JobSearch& search, std::uint32_t task) const;
    bool image_fetch_exceeds_max_wait(const JobSearch& search, std::size_t machine) const;
    void start(JobSearch& search, std::uint32_t task, std::size_t machine);
    std::optional<double> max_wait_s(const Job& job) const;
    ZoneUse& zone_use_of(const JobEntry& entry);

    PlacementTrial& trial_;
    CandidateSearch& search_;
    FairShareRanking& ranking_;
    Preemption& preemption_;
    // Kept for the whole pass, since an overdue job is placed twice.
    std::unordered_map<const JobEntry*, ZoneUse> zones_;
};

}  // namespace hatchwind::core
