#include "cluster/peer_links.hpp"

namespace hatchwind::controller {

namespace {
// Of each controller's memory, this part may wait for one peer.
constexpr std::size_t kQueueParts = 64;
constexpr double kBytesPerMegabyte = 1024 * 1024;
}  // namespace

PeerLinks::PeerLinks(io::Loop& loop, const Settings& settings)
    : queue_limit_(static_cast<std::size_t>(settings.memory_mb * kBytesPerMegabyte) / kQueueParts) {
    for (const auto& peer : settings.peers) links_[peer.label] = std::make_unique<PeerLink>(loop, peer);
}

bool PeerLinks::push(PeerLink& link, const wire::PeerMessage& message) const {
    return push_frame(link, wire::encode_frame(message));
}

bool PeerLinks::push_frame(PeerLink& link, const std::string& frame) const {
    if (!link.connected) return false;
    if (link.out.size() > queue_limit_) {
        // A peer that does not read: what it misses, the full cluster view makes good as soon as it has read
        // the rest.
        link.missed = true;
        return false;
    }
    link.out += frame;
    link.filled.notify_all();
    return true;
}

void PeerLinks::broadcast(const wire::PeerMessage& message) {
    const std::string frame = wire::encode_frame(message);
    for (auto& [label, link] : links_) push_frame(*link, frame);
}

}  // namespace hatchwind::controller
