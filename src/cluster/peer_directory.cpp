#include "cluster/peer_directory.hpp"

#include <utility>

namespace hatchwind::controller {

using core::Micros;

namespace {
constexpr Micros kMaxHeartbeatAge{1'800'000};
}  // namespace

PeerDirectory::PeerDirectory(const Settings& settings) {
    for (const auto& peer : settings.peers) peers_[peer.label];
}

const PeerStatus* PeerDirectory::find(const std::string& label) const {
    const auto peer = peers_.find(label);
    return peer == peers_.end() ? nullptr : &peer->second;
}

const wire::PeerHeartbeat* PeerDirectory::heartbeat_of(const core::Member& member) const {
    const PeerStatus* peer = find(member.label);
    if (peer == nullptr || peer->heartbeat.store_lease != member.store_lease) return nullptr;
    return &peer->heartbeat;
}

bool PeerDirectory::is_fresh(const std::string& label, Micros monotonic_now) const {
    const PeerStatus* peer = find(label);
    return peer != nullptr && peer->received_at.count() != 0 &&
           monotonic_now - peer->received_at < kMaxHeartbeatAge;
}

std::vector<std::string> PeerDirectory::healthy_members(const core::Epoch& epoch, const std::string& self,
                                                        Micros monotonic_now) const {
    std::vector<std::string> labels;
    for (const auto& member : epoch.members) {
        if (member.label == self || !is_fresh(member.label, monotonic_now)) continue;
        const wire::PeerHeartbeat* heartbeat = heartbeat_of(member);
        if (heartbeat != nullptr && heartbeat->healthy) labels.push_back(member.label);
    }
    return labels;
}

bool PeerDirectory::is_newer(const std::string& label, const wire::PeerHeartbeat& heartbeat) const {
    const PeerStatus* peer = find(label);
    return peer == nullptr || heartbeat.wall_us >= peer->heartbeat.wall_us;
}

void PeerDirectory::record(const std::string& label, wire::PeerHeartbeat heartbeat, Micros monotonic_now) {
    PeerStatus& peer = peers_[label];
    peer.heartbeat = std::move(heartbeat);
    peer.received_at = monotonic_now;
}

}  // namespace hatchwind::controller
