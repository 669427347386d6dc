/// Preemption: chooses running tasks to stop so that a task of higher rank finds free capacity.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/fair_share_ranking.hpp"
#include "core/placement_trial.hpp"

namespace hatchwind::core {

/// Seconds that a task of the job gets to write a checkpoint when it is stopped; 0 when it never saves.
double grace_to_save_s(const Job& stopped);

/// Preempts within one placement pass.
class Preemption {
  public:
    Preemption(PlacementTrial& trial, FairShareRanking& ranking);

    /// Stops what is needed for the task and reserves the capacity for it; false when nothing suits.
    /// `with_image`: only on machines that have the job's image.
    bool preempt(const JobEntry& entry, const ZoneUse& zones, std::uint32_t task, bool with_image = false);

  private:
    // In ascending order: the victim whose stop loses least comes first.
    struct VictimCost {
        int priority = 0;
        int lost_work = 0;
        double cpus = 0;
        friend auto operator<=>(const VictimCost&, const VictimCost&) = default;
    };
    struct Victim {
        const JobEntry* entry = nullptr;
        std::uint32_t task = 0;
        std::uint64_t attempt = 0;
        VictimCost cost;
        PreemptionRank rank;
        const Resources* team_use = nullptr;  // what its team uses in this pass
        const Team* team = nullptr;           // and its quota
        bool stopping = false;
    };
    struct PlanCost {
        bool without_image = true;
        int priority = 0;
        int victims_and_lost_work = 0;
        double cpus = 0;
        // NOLINTNEXTLINE(readability-implicit-bool-conversion): version 14 misreads the defaulted operator.
        friend auto operator<=>(const PlanCost&, const PlanCost&) = default;
    };
    struct Plan {
        std::size_t machine = 0;
        std::vector<Victim*> victims;
        PlanCost cost;
    };
    // The task that needs capacity.
    struct Request {
        const JobEntry& entry;
        const ZoneUse& zones;
        std::uint32_t task;
        bool with_image;
        PreemptionRank rank;
    };
    struct SearchKey {
        Shape shape;
        PreemptionRank rank;
        std::string team;
        std::string image;
        friend auto operator<=>(const SearchKey&, const SearchKey&) = default;
    };

    bool may_preempt_yet(const Job& job) const;
    Priority inherited_or_own(const Job& job) const;
    // The priority with which the job preempts others.
    Priority stopping_priority(const Job& job) const;
    static bool may_stop(const Job& job, const PreemptionRank& rank, const Victim& victim);
    bool may_host(const Request& request, const MachineCapacity& machine) const;
    // The cheapest plan; without victims when there is none.
    Plan cheapest_plan(const Request& request);
    Plan plan_on(std::size_t machine, const Request& request);
    // What runs on the machine and might be stopped for somebody: the same for every job of a pass.
    std::vector<Victim>& stoppable(std::size_t machine);
    std::vector<Victim> find_stoppable(const MachineCapacity& machine);
    bool never_stopped(const TaskRef& task, const Job& job) const;
    VictimCost victim_cost(const JobEntry& entry, TaskState state) const;
    // Returns the longest grace period of the stops, in seconds.
    double stop_victims(const Plan& plan, const Job& job);

    PlacementTrial& trial_;
    FairShareRanking& ranking_;
    Micros preemption_delay_{};
    std::set<SearchKey> without_victims_;
    std::vector<std::optional<std::vector<Victim>>> victims_;  // by machine; none: not looked for yet
};

}  // namespace hatchwind::core
