#include "core/overdue_gang_preemption.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <span>
#include <utility>

#include "core/capacity_reservation.hpp"
#include "core/cluster_view.hpp"
#include "core/pipeline_schedule.hpp"
#include "core/preemption.hpp"

namespace hatchwind::core {

// The job that was accepted last has run for the shortest time, so stopping its tasks loses the least work.
bool OverdueGangPreemption::loses_less_work(const Victim& left, const Victim& right) {
    if (left.fetching != right.fetching) return left.fetching;
    return left.entry->job.accepted > right.entry->job.accepted;
}

bool OverdueGangPreemption::may_be_preempted(const Job& victim, const Job& gang) const {
    const PipelineSchedule* pipelines = trial_.input().pipelines;
    // No priority is above production, so production tasks are never victims.
    return victim.team == gang.team && victim.kind != JobKind::gang &&
           effective_priority(victim, pipelines) < effective_priority(gang, pipelines);
}

void OverdueGangPreemption::add_tasks_of(std::size_t machine, const JobEntry& gang, TeamTasks& tasks) const {
    const MachineCapacity& host = trial_.capacity().machines()[machine];
    if (host.recorded_attempts == nullptr || host.view == nullptr) return;
    for (const auto& [task, recorded] : *host.recorded_attempts) {
        const Job& job = recorded.entry->job;
        if (!may_be_preempted(job, gang.job)) continue;
        const auto view =
            view_attempt(*host.view, task.job, task.task, recorded.number, recorded.incarnation);
        if (view.status != AttemptStatus::live) continue;
        if (view.state == TaskState::saving || trial_.input().stopping.contains(task)) {
            tasks.stopping_use[machine] += job.resources;
            tasks.total_stopping_use += job.resources;
            continue;
        }
        const bool fetching = view.state == TaskState::fetching;
        tasks.victims[machine].push_back({recorded.entry, task.task, recorded.number, machine, fetching});
    }
    auto& victims = tasks.victims[machine];
    std::stable_sort(victims.begin(), victims.end(), loses_less_work);
}

OverdueGangPreemption::TeamTasks OverdueGangPreemption::lower_priority_tasks(const JobEntry& gang) const {
    TeamTasks tasks;
    for (std::size_t i = 0; i < trial_.capacity().machines().size(); ++i) add_tasks_of(i, gang, tasks);
    return tasks;
}

std::vector<std::string> OverdueGangPreemption::zones_for(const Job& gang) const {
    if (!gang.one_zone) return {""};
    std::set<std::string> zones;
    for (const auto& machine : trial_.capacity().machines()) {
        if (machine.usable && may_run_on(gang, machine)) zones.insert(machine.zone);
    }
    return {zones.begin(), zones.end()};
}

/// Chooses a machine for each task of one gang in turn: the machine on which the fewest tasks must be
/// stopped. Considers only `zone`, or all zones if it is empty.
class OverdueGangPreemption::ZonePlanner {
  public:
    ZonePlanner(const PlacementTrial& trial, const JobEntry& gang, const TeamTasks& tasks, std::string zone)
        : trial_(trial), gang_(gang), tasks_(tasks), zone_(std::move(zone)) {
        for (const auto& machine : trial.capacity().machines()) free_.push_back(machine.free);
        for (const auto& [machine, resources] : tasks.stopping_use) free_[machine] += resources;
    }

    /// Returns a plan without machines if the gang does not fit.
    Plan plan() {
        for (std::uint32_t task = 0; task < gang_.job.tasks; ++task) {
            const auto choice = choose(task);
            if (!choice) return {};
            take(*choice);
        }
        return std::move(plan_);
    }

  private:
    struct Choice {
        std::size_t machine = 0;
        std::size_t victims = 0;  // number of further victims on that machine
    };

    bool is_suitable(std::size_t position, std::uint32_t task) const {
        const MachineCapacity& machine = trial_.capacity().machines()[position];
        if (!zone_.empty() && machine.zone != zone_) return false;
        if (!machine.usable || machine.draining || !may_run_on(gang_.job, machine)) return false;
        return zones_.allows(gang_.job, machine.zone) && !trial_.listed_on(position, gang_, task);
    }

