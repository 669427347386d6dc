/// The controllers' own network: one outgoing connection to each peer, and the incoming ones.
#pragma once

#include <cstdint>
#include <string>

#include "cluster/peer_links.hpp"
#include "config/settings.hpp"
#include "io/loop.hpp"
#include "io/socket.hpp"
#include "io/task.hpp"
#include "mesh/peer_message_handler.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

/// Keeps the connections, frames what is queued in PeerLinks, and hands what arrives to PeerMessageHandler.
class PeerMesh {
  public:
    PeerMesh(io::Loop& loop, const Settings& settings, const WorkerStatus& workers, PeerLinks& links,
             PeerMessageHandler& handler);

    /// Starts the connections in that scope.
    void start(io::Scope& scope);

  private:
    io::Task<void> connect_to(PeerLink& link);
    /// Writes what waits for the peer, until the connection fails.
    io::Task<void> write_frames(PeerLink& link, io::Socket& socket);
    io::Task<void> accept_peers();
    io::Task<void> read_frames(io::Socket socket);
    /// The label that the first message gives; empty when it is no handshake of a configured peer.
    std::string accept_handshake(const wire::PeerMessage& message) const;
    /// Queues the whole cluster view.
    void queue_cluster_view(PeerLink& link) const;

    io::Loop& loop_;
    const std::string label_;
    const WorkerStatus& workers_;
    PeerLinks& links_;
    PeerMessageHandler& handler_;
    io::Listener listener_;
    io::Scope inbound_;
    std::size_t inbound_open_ = 0;
    std::uint64_t malformed_ = 0;
};

}  // namespace hatchwind::controller
