// Rules that time breaks, and who was served.
#include <algorithm>

#include "emulator/checker.hpp"

namespace hatchwind::emulator {

namespace {
constexpr Micros waiting_check_every{5'000'000};
}

void Checker::advance(Micros now) {
    check_cancelled(now);
    if (now < next_waiting_check_) return;
    next_waiting_check_ = now + waiting_check_every;
    check_waiting(now);
}

void Checker::check_cancelled(Micros now) {
    while (!cancel_deadlines_.empty() && cancel_deadlines_.top().at < now) {
        const std::string id = cancel_deadlines_.top().job;
        cancel_deadlines_.pop();
        const JobRecord* job = find(id);
        if (job == nullptr) continue;
        for (const auto& [index, placements] : job->on_machines) {
            broken(Rule::ran_cancelled, now, id, index,
                   id + "/" + std::to_string(index) + " is still on " + placements.front().machine +
                       ", told as "
                       "cancelled at " +
                       std::to_string(to_seconds(*job->cancelled_told_at)) + " s");
        }
    }
}

bool Checker::within_limit(const JobSpec& spec, std::uint32_t tasks) const {
    const auto limit = rules_.teams.find(spec.team);
    if (limit == rules_.teams.end()) return false;
    Resources wanted = spec.per_task * tasks;
    const auto use = team_use_.find(spec.team);
    if (use != team_use_.end()) wanted += use->second;
    return wanted.fits({limit->second.cores, limit->second.accelerators, wanted.memory_gb});
}

bool Checker::allowed_on(const JobRecord& job, const MachineRecord& machine) {
    const JobSpec& spec = job.spec;
    if (!machine.unusable_for.empty() || (machine.spot && !spec.spot_allowed)) return false;
    if (spec.zone && *spec.zone != machine.zone) return false;
    const auto& types = spec.machine_types;
    if (types && std::find(types->begin(), types->end(), machine.type) == types->end()) return false;
    const bool elsewhere = std::any_of(job.per_zone.begin(), job.per_zone.end(), [&](const auto& zone) {
        return zone.second > 0 && zone.first != machine.zone;
    });
    return !spec.one_zone || !elsewhere;
}

// One task is looked for, and for a gang every task at once, on copies of what is free.
bool Checker::could_place(const JobRecord& job) const {
    const JobSpec& spec = job.spec;
    const std::uint32_t tasks = spec.form == JobForm::gang ? spec.tasks : 1;
    if (!within_limit(spec, tasks)) return false;
    std::map<std::string, std::uint32_t> fitting;  // by zone
    std::uint32_t placeable = 0;
    for (const auto& [id, machine] : machines_) {
        if (!allowed_on(job, machine)) continue;
        const auto there = job.per_zone.find(machine.zone);
        const std::uint32_t already = there == job.per_zone.end() ? 0 : there->second;
        std::uint32_t& here = fitting[machine.zone];
        Resources free = machine.free;
        while (spec.per_task.fits(free) && placeable < tasks) {
            if (spec.spread && already + here + 1 > spread_limit(spec.tasks)) break;
            free -= spec.per_task;
            ++here;
            placeable = spec.one_zone ? std::max(placeable, here) : placeable + 1;
        }
        if (placeable >= tasks) return true;
    }
    return false;
}

// From when all troubles are over. A spell ends as soon as no machine fits, so that only jobs that are passed
// over again and again are counted.
void Checker::check_waiting(Micros now) {
    if (!troubles_over_at_) return;
    for (auto& [id, job] : jobs_) {
        if (!job.accepted_told_at || job.over() || job.cancel_asked_at || job.validity != JobValidity::valid)
            continue;
        const std::size_t settled = job.held.size() + job.completed_count;
        if (job.work_complete() || settled >= job.spec.tasks || !could_place(job)) {
            job.waiting_since.reset();
            continue;
        }
        if (!job.waiting_since) job.waiting_since = now;
        if (now - *job.waiting_since < rules_.waiting_limit || job.waited_too_long) continue;
        job.waited_too_long = true;
        counts_.waiting.push_back(id);
    }
}

void Checker::judge_group(const std::string& name, const std::vector<const JobRecord*>& jobs, Micros end) {
    std::size_t judged = 0;
    std::size_t served = 0;
    for (const JobRecord* job : jobs) {
        const Micros latest = job->submitted_at + rules_.begin_within;
        const bool in_time = job->first_begun_at && *job->first_begun_at <= latest;
        if (!in_time && (latest > end || job->cancel_asked_at)) continue;  // nobody can say
        ++judged;
        if (in_time) ++served;
    }
    if (judged < rules_.fewest_judged || served * 2 >= judged) return;
    counts_.poorly_served.push_back(name + ": " + std::to_string(served) + " of " + std::to_string(judged));
}

void Checker::finish(Micros end) {
    advance(end);
    if (counts_.starts == 0) broken(Rule::nothing_ran, end, "", std::nullopt, "no task was started");
    std::map<std::string, std::vector<const JobRecord*>> classes;
    std::map<std::string, std::vector<const JobRecord*>> teams;
    for (const auto& [id, job] : jobs_) {
        if (job.validity != JobValidity::valid) continue;
        classes[job.spec.job_class].push_back(&job);
        teams[job.spec.team].push_back(&job);
    }
    for (const auto& [name, jobs] : teams) judge_group("team " + name, jobs, end);
    for (auto& [name, jobs] : classes) {
        judge_group("class " + name, jobs, end);
        const auto size = [](const JobRecord* job) { return job->spec.per_task.cores * job->spec.tasks; };
        std::stable_sort(jobs.begin(), jobs.end(),
                         [&](const JobRecord* a, const JobRecord* b) { return size(a) > size(b); });
        const auto share = static_cast<std::size_t>(static_cast<double>(jobs.size()) * rules_.largest_share);
        jobs.resize(std::min(jobs.size(), std::max(share, rules_.fewest_judged)));
        judge_group("largest jobs of class " + name, jobs, end);
    }
}

}  // namespace hatchwind::emulator
