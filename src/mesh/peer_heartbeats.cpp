#include "mesh/peer_heartbeats.hpp"

#include <algorithm>
#include <iterator>

namespace hatchwind::controller {

using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr Micros kHeartbeatInterval{500'000};
constexpr Micros kUnansweredFor{3'000'000};
// The first heartbeat of a connection lists all released machines, and kMaxFrameBytes limits a frame.
constexpr std::size_t kReleasedPerHeartbeat = 8192;
}  // namespace

std::vector<std::string> PeerHeartbeats::unanswering_machines() const {
    std::vector<std::string> machines;
    if (!context_.health.is_healthy()) return machines;
    for (const auto& [machine, state] : context_.probes.states()) {
        if (ReachabilityProbes::is_unanswered_for(state, kUnansweredFor, steady_now()))
            machines.push_back(machine);
    }
    return machines;
}

wire::PeerHeartbeat PeerHeartbeats::common_heartbeat() const {
    const ReplicatedState& replicated = context_.replicated;
    const Leadership& leadership = context_.leadership;
    wire::PeerHeartbeat heartbeat;
    heartbeat.label = leadership.label();
    heartbeat.store_lease = leadership.self().store_lease;
    heartbeat.epoch = replicated.epoch().number;
    heartbeat.state_ok = context_.store.reachable(steady_now());
    heartbeat.healthy = context_.health.is_healthy();
    heartbeat.holds_leadership = leadership.holds_leadership();
    heartbeat.revision = replicated.revision();
    heartbeat.capabilities = core::kCapabilities;
    heartbeat.wall_us = io::wall_now().count();
    for (const auto& [label, link] : context_.links.all()) {
        if (context_.peers.is_fresh(label, steady_now())) heartbeat.hears.push_back(label);
    }
    heartbeat.demand = static_cast<std::uint64_t>(context_.store.demand() * kDemandUnitsPerWrite);
    heartbeat.workers = context_.leases.assigned_count();
    heartbeat.unanswered = unanswering_machines();
    if (leadership.is_cluster_leader()) {
        const auto& candidates = context_.workers.drain_candidates();
        heartbeat.candidates.assign(candidates.begin(), candidates.end());
    }
    return heartbeat;
}

void PeerHeartbeats::send(PeerLink& link, wire::PeerHeartbeat& heartbeat,
                          const std::vector<wire::CancellationNotice>& cancellations) {
    // Repeated until the peer's replica includes them, because a notice may be lost with its connection.
    heartbeat.cancellations.clear();
    const core::Revision peer_revision = context_.peers.find(link.peer.label)->heartbeat.revision;
    std::copy_if(cancellations.begin(), cancellations.end(), std::back_inserter(heartbeat.cancellations),
                 [&](const wire::CancellationNotice& notice) { return notice.revision > peer_revision; });
    heartbeat.answered.clear();
    for (const auto& [machine, renewed_at] : context_.leases.own_renewals()) {
        if (renewed_at >= link.renewals_reported_until)
            heartbeat.answered.emplace_back(machine, renewed_at.count());
    }
    const auto& released = context_.workers.cluster_view().released_machines();
    auto news = released.since(link.reported_releases_position, kReleasedPerHeartbeat);
    heartbeat.released = std::move(news.machines);
    // A heartbeat that the link has no room for is dropped, and the next one includes its content: the peer
    // relies on the table being complete up to its time when it judges the expiry of leases.
    if (!context_.links.push(link, heartbeat)) return;
    link.renewals_reported_until = Micros{heartbeat.wall_us};
    link.reported_releases_position = news.position;
}

Task<void> PeerHeartbeats::run() {
    while (true) {
        co_await context_.loop.sleep(kHeartbeatInterval);
        wire::PeerHeartbeat heartbeat = common_heartbeat();
        context_.write_share.update();
        const auto cancellations = context_.replicated.cancellations_after(0);
        for (auto& [label, link] : context_.links.all()) {
            if (link->connected) send(*link, heartbeat, cancellations);
        }
    }
}

}  // namespace hatchwind::controller
