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
    input.most_starts =
        std::max<std::size_t>(input.most_starts, node_.settings.txn_ops * kStartsPerOperation);
    input.most_stops =
        std::max<std::size_t>(input.most_stops, node_.cluster_view.machines().size() / kMachinesPerStop);
    input.job_table = &node_.job_table;
    input.cluster_view = &node_.cluster_view;
    input.teams = &node_.settings.teams;
    input.objectives = &node_.settings.objectives;
    for (const auto& [name, team] : node_.settings.teams) {
        if (node_.owns_shard(name)) input.own_teams.insert(name);
    }
    input.now = io::steady_now();
    input.wall_clock_now = io::wall_now();
    return input;
}

bool PlacementRound::anything_to_start(const core::PlacementInput& input) const {
    const auto& jobs = node_.job_table.jobs();
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
    std::erase_if(node_.peer_reservations, [&](const auto& hold) {
        const core::Attempt* open = node_.job_table.open_attempt(hold.first.job, hold.first.task);
        return hold.second.until <= input.now || (open != nullptr && open->machine == hold.second.machine);
    });
    for (const auto& [task, hold] : node_.peer_reservations) input.peer_reservations.push_back(hold);
}

core::FreeCapacity PlacementRound::free_capacity(Micros now) {
    auto availability = node_.availability();
    for (const auto& [machine, until] : failure_backoff_.machine_backoff(now))
        availability.banned_until[machine] = until;
    return core::FreeCapacity::build(node_.cluster_view, node_.job_table, *node_.catalog, availability,
                                     &node_.free_capacity_cache);
}

std::size_t PlacementRound::run(StagedRecords& staged, std::size_t most_records) {
    core::PlacementInput input = gather_input(most_records);
    if (!anything_to_start(input)) return 0;
    input.job_backoff = failure_backoff_.job_backoff();
    const auto pipelines =
        core::PipelineSchedule::build(node_.job_table, node_.settings.objectives, input.wall_clock_now);
    input.pipelines = &pipelines;
    core::FreeCapacity capacity = free_capacity(input.now);
    add_peer_reservations(input);
    auto result = core::place(input, capacity);
    capacity.recycle(node_.free_capacity_cache);
    announce(result.reservations, input.now);
    reservations_ = std::move(result.reservations);
    std::erase_if(announced_, [&](const auto& told) { return !reservations_.contains(told.first); });
    for (const auto& start : result.starts) staged.start(*node_.job_table.find(start.job), start);
    send_stops(result.stops, input.now);
    return result.deferred;
}

void PlacementRound::announce(const std::map<core::TaskRef, core::Reservation>& reservations, Micros now) {
    for (const auto& [task, reservation] : reservations) {
        // Told again before it runs out on the others' side.
        Micros& told_until = announced_[task];
        if (!node_.announce_reservation || reservation.until - told_until < kAnnounceAgain) continue;
        told_until = reservation.until;
        const core::Resources& resources = reservation.resources;
        const auto lasts_us = static_cast<std::uint64_t>((reservation.until - now).count());
        node_.announce_reservation({reservation.machine, task.job, task.task, resources.cpus, resources.gpus,
                                    resources.memory_gb, lasts_us, reservation.waiting});
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