    // Victims of the machine that are not taken for an earlier task of the gang.
    std::span<const Victim> remaining_victims(std::size_t machine) const {
        const auto victims = tasks_.victims.find(machine);
        if (victims == tasks_.victims.end()) return {};
        const auto taken = taken_.find(machine);
        return std::span{victims->second}.subspan(taken == taken_.end() ? 0 : taken->second);
    }

    // Returns nullopt if the machine is too small even with all its victims stopped.
    std::optional<std::size_t> victims_needed(std::size_t machine) const {
        Resources free = free_[machine];
        std::size_t count = 0;
        for (const Victim& victim : remaining_victims(machine)) {
            if (gang_.job.resources.fits_in(free)) break;
            free += victim.entry->job.resources;
            ++count;
        }
        if (!gang_.job.resources.fits_in(free)) return std::nullopt;
        return count;
    }

    std::optional<Choice> choose(std::uint32_t task) const {
        std::optional<Choice> best;
        for (std::size_t machine = 0; machine < free_.size(); ++machine) {
            if (!is_suitable(machine, task)) continue;
            const auto victims = victims_needed(machine);
            if (victims && (!best || *victims < best->victims)) best = Choice{machine, *victims};
        }
        return best;
    }

    void take(const Choice& choice) {
        for (const Victim& victim : remaining_victims(choice.machine).first(choice.victims)) {
            free_[choice.machine] += victim.entry->job.resources;
            plan_.victims.push_back(victim);
        }
        taken_[choice.machine] += choice.victims;
        free_[choice.machine] -= gang_.job.resources;
        zones_.add(trial_.capacity().machines()[choice.machine].zone);
        plan_.machines.push_back(choice.machine);
    }

    const PlacementTrial& trial_;
    const JobEntry& gang_;
    const TeamTasks& tasks_;
    std::string zone_;
    std::vector<Resources> free_;  // by machine, including capacity of tasks that are being stopped
    std::map<std::size_t, std::size_t> taken_;  // by machine: number of victims taken, from the front
    ZoneUse zones_;
    Plan plan_;
};

bool OverdueGangPreemption::fit_team_limit(const JobEntry& gang, const TeamTasks& tasks, Plan& plan) const {
    Resources use = trial_.team_use(gang.job.team);
    use -= tasks.total_stopping_use;
    std::set<TaskRef> chosen;
    for (const Victim& victim : plan.victims) {
        use -= victim.entry->job.resources;
        chosen.insert({victim.entry->job.id, victim.task});
    }
    const auto fits = [&] { return trial_.fits_limit(gang.job, use, gang.job.tasks); };
    std::vector<Victim> others;
    for (const auto& [machine, victims] : tasks.victims)
        others.insert(others.end(), victims.begin(), victims.end());
    std::stable_sort(others.begin(), others.end(), loses_less_work);
    for (const Victim& victim : others) {
        if (fits()) return true;
        if (!chosen.insert({victim.entry->job.id, victim.task}).second) continue;
        use -= victim.entry->job.resources;
        plan.victims.push_back(victim);
    }
    return fits();
}

void OverdueGangPreemption::apply(const JobEntry& gang, const Plan& plan) {
    for (const Victim& victim : plan.victims) {
        // The remaining victims are stopped in the next passes.
        if (trial_.result().stops.size() >= trial_.input().max_stops) break;
        const Job& job = victim.entry->job;
        trial_.stop(job, victim.task, victim.attempt, victim.machine, checkpoint_grace_s(job));
    }
    for (std::uint32_t task = 0; task < plan.machines.size(); ++task)
        reserve_for_overdue(trial_, gang, task, plan.machines[task]);
}

void OverdueGangPreemption::preempt_for(const JobEntry& gang) {
    const TeamTasks tasks = lower_priority_tasks(gang);
    Plan cheapest;
    for (const std::string& zone : zones_for(gang.job)) {
        Plan plan = ZonePlanner{trial_, gang, tasks, zone}.plan();
        if (plan.machines.empty() || !fit_team_limit(gang, tasks, plan)) continue;
        if (cheapest.machines.empty() || plan.victims.size() < cheapest.victims.size())
            cheapest = std::move(plan);
    }
    apply(gang, cheapest);
}

}  // namespace hatchwind::core
