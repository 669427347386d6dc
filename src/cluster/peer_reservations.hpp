/// Capacity that other controllers are clearing for their tasks.
#pragma once

#include <map>
#include <utility>

#include "core/placement.hpp"

namespace hatchwind::controller {

/// Written by PeerMessageHandler; placement leaves the reserved capacity alone until each reservation runs
/// out.
class PeerReservations {
  public:
    /// By the task that the capacity is for.
    using Reservations = std::map<core::TaskRef, core::Reservation>;

    /// Number of reservations.
    std::size_t size() const { return reservations_.size(); }
    /// Adds a reservation, or replaces the earlier one for that task.
    void put(const core::TaskRef& task, core::Reservation reservation) {
        reservations_[task] = std::move(reservation);
    }
    /// Those that have run out may still be among them: see drop_settled.
    const Reservations& all() const { return reservations_; }
    /// Drops those that have run out, and those whose task has been started where the capacity was cleared.
    void drop_settled(const core::JobTable& job_table, core::Micros monotonic_now) {
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
