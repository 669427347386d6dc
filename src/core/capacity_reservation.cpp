#include "core/capacity_reservation.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace hatchwind::core {

namespace {

// Long enough for the next passes to renew the reservation.
constexpr Micros kOverdueReservationDuration{5'000'000};

// Returns the machines that are large enough for a task of the job and that it may run on, those with the
// most free CPUs first.
std::vector<std::size_t> machines_by_free_cpus(const FreeCapacity& capacity, const Job& job) {
    const auto& machines = capacity.machines();
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < machines.size(); ++i) {
        const MachineCapacity& machine = machines[i];
        if (!machine.usable || machine.draining || !may_run_on(job, machine)) continue;
        if (job.resources.fits_in(machine.type->size)) order.push_back(i);
    }
    std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return std::tuple{-machines[left].free.cpus, left} < std::tuple{-machines[right].free.cpus, right};
    });
    return order;
}

// Keeps only the machines of the zone with the most free CPUs, for a job whose tasks must share one zone.
void keep_zone_with_most_free_cpus(const FreeCapacity& capacity, std::vector<std::size_t>& order) {
    if (order.empty()) return;
    const auto& machines = capacity.machines();
    std::map<std::string, double> free_cpus_by_zone;
    for (const auto i : order) free_cpus_by_zone[machines[i].zone] += std::max(0.0, machines[i].free.cpus);
    const auto most_free_zone =
        std::max_element(free_cpus_by_zone.begin(), free_cpus_by_zone.end(),
                         [](const auto& left, const auto& right) { return left.second < right.second; });
    std::erase_if(order, [&](std::size_t i) { return machines[i].zone != most_free_zone->first; });
}

}  // namespace

void reserve_for_overdue(PlacementTrial& trial, const JobEntry& entry, std::uint32_t task,
                         std::size_t machine) {
    const Reservation reservation{trial.capacity().machines()[machine].id, entry.job.resources,
                                  trial.input().now + kOverdueReservationDuration, true};
    trial.result().reservations[{entry.job.id, task}] = reservation;
    trial.reserve(reservation);
}

void reserve_capacity(PlacementTrial& trial, const JobEntry& entry, std::uint32_t tasks) {
    const FreeCapacity& capacity = trial.capacity();
    std::vector<std::size_t> order = machines_by_free_cpus(capacity, entry.job);
    if (entry.job.one_zone) keep_zone_with_most_free_cpus(capacity, order);
    std::size_t next = 0;
    std::uint32_t task = 0;
    while (task < tasks && next < order.size()) {
        // Reservations for older jobs may exceed the machine's capacity.
        if (capacity.machines()[order[next]].free.cpus < 0) {
            ++next;
            continue;
        }
        reserve_for_overdue(trial, entry, task, order[next]);
        ++task;
    }
}

}  // namespace hatchwind::core
