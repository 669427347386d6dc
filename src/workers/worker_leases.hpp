/// Until when each worker's lease may still run, wherever it was renewed.
///
/// Owns the renewals that this controller knows of, and the incarnations of the workers. All of it is memory
/// only: what a controller can't know after a restart it takes to be as late as possible.
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
    /// Time of day of the latest renewal, by machine.
    using Renewals = std::map<std::string, core::Micros>;

    WorkerLeases(const Settings& settings, const ReplicatedState& replicated, const PeerDirectory& peers,
                 const Leadership& leadership)
        : settings_(settings), replicated_(replicated), peers_(peers), leadership_(leadership) {}

    /// This controller answers a heartbeat of the worker, at this moment by both clocks.
    void renew(const std::string& machine, core::Micros wall_clock_now, core::Micros monotonic_now);
    /// The lease was renewed by some controller at that time of day. The latest renewal counts.
    void record_peer_renewal(const std::string& machine, core::Micros renewed_at);
    /// Time of day of the renewals by this controller since it started, for its peers.
    const Renewals& own_renewals() const { return own_renewals_; }

    /// A worker incarnation exists. It began before this moment, and with a lease that no controller granted.
    void record_incarnation(const std::string& machine, std::uint64_t incarnation);
    /// True when the lease of that incarnation has certainly expired, whichever controllers the worker's
    /// heartbeats went to.
    bool is_expired(const std::string& machine, std::uint64_t incarnation, core::Micros wall_clock_now);
    /// The machine has been released.
    void forget(const std::string& machine);

    /// How many workers send their heartbeats to this controller.
    std::size_t assigned_count();
    /// The worker was redirected to another controller, or has been answered by one.
    void unassign(const std::string& machine) { assigned_.erase(machine); }

  private:
    struct IncarnationSighting {
        std::uint64_t incarnation = 0;
        core::Micros first_known{0};  // time of day
    };
    /// Time of day by which a lease that any controller may have renewed has expired by the worker's clock.
    core::Micros latest_expiry(const std::string& machine) const;
    /// Every other member's renewals up to that time of day are known.
    bool peers_reported_until(core::Micros expiry) const;

    const Settings& settings_;
    const ReplicatedState& replicated_;
    const PeerDirectory& peers_;
    const Leadership& leadership_;
    Renewals own_renewals_;    // time of day
    Renewals known_renewals_;  // time of day, by any controller
    // Workers that this controller was the last to answer, with the monotonic time of it. A count of all that
    // it answered recently would include those that it has just redirected, and redirect as many again.
    std::unordered_map<std::string, core::Micros> assigned_;
    // The newest incarnation of each machine that a heartbeat or a record has named.
    std::unordered_map<std::string, IncarnationSighting> incarnations_;
};

}  // namespace hatchwind::controller
