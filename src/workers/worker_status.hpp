/// The status of the workers: merges heartbeats that this controller received with those that peers forward
/// into the cluster view.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "cluster/peer_links.hpp"
#include "config/settings.hpp"
#include "core/cluster_view.hpp"
#include "core/free_capacity.hpp"
#include "io/http_client.hpp"
#include "store/change_signals.hpp"
#include "store/replicated_state.hpp"
#include "workers/reachability_probes.hpp"
#include "workers/worker_leases.hpp"

namespace hatchwind::controller {

/// The modules that WorkerStatus reads and changes.
struct WorkerStatusContext {
    const Settings& settings;
    const ReplicatedState& replicated;
    const std::optional<core::Catalog>& catalog;
    WorkerLeases& leases;
    ReachabilityProbes& probes;
    PeerLinks& links;
    ChangeSignals& signals;
    io::HttpClient& worker_http;
};

/// The only writer of the cluster view. Of two statuses of a machine the later one counts, by incarnation and
/// heartbeat sequence, regardless of whether it came from the worker or a peer.
class WorkerStatus {
  public:
    explicit WorkerStatus(const WorkerStatusContext& context) : context_(context) {}

    /// The fleet as this controller sees it.
    const core::ClusterView& cluster_view() const { return cluster_view_; }
    /// Monotonic time at which a worker last sent a heartbeat to this controller or answered it; 0: never.
    core::Micros last_contact_at() const { return last_contact_at_; }
    /// The drain candidates last reported by the cluster leader. Placement uses them only as a last resort.
    const std::set<std::string>& drain_candidates() const { return drain_candidates_; }
    /// Replaces the drain candidates.
    void set_drain_candidates(std::set<std::string> machines) { drain_candidates_ = std::move(machines); }
    /// Returns the conditions under which machines may take new tasks now.
    core::Availability availability() const;
    /// Returns the time without heartbeats of a machine after which the next one may be a late duplicate.
    core::Micros stale_heartbeat_threshold() const;

    /// Handles a heartbeat that was sent to this controller, which answers it with status 200 and so renews
    /// the worker's lease.
    void handle_heartbeat(core::WorkerHeartbeat heartbeat);
    /// Handles the worker's status from the response to a request of this controller, which is therefore no
    /// late duplicate.
    void handle_response(core::WorkerHeartbeat status);
    /// Decodes the body of a response and handles the status in it. Logs and ignores a body that can't be
    /// decoded.
    void handle_response_body(const std::string& body);
    /// Applies a worker status that a peer forwards.
    void apply_peer_status(wire::WorkerStatusUpdate update);
    /// Applies the short form of a heartbeat without changes that a peer received.
    void apply_peer_keep_alive(const wire::WorkerKeepAlive& keep_alive);
    /// Records that a peer renewed the machine's lease at `renewed_at` (wall clock).
    void apply_peer_renewal(const std::string& machine, core::Micros renewed_at);
    /// Removes a machine after the cloud has confirmed its release.
    void record_released(const std::string& machine);

  private:
    /// The parts of a machine's status whose changes are sent to peers in full.
    struct StatusVersion {
        bool known = false;  ///< the cluster view has the machine
        std::uint64_t incarnation = 0;
        std::uint64_t content_sequence = 0;
        std::uint64_t fencing_token = 0;
        bool confirmed = false;
    };
    using CachedImages = decltype(wire::WorkerStatusUpdate::images);
    enum class HeartbeatSource : std::uint8_t { request, response, peer, confirmed_by_peer };

    StatusVersion status_version(const std::string& machine) const;
    /// Merges a heartbeat into the cluster view. Returns true if the machine's StatusVersion has changed.
    /// `answered_at`: time (wall clock) at which a controller answered the heartbeat; 0: none did.
    bool merge_heartbeat(core::WorkerHeartbeat heartbeat, core::Micros answered_at, HeartbeatSource source);
    /// Returns true if the heartbeat has the fencing token of the current epoch and this controller learned
    /// of that epoch recently. Such a heartbeat is no late duplicate.
    bool is_of_recent_epoch(const core::WorkerHeartbeat& heartbeat, core::Micros monotonic_now) const;
    /// Records that a peer answered a heartbeat of the worker at `answered_at` (wall clock; 0: none did). The
    /// answer renewed the lease, and the worker is no longer assigned to this controller.
    void record_answer_by_peer(const std::string& machine, core::Micros answered_at);
    /// Returns the size of the machine's image cache in gigabytes, or nothing while its type is not known.
    std::optional<double> image_cache_gb(const core::MachineView& machine) const;
    /// Records that the machine has the images of its own tasks.
    void record_images_of_tasks(const core::MachineView& machine);
    /// Records that the machine has the images that a peer reports.
    void record_images_from_peer(const std::string& machine, const CachedImages& images);
    /// Forwards a status that this controller received from the worker to the peers: in full if `changed`,
    /// otherwise as a keep-alive.
    void share_with_peers(const std::string& machine, std::uint64_t heartbeat_sequence,
                          core::Micros answered_at, bool changed);

    const WorkerStatusContext context_;
    core::ClusterView cluster_view_;
    core::Micros last_contact_at_{0};  // monotonic
    std::set<std::string> drain_candidates_;
    std::uint64_t malformed_responses_ = 0;
};

/// Returns the machine's status as it is sent to peers. `answered_at`: time (wall clock) at which a
/// controller answered its latest heartbeat; 0: none did.
wire::WorkerStatusUpdate status_update(const core::MachineView& machine, core::Micros answered_at);

}  // namespace hatchwind::controller
