// The rules about tasks on machines, and the bookkeeping of events.
#include "emulator/checker.hpp"

#include <algorithm>

namespace hatchwind::emulator {

namespace {
constexpr double rounding = 1e-6;

bool exceeds(const Resources& use, const TeamLimit& limit) {
    return use.cores > limit.cores + rounding || use.accelerators > limit.accelerators + rounding;
}
}  // namespace

const char* rule_name(Rule rule) {
    switch (rule) {
        case Rule::ran_twice:
            return "ran_twice";
        case Rule::quota:
            return "quota";
        case Rule::wrong_place:
            return "wrong_place";
        case Rule::ran_cancelled:
            return "ran_cancelled";
        case Rule::forgotten:
            return "forgotten";
        case Rule::invented:
            return "invented";
        case Rule::not_done:
            return "not_done";
        case Rule::went_back:
            return "went_back";
        case Rule::nothing_ran:
            return "nothing_ran";
    }
    return "";
}

void Checker::observe(const Event& event) {
    check_cancelled(event.at);
    std::visit([&](const auto& body) { on(event.at, body); }, event.body);
}

JobRecord* Checker::find(const std::string& job) {
    const auto found = jobs_.find(job);
    return found == jobs_.end() ? nullptr : &found->second;
}

void Checker::broken(Rule rule, Micros at, const std::string& job, std::optional<std::uint32_t> task,
                     std::string text) {
    if (!named_.emplace(rule, job, task).second) return;
    Violation violation{rule, at, job, std::move(text), {}};
    if (const JobRecord* record = find(job)) violation.history = record->history.lines(task);
    violations_.push_back(std::move(violation));
}

void Checker::on(Micros at, const JobSubmitted& event) {
    JobRecord& job = jobs_[event.spec.id];
    job.spec = event.spec;
    job.validity = event.validity;
    job.submitted_at = at;
    job.history.add(at, std::nullopt, describe(event));
    if (event.validity == JobValidity::valid) ++counts_.jobs;
}

void Checker::on(Micros at, const CancelAsked& event) {
    JobRecord* job = find(event.job);
    if (job == nullptr) return;
    if (!job->cancel_asked_at) job->cancel_asked_at = at;
    job->history.add(at, std::nullopt, describe(event));
}

void Checker::on(Micros at, const TaskClaimed& event) {
    JobRecord* job = find(event.task.job);
    if (job == nullptr) return;
    job->history.add(at, event.task.index, describe(event));
    ++job->held[event.task.index];
    const auto machine = machines_.find(event.machine);
    if (machine != machines_.end()) machine->second.free -= job->spec.per_task;
}

void Checker::on(Micros at, const TaskPlaced& event) {
    ++counts_.starts;
    JobRecord* job = find(event.task.job);
    if (job == nullptr) return;
    job->history.add(at, event.task.index, describe(event));
    const std::string name = event.task.name();
    std::vector<Placement>& placements = job->on_machines[event.task.index];
    for (const Placement& other : placements) {
        if (other.machine == event.machine) continue;
        broken(Rule::ran_twice, at, event.task.job, event.task.index,
               name + " starts on " + event.machine + " while it is on " + other.machine);
    }
    if (job->cancelled_told_at) {
        ++counts_.starts_after_cancellation;
        if (at > *job->cancelled_told_at + rules_.cancel_time) {
            broken(Rule::ran_cancelled, at, event.task.job, event.task.index,
                   name + " starts on " + event.machine + " after its user was told that it is cancelled");
        }
    }
    check_place(at, event.task, event.machine, *job);
    const auto machine = machines_.find(event.machine);
    const std::string zone = machine == machines_.end() ? "" : machine->second.zone;
    placements.push_back({event.machine, zone, event.task.attempt, false});
    ++job->per_zone[zone];
    team_use_[job->spec.team] += job->spec.per_task;
    check_quota(at, event.task, *job);
}

void Checker::check_place(Micros at, const TaskRef& task, const std::string& machine, JobRecord& job) {
    const auto found = machines_.find(machine);
    if (found == machines_.end()) return;
    const MachineRecord& place = found->second;
    const JobSpec& spec = job.spec;
    const auto wrong = [&](const std::string& why) {
        broken(Rule::wrong_place, at, task.job, task.index,
               task.name() + " starts on " + machine + ": " + why);
    };
    if (spec.machine_types && std::find(spec.machine_types->begin(), spec.machine_types->end(), place.type) ==
                                  spec.machine_types->end())
        wrong("type " + place.type + " is not allowed");
    if (spec.zone && *spec.zone != place.zone) wrong("zone " + place.zone + " is not allowed");
    if (place.spot && !spec.spot_allowed) wrong("spot machines are not allowed");
    for (const auto& [zone, count] : job.per_zone) {
        if (spec.one_zone && count > 0 && zone != place.zone) wrong("other tasks are still in zone " + zone);
    }
    const auto in_zone = job.per_zone.find(place.zone);
    const std::uint32_t count = in_zone == job.per_zone.end() ? 0 : in_zone->second;
    if (spec.spread && count + 1 > spread_limit(spec.tasks))
        wrong("more than half of its tasks are in zone " + place.zone);
}

void Checker::check_quota(Micros at, const TaskRef& task, JobRecord& job) {
    const auto limit = rules_.teams.find(job.spec.team);
    if (limit == rules_.teams.end()) return;
    const Resources& use = team_use_[job.spec.team];
    if (!exceeds(use, limit->second)) return;
    broken(Rule::quota, at, task.job, task.index,
           "team " + job.spec.team + " uses " + std::to_string(use.cores) + " cores and " +
               std::to_string(use.accelerators) + " accelerators with " + task.name());
}

void Checker::on(Micros at, const TaskStarted& event) {
    JobRecord* job = find(event.task.job);
    if (job == nullptr) return;
    job->history.add(at, event.task.index, describe(event));
    for (Placement& placement : job->on_machines[event.task.index]) {
        if (placement.machine != event.machine || placement.running) continue;
        placement.running = true;
        ++job->running;
    }
    const bool begun = job->spec.form != JobForm::gang || job->running >= job->spec.tasks;
    if (begun && !job->first_begun_at) job->first_begun_at = at;
}

void Checker::on(Micros at, const TaskCompleted& event) {
    JobRecord* job = find(event.task.job);
    if (job == nullptr) return;
    job->history.add(at, event.task.index, describe(event));
    job->completed.resize(job->spec.tasks, false);
    if (event.task.index >= job->spec.tasks || job->completed[event.task.index]) return;
    job->completed[event.task.index] = true;
    ++job->completed_count;
}

void Checker::on(Micros at, const TaskGone& event) {
    JobRecord* job = find(event.task.job);
    if (job == nullptr) return;
    job->history.add(at, event.task.index, describe(event));
    const auto machine = machines_.find(event.machine);
    if (machine != machines_.end()) machine->second.free += job->spec.per_task;
    const auto held = job->held.find(event.task.index);
    if (held != job->held.end() && --held->second == 0) job->held.erase(held);
    const auto placed = job->on_machines.find(event.task.index);
    if (placed == job->on_machines.end()) return;
    std::vector<Placement>& placements = placed->second;
    const auto found = std::find_if(placements.begin(), placements.end(), [&](const Placement& placement) {
        return placement.machine == event.machine && placement.attempt == event.task.attempt;
    });
    if (found == placements.end()) return;
    --job->per_zone[found->zone];
    if (found->running) --job->running;
    placements.erase(found);
    if (placements.empty()) job->on_machines.erase(placed);
    team_use_[job->spec.team] -= job->spec.per_task;
}

void Checker::on(Micros /*at*/, const MachineUp& event) {
    machines_[event.machine] = {event.type, event.zone, event.spot, event.size, {}};
}

void Checker::on(Micros /*at*/, const MachineGone& event) { machines_.erase(event.machine); }

void Checker::on(Micros /*at*/, const MachineUsable& event) {
    const auto machine = machines_.find(event.machine);
    if (machine == machines_.end()) return;
    if (event.usable) {
        machine->second.unusable_for.erase(event.reason);
    } else {
        machine->second.unusable_for.insert(event.reason);
    }
}

void Checker::on(Micros at, const TroublesOver& /*event*/) {
    if (!troubles_over_at_) troubles_over_at_ = at;
}

}  // namespace hatchwind::emulator
