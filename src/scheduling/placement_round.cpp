#include "scheduling/placement_round.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace hatchwind::controller {

using io::Micros;

namespace {
constexpr std::size_t kStartsPerOperation = 8;  // per write of a transaction
constexpr std::size_t kMachinesPerStop = 100;   // a pass may preempt one task per this many machines
// A reservation is announced again when its expiry is this much later than the announced one.
constexpr Micros kAnnounceInterval{3'000'000};
constexpr Micros kExpectedStopDuration{2'000'000};  // in addition to the grace period
}  // namespace

core::PlacementInput PlacementRound::gather_input(std::size_t max_records) const {
    core::PlacementInput input;
    input.max_records = max_records;
    // A pass starts as many tasks as one transaction can record. More starts would delay subsequent writes.
    input.max_starts =
        std::max<std::size_t>(input.max_starts, context_.settings.txn_ops * kStartsPerOperation);
    const std::size_t machines = context_.workers.cluster_view().machines().size();
    input.max_stops = std::max<std::size_t>(input.max_stops, machines / kMachinesPerStop);
    input.job_table = &context_.replicated.job_table();
    input.cluster_view = &context_.workers.cluster_view();
    input.teams = &context_.settings.teams;
    input.objectives = &context_.settings.objectives;
    for (const auto& [name, team] : context_.settings.teams) {
        if (context_.leadership.owns_shard(name)) input.own_teams.insert(name);
    }
    input.now = io::steady_now();
    input.wall_clock_now = io::wall_now();
    return input;
}

bool PlacementRound::anything_to_start(const core::PlacementInput& input) const {
    const auto& jobs = context_.replicated.job_table().jobs();
    return std::any_of(jobs.begin(), jobs.end(), [&](const auto& job) {
        const core::JobEntry& entry = job.second;
        return entry.unstarted() > 0 && !entry.job.cancelled && input.own_teams.contains(entry.job.team);
    });
}

std::map<std::string, Micros> PlacementRound::job_backoff() const {
    std::map<std::string, Micros> backoff = context_.failure_backoff.job_backoff();
    for (const auto& [job, until] : context_.holds.all()) {
        Micros& later = backoff[job];
        later = std::max(later, until);
    }
    return backoff;
}

void PlacementRound::add_reservations(core::PlacementInput& input) {
    input.reservations = reservations_;
    std::erase_if(preempting_until_, [&](const auto& task) { return task.second <= input.now; });
    for (const auto& [task, until] : preempting_until_) input.stopping.insert(task);
    // Capacity that another shard owner frees by preemption. Without these reservations, the shard owner of
    // the preempted task would place the task there again as soon as it has exited, and it would be preempted
    // again, in an endless cycle.
    context_.peer_reservations.remove_obsolete(context_.replicated.job_table(), input.now);
    for (const auto& [task, reservation] : context_.peer_reservations.all())
        input.peer_reservations.push_back(reservation);
}

core::FreeCapacity PlacementRound::free_capacity(Micros monotonic_now) {
    auto availability = context_.workers.availability();
    for (const auto& [machine, until] : context_.failure_backoff.machine_backoff(monotonic_now))
        availability.banned_until[machine] = until;
    return core::FreeCapacity::build(context_.workers.cluster_view(), context_.replicated.job_table(),
                                     *context_.catalog, availability, &context_.free_capacity_cache);
}

std::size_t PlacementRound::run(StagedRecords& staged, std::size_t max_records) {
    core::PlacementInput input = gather_input(max_records);
    if (!anything_to_start(input)) return 0;
    input.job_backoff = job_backoff();
    const auto pipelines = core::PipelineSchedule::build(context_.replicated.job_table(),
                                                         context_.settings.objectives, input.wall_clock_now);
    input.pipelines = &pipelines;
    core::FreeCapacity capacity = free_capacity(input.now);
    add_reservations(input);
    core::PlacementResult result = core::place(input, capacity);
    capacity.recycle(context_.free_capacity_cache);
    apply(result, staged, input.now);
    return result.deferred;
}

void PlacementRound::apply(core::PlacementResult& result, StagedRecords& staged, Micros monotonic_now) {
    announce(result.reservations, monotonic_now);
    reservations_ = std::move(result.reservations);
    std::erase_if(announced_until_, [&](const auto& task) { return !reservations_.contains(task.first); });
    for (const auto& start : result.starts)
        staged.start(*context_.replicated.job_table().find(start.job), start);
    send_stops(result.stops, monotonic_now);
}

void PlacementRound::announce(const std::map<core::TaskRef, core::Reservation>& reservations,
                              Micros monotonic_now) {
    for (const auto& [task, reservation] : reservations) {
        // A reservation is announced again before it expires at the peers.
        Micros& announced_until = announced_until_[task];
        if (reservation.until - announced_until < kAnnounceInterval) continue;
        announced_until = reservation.until;
        const core::Resources& resources = reservation.resources;
        const auto lasts_us = static_cast<std::uint64_t>((reservation.until - monotonic_now).count());
        context_.links.broadcast(wire::CapacityReservationNotice{
            reservation.machine, task.job, task.task, resources.cpus, resources.gpus, resources.memory_gb,
            lasts_us, reservation.for_overdue_job});
    }
}

void PlacementRound::send_stops(const std::vector<core::Stop>& stops, Micros monotonic_now) {
    for (const auto& stop : stops) {
        spdlog::debug("event=preempt job={} task={} machine={}", stop.job, stop.task, stop.attempt.machine);
        preempting_until_[{stop.job, stop.task}] =
            monotonic_now + kExpectedStopDuration + core::from_seconds(stop.grace_s);
        context_.dispatcher.preempt(stop);
    }
}

}  // namespace hatchwind::controller
