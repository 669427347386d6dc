/// Until when each worker's lease may still run, wherever it was renewed.
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
    using Renewals = std::map<std::string, core::Micros>;

    WorkerLeases(const Settings& settings, const ReplicatedState& replicated, const PeerDirectory& peers,
                 const Leadership& leadership)
        : settings_(settings), replicated_(replicated), peers_(peers), leadership_(leadership) {}

    /// This controller answers a heartbeat of the worker, now by both clocks.
    void renew(const std::string& machine, core::Micros wall_clock_now, core::Micros monotonic_now);
    /// A peer says that it, or another one, renewed the lease at that time of day.
    void record_peer_renewal(const std::string& machine, core::Micros renewed_at);
    /// Time of day of the renewals by this incarnation, which peers are told of.
    const Renewals& own_renewals() const { return own_renewals_; }

    /// A worker incarnation exists. It began before this moment, and with a lease that nobody granted.
    void record_incarnation(const std::string& machine, std::uint64_t incarnation);
    /// Certain that the lease of that incarnation has expired, wherever the machine reported.
    bool is_expired(const std::string& machine, std::uint64_t incarnation, core::Micros wall_clock_now);
    /// The machine is gone for good.
    void forget(const std::string& machine);

    /// Workers whose heartbeats come to this controller.
    std::size_t assigned_count();
    /// The worker was sent to another controller, or has been heard by one.
    void unassign(const std::string& machine) { assigned_.erase(machine); }

  private:
    struct IncarnationSighting {
        std::uint64_t incarnation = 0;
        core::Micros first_known{0};  // time of day
    };
    core::Micros latest_expiry(const std::string& machine) const;
    bool peers_reported_until(core::Micros expiry) const;

    const Settings& settings_;
    const ReplicatedState& replicated_;
    const PeerDirectory& peers_;
    const Leadership& leadership_;
    Renewals own_renewals_;    // time of day
    Renewals known_renewals_;  // time of day, by any controller
    // Workers that this controller was the last to answer: monotonic, when. A count of those answered of late
    // would hold the ones that have just been sent elsewhere, and send on as many again.
    std::unordered_map<std::string, core::Micros> assigned_;
    // The newest incarnation of each machine that a heartbeat or a record has named.
    std::unordered_map<std::string, IncarnationSighting> incarnations_;
};

}  // namespace hatchwind::controller
