/// Fixture with the state objects for worker leases and heartbeats of one controller without peers.
#pragma once

#include <optional>
#include <utility>

#include "cluster/leadership.hpp"
#include "cluster/local_health.hpp"
#include "cluster/peer_directory.hpp"
#include "cluster/peer_links.hpp"
#include "io/http_client.hpp"
#include "io/loop.hpp"
#include "store/change_signals.hpp"
#include "store/replicated_state.hpp"
#include "workers/reachability_probes.hpp"
#include "workers/worker_leases.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::test {

struct WorkerState {
    explicit WorkerState(controller::Settings configured) : settings(std::move(configured)) {}

    /// Applies a peer's report that it answered the heartbeat at the wall-clock time `answered_at`.
    void heartbeat_answered_by_peer(core::WorkerHeartbeat heartbeat, core::Micros answered_at) {
        workers.apply_peer_status({std::move(heartbeat), answered_at.count(), {}, false});
    }

    io::Loop loop;
    const controller::Settings settings;
    controller::ChangeSignals signals{loop};
    controller::ReplicatedState replicated;
    controller::Leadership leadership{settings, replicated};
    controller::PeerDirectory peers{settings};
    controller::PeerLinks links{loop, settings};
    controller::LocalHealth health;
    std::optional<core::Catalog> catalog;
    io::HttpClient worker_http{loop};
    controller::WorkerLeases leases{settings, replicated, peers, leadership};
    controller::ReachabilityProbes probes;
    controller::WorkerStatus workers{
        {settings, replicated, catalog, leases, probes, links, signals, worker_http}};
};

}  // namespace hatchwind::test
