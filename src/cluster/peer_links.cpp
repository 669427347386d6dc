#include "cluster/peer_links.hpp"

namespace hatchwind::controller {

namespace {
// The queue of each peer is limited to this part of the controller's memory.
constexpr std::size_t kQueueMemoryDivisor = 64;
constexpr double kBytesPerMegabyte = 1024 * 1024;
}  // namespace

PeerLinks::PeerLinks(io::Loop& loop, const Settings& settings)
    : max_queued_bytes_(static_cast<std::size_t>(settings.memory_mb * kBytesPerMegabyte) /
                        kQueueMemoryDivisor) {
    for (const auto& peer : settings.peers) links_[peer.label] = std::make_unique<PeerLink>(loop, peer);
}

bool PeerLinks::push(PeerLink& link, const wire::PeerMessage& message) const {
    return push_frame(link, wire::encode_frame(message));
}

bool PeerLinks::push_frame(PeerLink& link, const std::string& frame) const {
    if (!link.connected) return false;
    if (link.queued_frames.size() > max_queued_bytes_) {
        // The peer does not read. Once it has read the queued frames, it is sent the full cluster view in
        // place of the dropped ones.
        link.frames_dropped = true;
        return false;
    }
    link.queued_frames += frame;
    link.frame_queued.notify_all();
    return true;
}

void PeerLinks::broadcast(const wire::PeerMessage& message) {
    const std::string frame = wire::encode_frame(message);
    for (auto& [label, link] : links_) push_frame(*link, frame);
}

}  // namespace hatchwind::controller
