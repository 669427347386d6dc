/// Preemption: chooses running tasks to stop so that a task of higher rank gets free capacity.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/fair_share_ranking.hpp"
#include "core/placement_trial.hpp"

namespace hatchwind::core {

/// Returns the seconds that a task of the job gets to write a checkpoint when it is stopped; 0 if the job
/// writes no checkpoints.
double checkpoint_grace_s(const Job& stopped);

/// Preempts within one placement pass.
class Preemption {
  public:
    Preemption(PlacementTrial& trial, FairShareRanking& ranking);

    /// Stops the tasks whose capacity the given task needs and reserves that capacity for it. Returns false
    /// if no suitable tasks are found. `with_image`: consider only machines that have the job's image.
    bool preempt(const JobEntry& entry, const ZoneUse& zones, std::uint32_t task, bool with_image = false);

  private:
    // In ascending order: the victim with the lowest cost is stopped first.
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
        const Resources* team_use = nullptr;  // resources that the victim's team uses in this pass
        const Team* team = nullptr;           // the victim's team, with its quota
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
    // The task for which capacity is needed.
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
    Priority priority_of(const Job& job) const;
    // Priority that the job has when it preempts others. It may be lower than its inherited priority.
    Priority preemption_priority(const Job& job) const;
    static bool may_preempt(const Job& job, const PreemptionRank& rank, const Victim& victim);
    bool is_suitable_host(const Request& request, const MachineCapacity& machine) const;
    // Returns the cheapest plan; it has no victims if none was found.
    Plan cheapest_plan(const Request& request);
    Plan plan_on(std::size_t machine, const Request& request);
    // Returns the tasks on the machine that can be preempted at all, independent of the requesting job;
    // computed once per pass.
    std::vector<Victim>& preemptible_tasks(std::size_t machine);
    std::vector<Victim> find_preemptible_tasks(const MachineCapacity& machine);
    bool is_exempt(const TaskRef& task, const Job& job) const;
    VictimCost victim_cost(const JobEntry& entry, TaskState state) const;
    // Returns the longest grace period of the stopped tasks, in seconds.
    double stop_victims(const Plan& plan, const Job& job);

    PlacementTrial& trial_;
    FairShareRanking& ranking_;
    Micros preemption_delay_{};
    std::set<SearchKey> without_plan_;
    std::vector<std::optional<std::vector<Victim>>> victims_;  // by machine; nullopt: not searched yet
};

}  // namespace hatchwind::core
