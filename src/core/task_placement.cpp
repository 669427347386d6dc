#include "core/task_placement.hpp"

namespace hatchwind::core {

std::optional<double> TaskPlacement::max_wait_s(const Job& job) const {
    std::optional<double> wait_s;
    for (const auto& objective : *trial_.input().objectives) {
        if (objective.kind == "wait" && objective.job_class == job.job_class) wait_s = objective.within_s;
    }
    return wait_s;
}

ZoneUse& TaskPlacement::zone_use_of(const JobEntry& entry) {
    const auto [known, is_new] = zones_.try_emplace(&entry);
    if (is_new) known->second = ZoneUse::of(entry, trial_.capacity());
    return known->second;
}

void TaskPlacement::place(const JobEntry& entry, Extent extent) {
    JobSearch search{
        entry, extent, zone_use_of(entry), max_wait_s(entry.job), search_.ranked(entry.job),
    };
    for (const std::uint32_t task : unstarted_tasks(entry, trial_.input().max_starts)) {
        if (trial_.full() || !trial_.within_limit(entry.job)) return;
        // Started already as the first task of an overdue job.
        if (trial_.started({entry.job.id, task})) continue;
        const Outcome outcome = place_task(search, task);
        if (outcome == Outcome::job_waits) return;
        if (outcome == Outcome::started && extent == Extent::first) return;
    }
}

TaskPlacement::Outcome TaskPlacement::place_task(JobSearch& search, std::uint32_t task) {
    const JobEntry& entry = search.entry;
    auto& reservations = trial_.result().reservations;
    // The task may use the capacity that is reserved for it.
    const auto reservation = reservations.find({entry.job.id, task});
    const bool reserved = reservation != reservations.end();
    std::optional<std::size_t> machine;
    if (reserved) {
        trial_.release(reservation->second);
        machine = reserved_machine(search, task, reservation->second);
    }
    if (!machine) machine = next_candidate(search, task);
    if (!machine && reserved) {
        trial_.reserve(reservation->second);
        return Outcome::task_waits;
    }
    if (!machine) {
        // All tasks of the job have the same shape, so none of them fits either.
        return preemption_.preempt(entry, search.zones, task) ? Outcome::task_waits : Outcome::job_waits;
    }
    if (!reserved && search.extent != Extent::first &&
        !ranking_.respects_quota_reservations(entry.job, *machine))
        return Outcome::job_waits;
    if (reserved) {
        reservations.erase(reservation);
    } else if (image_fetch_exceeds_max_wait(search, *machine) &&
               preemption_.preempt(entry, search.zones, task, true)) {
        // The image fetch takes longer than the objective allows: preempting a task on a machine that has the
        // image is worth its cost.
        return Outcome::task_waits;
    }
    start(search, task, *machine);
    return Outcome::started;
}

bool TaskPlacement::fits(const JobSearch& search, std::size_t machine) const {
    const MachineCapacity& candidate = trial_.capacity().machines()[machine];
    const Job& job = search.entry.job;
    return job.resources.fits_in(candidate.free) && search.zones.allows(job, candidate.zone);
}

std::optional<std::size_t> TaskPlacement::reserved_machine(const JobSearch& search, std::uint32_t task,
                                                           const Reservation& reservation) const {
    const auto machine = trial_.capacity().position_of(reservation.machine);
    if (machine == FreeCapacity::npos || !trial_.capacity().machines()[machine].usable) return std::nullopt;
    if (!fits(search, machine) || trial_.listed_on(machine, search.entry, task)) return std::nullopt;
    return machine;
}

std::optional<std::size_t> TaskPlacement::next_candidate(JobSearch& search, std::uint32_t task) const {
    const auto& candidates = search.candidates;
    while (search.next < candidates.size() && !fits(search, candidates[search.next].machine)) ++search.next;
    for (std::size_t i = search.next; i < candidates.size(); ++i) {
        const std::size_t machine = candidates[i].machine;
        if (fits(search, machine) && !trial_.listed_on(machine, search.entry, task)) return machine;
    }
    return std::nullopt;
}

bool TaskPlacement::image_fetch_exceeds_max_wait(const JobSearch& search, std::size_t machine) const {
    if (!search.max_wait_s) return false;
    const MachineCapacity& candidate = trial_.capacity().machines()[machine];
    return search_.image_fetch_s(search.entry.job, candidate) > *search.max_wait_s;
}

void TaskPlacement::start(JobSearch& search, std::uint32_t task, std::size_t machine) {
    const auto chunk = search.entry.chunks.find(task / kChunkTasks);
    const std::uint64_t last = chunk == search.entry.chunks.end() ? 0 : chunk->second.last_attempt;
    search.zones.add(trial_.capacity().machines()[machine].zone);
    trial_.start(search.entry, task, last + 1, machine);
}

}  // namespace hatchwind::core
