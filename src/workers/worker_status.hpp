/// What this controller knows of the workers: heartbeats that it received itself and those that peers pass
/// on, merged into the cluster view.
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

/// What the worker status reads, and what it changes.
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
/// heartbeat sequence, whichever way it came.
class WorkerStatus {
  public:
    explicit WorkerStatus(const WorkerStatusContext& context) : context_(context) {}

    /// The fleet as this controller sees it.
    const core::ClusterView& cluster_view() const { return cluster_view_; }
    /// Monotonic time at which a worker last sent a heartbeat to this controller or answered it; 0: never.
    core::Micros last_contact_at() const { return last_contact_at_; }
    /// The cluster leader's drain candidates, as last reported: destinations of last resort.
    const std::set<std::string>& drain_candidates() const { return drain_candidates_; }
    /// Replaces the drain candidates by those that the cluster leader has reported.
    void set_drain_candidates(std::set<std::string> machines) { drain_candidates_ = std::move(machines); }
    /// Which machines may take new tasks now.
    core::Availability availability() const;
    /// After so long without a heartbeat, the next one may be a late duplicate of one sent before that time.
    core::Micros stale_heartbeat_threshold() const;

    /// A heartbeat that was sent to this controller, which answers it with 200 and so renews the worker's
    /// lease.
    void handle_heartbeat(core::WorkerHeartbeat heartbeat);
    /// The worker's status as the answer to a request of this controller, and so no late duplicate.
    void handle_response(core::WorkerHeartbeat status);
    /// The same from the body of the answer; one that can't be decoded is logged and ignored.
    void handle_response_body(const std::string& body);
    /// A heartbeat that a peer passes on.
    void apply_peer_status(wire::WorkerStatusUpdate update);
    /// A peer received a heartbeat that says nothing new.
    void apply_peer_keep_alive(const wire::WorkerKeepAlive& keep_alive);
    /// A peer renewed the machine's lease at that time of day.
    void apply_peer_renewal(const std::string& machine, core::Micros renewed_at);
    /// The cloud has confirmed that the machine is gone.
    void record_released(const std::string& machine);

  private:
    /// The parts of a machine's status whose change is news to others.
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
    /// True when it says something that placement may care about. `answered_at`: time of day at which some
    /// controller answered the heartbeat; 0: none did.
    bool merge_heartbeat(core::WorkerHeartbeat heartbeat, core::Micros answered_at, HeartbeatSource source);
    /// The heartbeat can't be older than the present epoch, which began a short time ago.
    bool is_of_recent_epoch(const core::WorkerHeartbeat& heartbeat, core::Micros monotonic_now) const;
    /// A peer answered a heartbeat of the worker at that time of day (0: none did), so it renewed the lease,
    /// and the worker is no longer one of this controller's.
    void record_answer_by_peer(const std::string& machine, core::Micros answered_at);
    /// Gigabytes of images that a machine of this type keeps; nothing while the type is not known.
    std::optional<double> image_cache_gb(const core::MachineView& machine) const;
    /// The machine has the images of its own tasks.
    void record_images_of_tasks(const core::MachineView& machine);
    /// The machine has the images that a peer names.
    void record_images_from_peer(const std::string& machine, const CachedImages& images);
    /// Passes on to the peers what the worker said to this controller.
    void share(const std::string& machine, std::uint64_t heartbeat_sequence, core::Micros answered_at,
               bool news);

    const WorkerStatusContext context_;
    core::ClusterView cluster_view_;
    core::Micros last_contact_at_{0};  // monotonic
    std::set<std::string> drain_candidates_;
    std::uint64_t malformed_responses_ = 0;
};

/// The machine's status as peers get it. `answered_at`: time of day at which a controller answered its latest
/// heartbeat; 0: none did.
wire::WorkerStatusUpdate status_update(const core::MachineView& machine, core::Micros answered_at);

}  // namespace hatchwind::controller
