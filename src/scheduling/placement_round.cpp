#include "scheduling/placement_round.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace hatchwind::controller {

using io::Micros;

namespace {
constexpr std::size_t kStartsPerOperation = 8;  // of a transaction
constexpr std::size_t kMachinesPerStop = 100;
constexpr Micros kAnnounceAgain{3'000'000};
constexpr Micros kStopTime{2'000'000};  // beside the grace period
}  // namespace

core::PlacementInput PlacementRound::gather_input(std::size_t most_records) const {
    core::PlacementInput input;
    input.most_records = most_records;
    // A pass starts what one transaction records; more would hold up what comes after it.
    input.most_starts = std::max<std::size_t>(input.most_starts, settings_.txn_ops * kStartsPerOperation);
    input.most_stops =
        std::max<std::size_t>(input.most_stops, workers_.cluster_view().machines().size() / kMachinesPerStop);
    input.job_table = &replicated_.job_table();
    input.cluster_view = &workers_.cluster_view();
    input.teams = &settings_.teams;
    input.objectives = &settings_.objectives;
    for (const auto& [name, team] : settings_.teams) {
        if (leadership_.owns_shard(name)) input.own_teams.insert(name);
    }
    input.now = io::steady_now();
    input.wall_clock_now = io::wall_now();
    return input;
}

bool PlacementRound::anything_to_start(const core::PlacementInput& input) const {
    const auto& jobs = replicated_.job_table().jobs();
    return std::any_of(jobs.begin(), jobs.end(), [&](const auto& job) {
        const core::JobEntry& entry = job.second;
        return entry.unstarted() > 0 && !entry.job.cancelled && input.own_teams.contains(entry.job.team);
    });
}

void PlacementRound::add_peer_reservations(core::PlacementInput& input) {
    input.reservations = reservations_;
    std::erase_if(stopping_, [&](const auto& stop) { return stop.second <= input.now; });
    for (const auto& [task, until] : stopping_) input.stopping.insert(task);
    // Free capacity that another owner has cleared: without this the victim's owner, which hears of the exit
    // as soon as anyone, puts the task right back and is stopped again, over and over.
    peer_reservations_.drop_settled(replicated_.job_table(), input.now);
    for (const auto& [task, reservation] : peer_reservations_.all())
        input.peer_reservations.push_back(reservation);
}

core::FreeCapacity PlacementRound::free_capacity(Micros now) {
    auto availability = workers_.availability();
    for (const auto& [machine, until] : failure_backoff_.machine_backoff(now))
        availability.banned_until[machine] = until;
    return core::FreeCapacity::build(workers_.cluster_view(), replicated_.job_table(), *catalog_,
                                     availability, &free_capacity_cache_);
}

std::size_t PlacementRound::run(StagedRecords& staged, std::size_t most_records) {
    core::PlacementInput input = gather_input(most_records);
    if (!anything_to_start(input)) return 0;
    input.job_backoff = failure_backoff_.job_backoff();
    const auto pipelines =
        core::PipelineSchedule::build(replicated_.job_table(), settings_.objectives, input.wall_clock_now);
    input.pipelines = &pipelines;
    core::FreeCapacity capacity = free_capacity(input.now);
    add_peer_reservations(input);
    auto result = core::place(input, capacity);
    capacity.recycle(free_capacity_cache_);
    announce(result.reservations, input.now);
    reservations_ = std::move(result.reservations);
    std::erase_if(announced_, [&](const auto& told) { return !reservations_.contains(told.first); });
    for (const auto& start : result.starts) staged.start(*replicated_.job_table().find(start.job), start);
    send_stops(result.stops, input.now);
    return result.deferred;
}

void PlacementRound::announce(const std::map<core::TaskRef, core::Reservation>& reservations, Micros now) {
    for (const auto& [task, reservation] : reservations) {
        // Told again before it runs out on the others' side.
        Micros& told_until = announced_[task];
        if (reservation.until - told_until < kAnnounceAgain) continue;
        told_until = reservation.until;
        const core::Resources& resources = reservation.resources;
        const auto lasts_us = static_cast<std::uint64_t>((reservation.until - now).count());
        links_.broadcast(wire::CapacityReservationNotice{reservation.machine, task.job, task.task,
                                                         resources.cpus, resources.gpus, resources.memory_gb,
                                                         lasts_us, reservation.for_overdue_job});
    }
}

void PlacementRound::send_stops(const std::vector<core::Stop>& stops, Micros now) {
    for (const auto& stop : stops) {
        spdlog::debug("event=preempt job={} task={} machine={}", stop.job, stop.task, stop.attempt.machine);
        stopping_[{stop.job, stop.task}] = now + kStopTime + core::from_seconds(stop.grace_s);
        dispatch_.preempt(stop);
    }
}

}  // namespace hatchwind::controller
