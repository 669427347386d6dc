/// The outgoing side of the controllers' own network: a queue of frames for each peer.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "config/settings.hpp"
#include "io/loop.hpp"
#include "wire/peer_protocol.hpp"

namespace hatchwind::controller {

/// What waits to be sent to one peer, and what has been reported on the present connection to it.
struct PeerLink {
    PeerLink(io::Loop& loop, Peer configured) : peer(std::move(configured)), filled(loop) {}

    Peer peer;
    std::string out;    ///< frames that wait; bounded
    io::Signal filled;  ///< something was queued
    bool connected = false;
    io::Micros connected_at{0};       ///< monotonic clock: when the present connection was made
    bool missed = false;              ///< the queue was full when something was to be sent
    io::Micros answered_until{0};     ///< wall clock: lease renewals have been reported up to then
    std::uint64_t released_told = 0;  ///< position in the released machines, likewise
    io::Micros confirmed{0};  ///< monotonic clock: the peer last said that it hears us, or the link was made
};

/// Frames for a peer that is not connected are dropped: a new connection begins with the whole cluster view.
class PeerLinks {
  public:
    /// By label.
    using Links = std::map<std::string, std::unique_ptr<PeerLink>>;

    PeerLinks(io::Loop& loop, const Settings& settings);

    /// One link for each configured peer, connected or not.
    Links& all() { return links_; }
    /// One link for each configured peer, connected or not.
    const Links& all() const { return links_; }
    /// True for the label of a configured peer.
    bool contains(const std::string& label) const { return links_.contains(label); }
    /// The link of a configured peer.
    PeerLink& at(const std::string& label) { return *links_.at(label); }
    /// False when the queue of the link is full, or there is no connection.
    bool push(PeerLink& link, const wire::PeerMessage& message) const;
    /// To every connected peer.
    void broadcast(const wire::PeerMessage& message);

  private:
    bool push_frame(PeerLink& link, const std::string& frame) const;

    std::size_t queue_limit_;  // bytes
    Links links_;
};

}  // namespace hatchwind::controller
