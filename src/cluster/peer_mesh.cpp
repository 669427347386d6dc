#include "cluster/peer_mesh.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <numeric>

#include "core/fair_share.hpp"

namespace hatchwind::controller {

using io::Micros;
using io::steady_now;
using io::Task;

namespace {
// Of each node's memory, this part may wait for one peer.
constexpr std::size_t kQueueParts = 64;
// Of each peer: the one in use, and some that a cut has left half open.
constexpr std::size_t kInboundPerPeer = 4;
constexpr std::size_t kLeastInbound = 16;
// The first heartbeat of a connection has all of them to tell, and a frame has a limit (kMaxFrameBytes).
constexpr std::size_t kReleasedPerHeartbeat = 8192;
constexpr Micros kHeartbeatInterval{500'000};
constexpr Micros kSilence{4'000'000};
constexpr Micros kUnconfirmed{3'000'000};
constexpr double kDemandUnitsPerWrite = 10;  // heartbeats tell tenths of a write
// Demands are means over seconds; what a node wants comes in bursts.
constexpr double kDemandHeadroom = 1.2;
constexpr double kIdleWrites = 0.5;  // a second, for what a node without demand may have to write next
constexpr double kLeastDemand = 0.1;
constexpr double kEvenShare = 0.1;
}  // namespace

PeerMesh::PeerMesh(Node& n, Membership& m) : node_(n), membership_(m), listener_(n.loop, n.settings.mesh) {
    for (const auto& p : n.settings.peers) links_[p.label] = std::make_unique<Link>(n.loop, p);
    node_.forward = [this](const core::MachineView& v, Micros heard, bool whole) {
        forward(v, heard, whole);
    };
    node_.announce_reservation = [this](const wire::CapacityReservationNotice& h) {
        for (auto& [label, link] : links_) push(*link, h);
    };
    node_.announce_cancellation = [this](const wire::CancellationBroadcast& cancel) {
        for (auto& [label, link] : links_) push(*link, cancel);
    };
    membership_.broadcast_lease_extension_request = [this](const wire::LeaseExtensionRequest& ask) {
        for (auto& [label, link] : links_) push(*link, ask);
    };
}

void PeerMesh::start(io::Scope& scope) {
    scope.spawn(serve());
    scope.spawn(heartbeat());
    for (auto& [label, link] : links_) scope.spawn(talk(*link));
}

bool PeerMesh::push(Link& link, const wire::PeerMessage& m) const {
    return push(link, wire::encode_frame(m));
}

bool PeerMesh::push(Link& link, const std::string& frame) const {
    if (!link.connected) return false;
    if (link.out.size() > static_cast<std::size_t>(node_.settings.memory_mb * 1024 * 1024) / kQueueParts) {
        // A peer that does not read: what it misses, the full cluster view makes good as soon as it has read
        // the rest.
        link.missed = true;
        return false;
    }
    link.out += frame;
    link.filled.notify_all();
    return true;
}

wire::WorkerStatusUpdate PeerMesh::describe(const core::MachineView& v, Micros heard) {
    wire::WorkerStatusUpdate m;
    m.heartbeat = v.last_heartbeat;
    m.heard_us = heard.count();
    m.confirmed = v.confirmed;
    return m;
}

void PeerMesh::forward(const core::MachineView& v, Micros heard, bool whole) {
    std::string frame;
    if (whole) {
        frame = wire::encode_frame(describe(v, heard));
    } else {
        frame = wire::encode_frame(wire::WorkerKeepAlive{
            v.last_heartbeat.machine, v.last_heartbeat.incarnation, v.last_heartbeat.heartbeat_sequence,
            v.last_heartbeat.fencing_token, v.content_sequence, heard.count()});
    }
    for (auto& [label, link] : links_) push(*link, frame);
}

void PeerMesh::fill(Link& link) const {
    // What is known of images goes along, and the next heartbeat has the whole tables.
    link.missed = false;
    link.answered_until = Micros{0};
    link.released_told = 0;
    for (const auto& [id, view] : node_.cluster_view.machines()) {
        wire::WorkerStatusUpdate m = describe(view, view.heard);
        for (const auto& [image, i] : view.images) m.images.emplace_back(image, i.gb);
        link.out += wire::encode_frame(m);
    }
}

Task<void> PeerMesh::talk(Link& link) {
    while (true) {
        auto task = io::connect(node_.loop, link.peer.address, steady_now() + Micros{2'000'000});
        auto socket = co_await std::move(task);
        if (!socket) {
            co_await node_.loop.sleep(Micros{400'000});
            continue;
        }
        link.out = wire::encode_frame(wire::PeerHandshake{wire::kPeerProtocolVersion, node_.self.label});
        link.connected = true;
        link.confirmed = steady_now();
        fill(link);
        while (true) {
            if (link.out.empty() && link.missed) fill(link);
            if (link.out.empty()) co_await link.filled.wait();
            const std::string batch = std::exchange(link.out, {});
            const Micros deadline = steady_now() + kSilence;
            const bool sent = co_await socket->write(batch, deadline);
            if (!sent || socket->is_stale()) break;
            // After a cut, or behind a peer that was killed in one, writes vanish into a connection that
            // never fails. Only the peer's word that it hears us shows that it does: without tables from
            // every member no lease ever counts as over, and what was lost stays lost.
            if (steady_now() - link.confirmed > kUnconfirmed) {
                spdlog::info("event=peer_unconfirmed peer={}", link.peer.label);
                break;
            }
        }
        link.connected = false;
        link.out.clear();
        co_await node_.loop.sleep(Micros{200'000});
    }
}

Task<void> PeerMesh::serve() {
    while (true) {
        io::Socket socket = co_await listener_.accept();
        if (inbound_open_ >= std::max(kLeastInbound, kInboundPerPeer * links_.size())) continue;  // closes it
        ++inbound_open_;
        inbound_.spawn(listen(std::move(socket)));
    }
}

Task<void> PeerMesh::listen(io::Socket socket) {
    struct Count {
        std::size_t& n;
        ~Count() { --n; }
    } count{inbound_open_};
    wire::FrameReader frames;
    std::string from;
    std::array<char, 16384> buffer;
    while (true) {
        const auto n = co_await socket.read(buffer.data(), buffer.size(), steady_now() + kSilence * 4);
        if (!n || *n == 0) co_return;
        frames.add(std::string_view(buffer.data(), *n));
        while (auto m = frames.next()) {
            if (from.empty()) {
                const auto* hello = std::get_if<wire::PeerHandshake>(&*m);
                if (hello == nullptr || hello->version != wire::kPeerProtocolVersion ||
                    !links_.contains(hello->label)) {
                    spdlog::warn("event=peer_rejected");
                    co_return;
                }
                from = hello->label;
                continue;
            }
            handle(from, *m);
        }
        if (frames.broken()) {
            spdlog::warn("event=malformed_peer_frame from={} count={}", from, ++malformed_);
            co_return;
        }
    }
}

void PeerMesh::handle_peer_heartbeat(const std::string& from, wire::PeerHeartbeat& heartbeat) {
    auto& p = node_.peers[from];
    // A held connection may deliver old tables after newer ones.
    if (heartbeat.wall_us < p.heartbeat.wall_us) return;
    for (const auto& [machine, at] : heartbeat.answered) {
        if (node_.cluster_view.released(machine)) continue;
        auto& any = node_.lease_renewals_known[machine];
        any = std::max(any, Micros{at});
        node_.cluster_view.heard(machine, Micros{at});
    }
    for (const auto& r : heartbeat.released) node_.record_released(r);
    if (from == node_.epoch.leader)
        node_.candidates = {heartbeat.candidates.begin(), heartbeat.candidates.end()};
    for (const auto& h : heartbeat.hears) {
        if (h == node_.self.label) links_.at(from)->confirmed = steady_now();
    }
    // What does not answer somebody else may not answer anyone: this node asks for itself.
    for (const auto& machine : heartbeat.unanswered) {
        if (node_.cluster_view.find(machine) != nullptr) node_.probes.try_emplace(machine);
    }
    node_.apply_cancellations(heartbeat.cancellations);
    p.heartbeat = std::move(heartbeat);
    p.heartbeat.answered.clear();
    p.heartbeat.released.clear();
    p.heartbeat.cancellations.clear();
    p.received = steady_now();
    share_writes();
}

void PeerMesh::handle_lease_extension_request(const std::string& from,
                                              const wire::LeaseExtensionRequest& ask) {
    wire::LeaseExtensionVote answer{ask.number, membership_.may_vote_for_extension(), {}};
    if (answer.given) {
        answer.cancellations = node_.cancellations_after(ask.revision);
        membership_.record_vote_given(from, steady_now() + Micros{static_cast<std::int64_t>(ask.life_us)});
    }
    push(*links_.at(from), answer);
}

void PeerMesh::handle_reservation(const wire::CapacityReservationNotice& hold) {
    if (node_.peer_reservations.size() > std::max<std::size_t>(512, node_.cluster_view.machines().size()))
        return;
    const Micros until =
        steady_now() + std::min(Micros{static_cast<std::int64_t>(hold.for_us)}, Micros{10'000'000});
    node_.peer_reservations[{hold.job, hold.task}] = {
        hold.machine, {hold.cpus, hold.gpus, hold.memory_gb}, until, hold.waiting};
}

void PeerMesh::handle(const std::string& from, wire::PeerMessage& m) {
    if (auto* heartbeat = std::get_if<wire::PeerHeartbeat>(&m)) {
        handle_peer_heartbeat(from, *heartbeat);
    } else if (auto* heartbeat = std::get_if<wire::WorkerStatusUpdate>(&m)) {
        node_.apply_peer_status(std::move(*heartbeat));
    } else if (const auto* alive = std::get_if<wire::WorkerKeepAlive>(&m)) {
        node_.apply_peer_keep_alive(*alive);
    } else if (const auto* ask = std::get_if<wire::LeaseExtensionRequest>(&m)) {
        handle_lease_extension_request(from, *ask);
    } else if (const auto* promise = std::get_if<wire::LeaseExtensionVote>(&m)) {
        membership_.handle_lease_extension_vote(from, *promise);
    } else if (const auto* cancel = std::get_if<wire::CancellationBroadcast>(&m)) {
        node_.apply_cancellations(cancel->cancellations);
    } else if (const auto* hold = std::get_if<wire::CapacityReservationNotice>(&m)) {
        handle_reservation(*hold);
    }
}

wire::PeerHeartbeat PeerMesh::common_heartbeat() {
    wire::PeerHeartbeat b;
    b.label = node_.self.label;
    b.store_lease = node_.self.store_lease;
    b.epoch = node_.epoch.number;
    b.state_ok = node_.state.reachable(steady_now());
    b.healthy = node_.healthy;
    b.holds_leadership = node_.holds_leadership();
    b.revision = node_.revision;
    b.capabilities = core::kCapabilities;
    b.wall_us = io::wall_now().count();
    for (const auto& [label, link] : links_) {
        if (node_.peer_fresh(label, steady_now())) b.hears.push_back(label);
    }
    b.demand = static_cast<std::uint64_t>(node_.state.demand() * kDemandUnitsPerWrite);
    b.workers = node_.assigned_worker_count();
    for (const auto& [machine, suspect] : node_.probes) {
        if (suspect.since.count() != 0 && steady_now() - suspect.since > Micros{3'000'000} && node_.healthy) {
            b.unanswered.push_back(machine);
        }
    }
    if (node_.is_cluster_leader()) b.candidates.assign(node_.candidates.begin(), node_.candidates.end());
    return b;
}

void PeerMesh::tell(Link& link, wire::PeerHeartbeat& b,
                    const std::vector<wire::CancellationNotice>& cancellations) {
    // Repeated until the peer's replica has them: a notice may be lost with its connection.
    b.cancellations.clear();
    const core::Revision peer_revision = node_.peers[link.peer.label].heartbeat.revision;
    std::copy_if(cancellations.begin(), cancellations.end(), std::back_inserter(b.cancellations),
                 [&](const wire::CancellationNotice& notice) { return notice.revision > peer_revision; });
    b.answered.clear();
    for (const auto& [machine, at] : node_.lease_renewals_local) {
        if (at >= link.answered_until) b.answered.emplace_back(machine, at.count());
    }
    auto news = node_.cluster_view.released_machines().since(link.released_told, kReleasedPerHeartbeat);
    b.released = std::move(news.machines);
    // One that the link has no room for is lost, and the next one tells what it would have told: a
    // peer takes a heartbeat's table for all that was answered until then, and counts leases by it.
    if (!push(link, b)) return;
    link.answered_until = Micros{b.wall_us};
    link.released_told = news.position;
}

Task<void> PeerMesh::heartbeat() {
    while (true) {
        co_await node_.loop.sleep(kHeartbeatInterval);
        wire::PeerHeartbeat heartbeat = common_heartbeat();
        share_writes();
        const auto cancellations = node_.cancellations_after(0);
        for (auto& [label, link] : links_) {
            if (link->connected) tell(*link, heartbeat, cancellations);
        }
    }
}

bool PeerMesh::everyone_shares_fairly() const {
    const auto& members = node_.epoch.members;
    return std::all_of(members.begin(), members.end(), [&](const core::Member& member) {
        if (member.label == node_.self.label) return true;
        const auto peer = node_.peers.find(member.label);
        return peer != node_.peers.end() && peer->second.heartbeat.store_lease == member.store_lease &&
               (peer->second.heartbeat.capabilities & core::kSharesWritesFairly) != 0;
    });
}

std::vector<double> PeerMesh::write_demands() const {
    std::vector<double> demands{node_.state.demand()};
    for (const auto& member : node_.epoch.members) {
        if (member.label == node_.self.label || !node_.peer_fresh(member.label, steady_now())) continue;
        const wire::PeerHeartbeat& heartbeat = node_.peers.at(member.label).heartbeat;
        demands.push_back(static_cast<double>(heartbeat.demand) / kDemandUnitsPerWrite);
    }
    return demands;
}

// The store's write limit goes to those that have something to write: with fewer teams than nodes,
// equal parts leave most of it unused. In proportion to what each wants, though, a node whose tasks end by
// the dozen left others so little that each pass of theirs waited two seconds for its writes.
void PeerMesh::share_writes() {
    std::vector<double> demands = write_demands();
    const std::size_t member_records = std::max<std::size_t>(node_.epoch.members.size(), 1);
    if (everyone_shares_fairly()) {
        for (double& demand : demands) demand = demand * kDemandHeadroom + kIdleWrites;
        const double capacity = node_.state.write_capacity();
        node_.state.share(member_records, core::max_min_share(demands, 0, capacity) / capacity);
        return;
    }
    // As the earlier version does, so that the parts of all add up to the limit.
    for (double& demand : demands) demand += kLeastDemand;
    const double sum = std::accumulate(demands.begin(), demands.end(), 0.0);
    const double even = kEvenShare / static_cast<double>(member_records);
    node_.state.share(member_records, even + (1 - kEvenShare) * demands.front() / sum);
}

}  // namespace hatchwind::controller
