#include "core/placement_trial.hpp"

#include <algorithm>

namespace hatchwind::core {

PlacementTrial::PlacementTrial(const PlacementInput& input, FreeCapacity& capacity)
    : input_(input), capacity_(capacity) {
    apply_known_reservations();
    for (const auto& [name, team] : *input.teams) team_use_[name] = input.job_table->team_use(name);
    count_free_cpus();
}

void PlacementTrial::apply_known_reservations() {
    for (const auto& [task, reservation] : input_.reservations) {
        if (reservation.until <= input_.now || reservation.for_overdue_job) continue;
        result_.reservations.emplace(task, reservation);
        reserve(reservation);
    }
    for (const auto& reservation : input_.peer_reservations) {
        if (!reservation.for_overdue_job) reserve(reservation);
    }
}

void PlacementTrial::count_free_cpus() {
    for (const auto& machine : capacity_.machines()) {
        if (!machine.usable || machine.draining) continue;
        double& sum = machine.spot ? free_spot_cpus_ : free_on_demand_cpus_;
        sum += std::max(0.0, machine.free.cpus);
    }
}

bool PlacementTrial::full() const {
    return result_.starts.size() >= input_.max_starts || started_chunks_.size() >= input_.max_records;
}

bool PlacementTrial::within_limit(const Job& job, std::uint32_t more_tasks) const {
    const auto known = team_use_.find(job.team);
    Resources use = known == team_use_.end() ? Resources{} : known->second;
    if (const auto stopped = stopped_use_.find(job.team); stopped != stopped_use_.end())
        use += stopped->second;
    return fits_limit(job, use, more_tasks);
}

bool PlacementTrial::within_limit_if_only_services_run(const Job& job, std::uint32_t more_tasks) const {
    Resources use;
    for (const auto& [id, entry] : input_.job_table->jobs()) {
        const bool service = entry.job.kind == JobKind::service && !entry.job.cancelled;
        if (service && entry.job.team == job.team)
            use += entry.job.resources * static_cast<double>(entry.open);
    }
    return fits_limit(job, use, more_tasks);
}

void PlacementTrial::stop(const Job& job, std::uint32_t task, std::uint64_t attempt, std::size_t machine,
                          double grace_s) {
    const MachineCapacity& host = capacity_.machines()[machine];
    team_use_[job.team] -= job.resources;
    stopped_use_[job.team] += job.resources;
    result_.stops.push_back({job.id, task, {attempt, host.id, host.incarnation}, grace_s});
}

bool PlacementTrial::fits_limit(const Job& job, const Resources& use, std::uint32_t more_tasks) const {
    const auto team = input_.teams->find(job.team);
    if (team == input_.teams->end()) return false;
    return use.cpus + job.resources.cpus * more_tasks <= team->second.cpus_max + kResourceTolerance &&
           use.gpus + job.resources.gpus * more_tasks <= team->second.gpus_max + kResourceTolerance;
}

void PlacementTrial::start(const JobEntry& entry, std::uint32_t task, std::uint64_t attempt,
                           std::size_t machine) {
    const MachineCapacity& chosen = capacity_.machines()[machine];
    capacity_.take(machine, entry.job.resources);
    (chosen.spot ? free_spot_cpus_ : free_on_demand_cpus_) -= entry.job.resources.cpus;
    charge_team(entry.job.team, entry.job.resources);
    result_.starts.push_back({entry.job.id, task, {attempt, chosen.id, chosen.incarnation}});
    started_.insert({entry.job.id, task});
    started_chunks_.insert({&entry, task / kChunkTasks});
}

bool PlacementTrial::listed_on(std::size_t machine, const JobEntry& entry, std::uint32_t task) const {
    const MachineView* view = capacity_.machines()[machine].view;
    const TaskStatus* listed = view == nullptr ? nullptr : view->task(entry.job.id, task);
    if (listed == nullptr) return false;
    if (listed->state != TaskState::exited) return true;
    // A replacement in a gang that is still open reuses its attempt number.
    const bool is_replacement = entry.job.kind == JobKind::gang && entry.open != 0;
    return is_replacement && listed->attempt == entry.last_attempt();
}

void PlacementTrial::change_reserved(const Reservation& reservation, double sign) {
    const auto machine = capacity_.position_of(reservation.machine);
    if (machine != FreeCapacity::npos) capacity_.take(machine, reservation.resources * sign);
}

PlacementTrial::Savepoint PlacementTrial::savepoint(const std::string& team) {
    return {capacity_.mark(), result_.starts.size(), team, team_use_[team]};
}

void PlacementTrial::roll_back(const Savepoint& savepoint) {
    capacity_.revert(savepoint.capacity_mark);
    result_.starts.resize(savepoint.starts);
    team_use_[savepoint.team] = savepoint.team_use;
}

}  // namespace hatchwind::core
