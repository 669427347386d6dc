/// The last heartbeat of each peer.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "core/epoch.hpp"
#include "wire/peer_protocol.hpp"

namespace hatchwind::controller {

/// The last heartbeat of one peer.
struct PeerStatus {
    wire::PeerHeartbeat heartbeat;
    core::Micros received_at{0};  ///< monotonic clock; 0: never
};

/// Holds an entry for every configured peer from the start. Written by PeerMessageHandler when a heartbeat
/// arrives.
class PeerDirectory {
  public:
    /// By label.
    using Peers = std::map<std::string, PeerStatus>;

    explicit PeerDirectory(const Settings& settings);

    /// All configured peers, including those without a heartbeat.
    const Peers& all() const { return peers_; }
    /// Number of configured peers, without this controller.
    std::size_t size() const { return peers_.size(); }
    /// Returns null if no peer with the label is configured.
    const PeerStatus* find(const std::string& label) const;
    /// Returns the peer's last heartbeat if it comes from the incarnation that `member` names, otherwise
    /// null.
    const wire::PeerHeartbeat* heartbeat_of(const core::Member& member) const;
    /// Returns true if a heartbeat of the peer was received recently.
    bool is_fresh(const std::string& label, core::Micros monotonic_now) const;
    /// Returns the labels of the epoch's members other than `self` whose last heartbeat is recent and reports
    /// that they can serve workers.
    std::vector<std::string> healthy_members(const core::Epoch& epoch, const std::string& self,
                                             core::Micros monotonic_now) const;

    /// Returns false if the heartbeat was sent before the peer's last one. A delayed connection may deliver
    /// old heartbeats after newer ones.
    bool is_newer(const std::string& label, const wire::PeerHeartbeat& heartbeat) const;
    /// Replaces the peer's last heartbeat. The caller has checked it with is_newer().
    void record(const std::string& label, wire::PeerHeartbeat heartbeat, core::Micros monotonic_now);

  private:
    Peers peers_;
};

}  // namespace hatchwind::controller
