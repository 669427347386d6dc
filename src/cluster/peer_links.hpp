/// Outgoing connections to the other controllers, with a queue of frames for each peer.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "config/settings.hpp"
#include "io/loop.hpp"
#include "wire/peer_protocol.hpp"

namespace hatchwind::controller {

/// The queue of frames for one peer, and the state of the current connection to it.
struct PeerLink {
    PeerLink(io::Loop& loop, Peer configured) : peer(std::move(configured)), frame_queued(loop) {}

    Peer peer;
    std::string queued_frames;  ///< encoded frames to be sent; bounded
    io::Signal frame_queued;    ///< notified when a frame is queued
    bool connected = false;
    io::Micros connected_at{0};             ///< monotonic clock: start of the current connection
    bool frames_dropped = false;            ///< a frame was dropped because the queue was full
    io::Micros renewals_reported_until{0};  ///< wall clock: lease renewals before it are reported
    std::uint64_t reported_releases_position =
        0;  ///< position in the released machines up to which they are reported
    /// Monotonic clock: when the peer last reported that it receives this controller's frames; initially the
    /// start of the connection.
    io::Micros last_confirmed_at{0};
};

/// Frames for a disconnected peer are dropped: each new connection begins with the whole cluster view.
class PeerLinks {
  public:
    /// By label.
    using Links = std::map<std::string, std::unique_ptr<PeerLink>>;

    PeerLinks(io::Loop& loop, const Settings& settings);

    /// The links to all configured peers, connected or not.
    Links& all() { return links_; }
    /// The links to all configured peers, connected or not.
    const Links& all() const { return links_; }
    /// Returns true if a peer with the label is configured.
    bool contains(const std::string& label) const { return links_.contains(label); }
    /// Returns the link to a configured peer.
    PeerLink& at(const std::string& label) { return *links_.at(label); }
    /// Queues the message. Returns false if the link is not connected or its queue is full.
    bool push(PeerLink& link, const wire::PeerMessage& message) const;
    /// Queues the message for every connected peer whose queue is not full.
    void broadcast(const wire::PeerMessage& message);

  private:
    bool push_frame(PeerLink& link, const std::string& frame) const;

    std::size_t max_queued_bytes_;
    Links links_;
};

}  // namespace hatchwind::controller
