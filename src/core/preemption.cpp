#include "core/preemption.hpp"

#include <algorithm>
#include <utility>

#include "core/queue_order.hpp"

namespace hatchwind::core {

namespace {
// Time to carry out and report a stop, in addition to its grace period.
constexpr Micros kStopDuration{4'000'000};
constexpr double kSaveMarginSeconds = 0.5;
// Exceeds the highest priority.
constexpr int kStartedOverduePenalty = 8;

enum LostWork : int { kNothingLost = 0, kPartlySaved = 1, kAllLost = 2 };

LostWork lost_work(const Job& job, TaskState state) {
    if (state == TaskState::fetching) return kNothingLost;
    return job.checkpoint_s > 0 ? kPartlySaved : kAllLost;
}
}  // namespace

double checkpoint_grace_s(const Job& stopped) {
    return stopped.checkpoint_s > 0 ? stopped.save_s + kSaveMarginSeconds : 0;
}

Preemption::Preemption(PlacementTrial& trial, FairShareRanking& ranking) : trial_(trial), ranking_(ranking) {
    for (const auto& objective : *trial.input().objectives) {
        if (objective.kind == "guarantee") preemption_delay_ = from_seconds(objective.within_s / 2);
    }
}

bool Preemption::may_preempt_yet(const Job& job) const {
    // Array tasks end all the time, and the queue order assigns the freed capacity to the same jobs for which
    // a preemption would be made. So an array preempts only after half the time that the quota objective
    // ("guarantee") allows.
    return job.kind != JobKind::array || trial_.input().wall_clock_now - job.accepted >= preemption_delay_;
}

Priority Preemption::priority_of(const Job& job) const {
    return effective_priority(job, trial_.input().pipelines);
}

Priority Preemption::preemption_priority(const Job& job) const {
    const PlacementInput& input = trial_.input();
    const InheritedDemand* inherited = input.pipelines == nullptr ? nullptr : input.pipelines->find(job.id);
    if (inherited == nullptr) return job.priority;
    // A stop loses work. While the pipeline has time left, the job waits for running tasks to end.
    if (!inherited->latest_start || input.wall_clock_now >= *inherited->latest_start)
        return inherited->priority;
    for (const auto& objective : *input.objectives) {
        if (objective.kind != "wait" || objective.job_class != job.job_class) continue;
        if (input.wall_clock_now - job.accepted >= from_seconds(objective.within_s / 2))
            return inherited->priority;
    }
    return job.priority;
}

bool Preemption::may_preempt(const Job& job, const PreemptionRank& rank, const Victim& victim) {
    if (rank <= victim.rank) return false;
    if (rank.priority > victim.rank.priority) return true;
    if (job.team == victim.entry->job.team || rank.tier == PreemptionRank::Tier::beyond_quota) return false;
    return victim.team_use->cpus > victim.team->cpus + kResourceTolerance ||
           victim.team_use->gpus > victim.team->gpus + kResourceTolerance;
}

bool Preemption::is_exempt(const TaskRef& task, const Job& job) const {
    // Stopping one task of a gang loses the work of the whole gang.
    return priority_of(job) == Priority::production || job.kind == JobKind::gang ||
           !trial_.input().teams->contains(job.team) || trial_.input().stopping.contains(task);
}

Preemption::VictimCost Preemption::victim_cost(const JobEntry& entry, TaskState state) const {
    // The only running task of a job that was overdue is stopped last: without it the job would be overdue
    // again. When all machines are full, that can repeat for minutes.
    const bool started_overdue =
        entry.open == 1 && unfinished_when_overdue(entry, trial_.input().wall_clock_now);
    const int priority =
        static_cast<int>(priority_of(entry.job)) + (started_overdue ? kStartedOverduePenalty : 0);
    return {priority, lost_work(entry.job, state), entry.job.resources.cpus};
}

std::vector<Preemption::Victim> Preemption::find_preemptible_tasks(const MachineCapacity& machine) {
    std::vector<Victim> victims;
    if (!machine.usable || machine.draining || machine.recorded_attempts == nullptr) return victims;
    const JobEntry* last = nullptr;
    PreemptionRank rank;
    for (const auto& [task, recorded_attempts] : *machine.recorded_attempts) {
        const Job& job = recorded_attempts.entry->job;
        if (is_exempt(task, job)) continue;
        const auto view = view_attempt(*machine.view, task.job, task.task, recorded_attempts.number,
                                       recorded_attempts.incarnation);
        if (view.status != AttemptStatus::live || view.state == TaskState::saving) continue;
        if (recorded_attempts.entry != last) {
            last = recorded_attempts.entry;
            rank = ranking_.rank(job);
        }
        const VictimCost cost = victim_cost(*recorded_attempts.entry, view.state);
        const Resources& team_use = trial_.team_use(job.team);
        const Team& team = trial_.input().teams->at(job.team);
        victims.push_back(
            {recorded_attempts.entry, task.task, recorded_attempts.number, cost, rank, &team_use, &team});
    }
    std::sort(victims.begin(), victims.end(),
              [](const Victim& left, const Victim& right) { return left.cost < right.cost; });
    return victims;
}

std::vector<Preemption::Victim>& Preemption::preemptible_tasks(std::size_t machine) {
    const auto& machines = trial_.capacity().machines();
    if (victims_.empty()) victims_.resize(machines.size());
    if (!victims_[machine]) victims_[machine] = find_preemptible_tasks(machines[machine]);
    return *victims_[machine];
}

bool Preemption::is_suitable_host(const Request& request, const MachineCapacity& machine) const {
    const Job& job = request.entry.job;
    if (machine.recorded_attempts == nullptr) return false;
    if (request.with_image && !machine.has_image(job.image)) return false;
    return may_run_on(job, machine) && request.zones.allows(job, machine.zone);
}

Preemption::Plan Preemption::plan_on(std::size_t machine, const Request& request) {
    const Job& job = request.entry.job;
    const MachineCapacity& at = trial_.capacity().machines()[machine];
    Plan plan{machine, {}, {}};
    Resources free = at.free;
    for (Victim& victim : preemptible_tasks(machine)) {
        if (job.resources.fits_in(free)) break;
        if (victim.stopping || !may_preempt(job, request.rank, victim)) continue;
        plan.victims.push_back(&victim);
        free += victim.entry->job.resources;
    }
    if (plan.victims.empty()) return plan;
    if (!job.resources.fits_in(free) || trial_.listed_on(machine, request.entry, request.task)) {
        plan.victims.clear();
        return plan;
    }
    const VictimCost& worst = plan.victims.back()->cost;
    const int victims_and_lost_work = static_cast<int>(plan.victims.size()) + worst.lost_work;
    plan.cost = {!at.has_image(job.image), worst.priority, victims_and_lost_work, free.cpus};
    return plan;
}

Preemption::Plan Preemption::cheapest_plan(const Request& request) {
    const auto& machines = trial_.capacity().machines();
    Plan cheapest;
    for (std::size_t i = 0; i < machines.size(); ++i) {
        if (!is_suitable_host(request, machines[i])) continue;
        Plan plan = plan_on(i, request);
        if (plan.victims.empty()) continue;
        if (cheapest.victims.empty() || plan.cost < cheapest.cost) cheapest = std::move(plan);
    }
    return cheapest;
}

double Preemption::stop_victims(const Plan& plan, const Job& job) {
    double max_grace_s = 0;
    for (Victim* victim : plan.victims) {
        const Job& stopped = victim->entry->job;
        victim->stopping = true;
        // Users of a service are waiting now, so its victims get no grace period; other jobs wait until the
        // victims have saved.
        const double grace_s = job.kind == JobKind::service ? 0 : checkpoint_grace_s(stopped);
        trial_.stop(stopped, victim->task, victim->attempt, plan.machine, grace_s);
        max_grace_s = std::max(max_grace_s, grace_s);
    }
    return max_grace_s;
}

bool Preemption::preempt(const JobEntry& entry, const ZoneUse& zones, std::uint32_t task, bool with_image) {
    const Job& job = entry.job;
    if (trial_.result().stops.size() >= trial_.input().max_stops) return false;
    if (!may_preempt_yet(job)) return false;
    const PreemptionRank rank = ranking_.rank(job, preemption_priority(job));
    // A search that found no plan also fails for the next job of the same shape and rank.
    const SearchKey key{shape(job), rank, job.team, with_image ? job.image : std::string{}};
    if (without_plan_.contains(key)) return false;
    const Plan plan = cheapest_plan({entry, zones, task, with_image, rank});
    if (plan.victims.empty()) {
        if (!job.spread && !job.one_zone) without_plan_.insert(key);
        return false;
    }
    // The victims' capacity becomes free only when they have ended: until then the worker would refuse a
    // start.
    const double max_grace_s = stop_victims(plan, job);
    trial_.capacity().take(plan.machine, job.resources);
    trial_.charge_team(job.team, job.resources);
    const Micros until = trial_.input().now + kStopDuration + from_seconds(max_grace_s);
    const std::string& machine = trial_.capacity().machines()[plan.machine].id;
    trial_.result().reservations[{job.id, task}] = {machine, job.resources, until};
    return true;
}

}  // namespace hatchwind::core
