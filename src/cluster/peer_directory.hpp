/// What each peer last said of itself.
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

/// Holds every configured peer from the start. Written by PeerMessageHandler as heartbeats come in.
class PeerDirectory {
  public:
    /// By label.
    using Peers = std::map<std::string, PeerStatus>;

    explicit PeerDirectory(const Settings& settings);

    /// Every configured peer, with or without a heartbeat.
    const Peers& all() const { return peers_; }
    /// Number of configured peers; this controller is none of them.
    std::size_t size() const { return peers_.size(); }
    /// Null: no peer of that label is configured.
    const PeerStatus* find(const std::string& label) const;
    /// The peer's last heartbeat, when it comes from the incarnation that the epoch names; else null.
    const wire::PeerHeartbeat* heartbeat_of(const core::Member& member) const;
    /// A heartbeat of the peer came in within the last seconds.
    bool is_fresh(const std::string& label, core::Micros monotonic_now) const;
    /// Members of the epoch, `self` apart, that are fresh and say that they can serve workers.
    std::vector<std::string> healthy_members(const core::Epoch& epoch, const std::string& self,
                                             core::Micros monotonic_now) const;

    /// False for one that is older than the last: a held connection may deliver old ones after newer.
    bool is_newer(const std::string& label, const wire::PeerHeartbeat& heartbeat) const;
    /// Keeps the heartbeat as the last one of the peer. The caller has checked that it is newer.
    void record(const std::string& label, wire::PeerHeartbeat heartbeat, core::Micros monotonic_now);

  private:
    Peers peers_;
};

}  // namespace hatchwind::controller
