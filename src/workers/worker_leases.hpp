/// The latest time until which each worker's lease may be valid, whichever controller renewed it.
///
/// Owns the lease renewals that this controller knows of, and the incarnations of the workers, in memory
/// only. After a restart, renewals that the controller can't know of are assumed to be as late as possible.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "cluster/leadership.hpp"
#include "cluster/peer_directory.hpp"
#include "config/settings.hpp"
#include "store/replicated_state.hpp"

namespace hatchwind::controller {

/// A worker keeps its tasks while it holds a lease, which any controller renews by answering a heartbeat. A
/// task may be started elsewhere only once its worker's lease has expired for certain.
class WorkerLeases {
  public:
    /// Time of the latest renewal (wall clock), by machine.
    using Renewals = std::map<std::string, core::Micros>;

    WorkerLeases(const Settings& settings, const ReplicatedState& replicated, const PeerDirectory& peers,
                 const Leadership& leadership)
        : settings_(settings), replicated_(replicated), peers_(peers), leadership_(leadership) {}

    /// Records that this controller answers a heartbeat of the worker now, and so renews its lease.
    void renew(const std::string& machine, core::Micros wall_clock_now, core::Micros monotonic_now);
    /// Records that a controller renewed the lease at `renewed_at` (wall clock). The latest renewal counts.
    void record_renewal(const std::string& machine, core::Micros renewed_at);
    /// The renewals by this controller since it started, which it reports to its peers.
    const Renewals& own_renewals() const { return own_renewals_; }

    /// Records that the worker incarnation exists. It began before this call, with a lease that no controller
    /// granted.
    void record_incarnation(const std::string& machine, std::uint64_t incarnation);
    /// Returns true if the lease of the incarnation has certainly expired, whichever controllers received the
    /// worker's heartbeats.
    bool is_expired(const std::string& machine, std::uint64_t incarnation, core::Micros wall_clock_now);
    /// Removes a machine that has been released.
    void forget(const std::string& machine);

    /// Returns the number of workers that send their heartbeats to this controller.
    std::size_t assigned_count();
    /// Records that the worker was redirected to another controller, or has been answered by one.
    void unassign(const std::string& machine) { assigned_workers_.erase(machine); }

  private:
    struct KnownIncarnation {
        std::uint64_t incarnation = 0;
        core::Micros known_since{0};  // wall clock
    };
    /// Returns the time (wall clock) at which the latest lease that any controller may have granted has
    /// expired by the worker's clock.
    core::Micros latest_expiry(const std::string& machine) const;
    /// Returns true if every other member has reported its renewals up to `expiry` (wall clock).
    bool peers_reported_until(core::Micros expiry) const;

    const Settings& settings_;
    const ReplicatedState& replicated_;
    const PeerDirectory& peers_;
    const Leadership& leadership_;
    Renewals own_renewals_;
    Renewals known_renewals_;  // by any controller
    // Workers whose last answer came from this controller, with the time of that answer (monotonic clock).
    // Counting all workers that were answered recently would include those that were just redirected, and
    // would cause as many redirects again.
    std::unordered_map<std::string, core::Micros> assigned_workers_;
    // The newest known incarnation of each machine, from heartbeats and attempt records.
    std::unordered_map<std::string, KnownIncarnation> incarnations_;
};

}  // namespace hatchwind::controller
