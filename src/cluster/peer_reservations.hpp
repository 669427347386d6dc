/// Capacity that other controllers are freeing for their tasks.
#pragma once

#include <map>
#include <utility>

#include "core/placement.hpp"

namespace hatchwind::controller {

/// Written by PeerMessageHandler. Placement does not use reserved capacity until the reservation expires.
class PeerReservations {
  public:
    /// By the task that the capacity is reserved for.
    using Reservations = std::map<core::TaskRef, core::Reservation>;

    /// Number of reservations.
    std::size_t size() const { return reservations_.size(); }
    /// Adds a reservation or replaces the task's previous one.
    void put(const core::TaskRef& task, core::Reservation reservation) {
        reservations_[task] = std::move(reservation);
    }
    /// May contain expired reservations: see remove_obsolete().
    const Reservations& all() const { return reservations_; }
    /// Removes reservations that have expired, and those whose task has an open attempt on the reserved
    /// machine.
    void remove_obsolete(const core::JobTable& job_table, core::Micros monotonic_now) {
        std::erase_if(reservations_, [&](const auto& entry) {
            const auto& [task, reservation] = entry;
            const core::Attempt* open = job_table.open_attempt(task.job, task.task);
            return reservation.until <= monotonic_now ||
                   (open != nullptr && open->machine == reservation.machine);
        });
    }

  private:
    Reservations reservations_;
};

}  // namespace hatchwind::controller
