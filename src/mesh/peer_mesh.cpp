#include "mesh/peer_mesh.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <utility>
#include <variant>

namespace hatchwind::controller {

using io::Micros;
using io::steady_now;
using io::Task;

namespace {
// Of each peer: the one in use, and some that a cut has left half open.
constexpr std::size_t kInboundPerPeer = 4;
constexpr std::size_t kLeastInbound = 16;
constexpr std::size_t kReadBufferBytes = 16384;
constexpr Micros kConnectTimeout{2'000'000};
constexpr Micros kConnectRetry{400'000};
constexpr Micros kReconnectDelay{200'000};
constexpr Micros kWriteTimeout{4'000'000};
constexpr Micros kReadTimeout{16'000'000};
constexpr Micros kUnconfirmed{3'000'000};
}  // namespace

PeerMesh::PeerMesh(io::Loop& loop, const Settings& settings, const WorkerStatus& workers, PeerLinks& links,
                   PeerMessageHandler& handler)
    : loop_(loop),
      label_(settings.label),
      workers_(workers),
      links_(links),
      handler_(handler),
      listener_(loop, settings.mesh) {}

void PeerMesh::start(io::Scope& scope) {
    scope.spawn(accept_peers());
    for (auto& [label, link] : links_.all()) scope.spawn(connect_to(*link));
}

void PeerMesh::queue_cluster_view(PeerLink& link) const {
    // What is known of images goes along, and the next heartbeat has the whole tables.
    link.frames_dropped = false;
    link.renewals_reported_until = Micros{0};
    link.reported_releases_position = 0;
    for (const auto& [machine, view] : workers_.cluster_view().machines()) {
        wire::WorkerStatusUpdate update = status_update(view, view.last_answered_at);
        for (const auto& [name, image] : view.images) update.images.emplace_back(name, image.gb);
        link.queued_frames += wire::encode_frame(update);
    }
}

Task<void> PeerMesh::connect_to(PeerLink& link) {
    while (true) {
        auto connecting = io::connect(loop_, link.peer.address, steady_now() + kConnectTimeout);
        auto socket = co_await std::move(connecting);
        if (!socket) {
            co_await loop_.sleep(kConnectRetry);
            continue;
        }
        link.queued_frames = wire::encode_frame(wire::PeerHandshake{wire::kPeerProtocolVersion, label_});
        link.connected = true;
        link.connected_at = steady_now();
        link.last_confirmed_at = link.connected_at;
        queue_cluster_view(link);
        auto writing = write_frames(link, *socket);
        co_await std::move(writing);
        link.connected = false;
        link.queued_frames.clear();
        co_await loop_.sleep(kReconnectDelay);
    }
}

Task<void> PeerMesh::write_frames(PeerLink& link, io::Socket& socket) {
    while (true) {
        if (link.queued_frames.empty() && link.frames_dropped) queue_cluster_view(link);
        if (link.queued_frames.empty()) co_await link.frame_queued.wait();
        const std::string batch = std::exchange(link.queued_frames, {});
        const Micros deadline = steady_now() + kWriteTimeout;
        const auto written = co_await socket.write(batch, deadline);
        if (!written || socket.is_stale()) co_return;
        // After a cut, or behind a peer that was killed in one, writes vanish into a connection that never
        // fails. Only the peer's word that it hears us shows that it does: without tables from every member
        // no lease ever counts as expired, and what was lost stays lost.
        if (steady_now() - link.last_confirmed_at > kUnconfirmed) {
            spdlog::info("event=peer_unconfirmed peer={}", link.peer.label);
            co_return;
        }
    }
}

Task<void> PeerMesh::accept_peers() {
    while (true) {
        io::Socket socket = co_await listener_.accept();
        const std::size_t most = std::max(kLeastInbound, kInboundPerPeer * links_.all().size());
        if (inbound_open_ >= most) continue;  // closes it
        ++inbound_open_;
        inbound_.spawn(read_frames(std::move(socket)));
    }
}

std::string PeerMesh::accept_handshake(const wire::PeerMessage& message) const {
    const auto* handshake = std::get_if<wire::PeerHandshake>(&message);
    if (handshake == nullptr || handshake->version != wire::kPeerProtocolVersion) return {};
    return links_.contains(handshake->label) ? handshake->label : std::string{};
}

Task<void> PeerMesh::read_frames(io::Socket socket) {
    struct OpenConnection {
        std::size_t& count;
        ~OpenConnection() { --count; }
    } open{inbound_open_};
    wire::FrameReader frames;
    std::string from;
    std::array<char, kReadBufferBytes> buffer;
    while (true) {
        const auto bytes = co_await socket.read(buffer.data(), buffer.size(), steady_now() + kReadTimeout);
        if (!bytes || *bytes == 0) co_return;
        frames.add(std::string_view(buffer.data(), *bytes));
        while (auto message = frames.next()) {
            if (!from.empty()) {
                handler_.handle(from, *message);
                continue;
            }
            from = accept_handshake(*message);
            if (from.empty()) {
                spdlog::warn("event=peer_rejected");
                co_return;
            }
        }
        if (frames.broken()) {
            spdlog::warn("event=malformed_peer_frame from={} count={}", from, ++malformed_);
            co_return;
        }
    }
}

}  // namespace hatchwind::controller
