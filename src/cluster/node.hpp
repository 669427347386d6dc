// What the duties of one controller share.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "config/settings.hpp"
#include "core/cluster_view.hpp"
#include "core/epoch.hpp"
#include "core/job_table.hpp"
#include "core/placement.hpp"
#include "io/http.hpp"
#include "io/loop.hpp"
#include "store/store_client.hpp"
#include "wire/peer_protocol.hpp"

namespace hatchwind::controller {

// What a peer last said of itself.
struct PeerView {
    wire::PeerHeartbeat heartbeat;
    io::Micros received{0};  // steady; 0: never
};

struct Node {
    Node(io::Loop& l, Settings s, Tunables t);

    io::Loop& loop;
    const Settings settings;
    const Tunables tunables;
    StoreClient state;
    io::HttpClient workers_http;
    io::HttpClient cloud_http;

    // The replica of the store; see replica.cpp.
    core::JobTable job_table;
    core::Epoch epoch;
    std::map<std::string, core::MemberRecord> member_records;
    std::set<std::string> draining;            // machines marked in the store, all in one record
    core::Revision draining_mod_revision = 0;  // of that record
    core::Revision revision = 0;
    bool replica_loaded = false;
    io::Signal replica_advanced;        // the replica has moved
    io::Signal replica_read_requested;  // somebody waits for the replica

    core::ClusterView cluster_view;
    core::FreeCapacityCache free_capacity_cache;
    std::optional<core::Catalog> catalog;
    core::Member self;
    core::LeadershipLease leadership_lease;
    std::map<std::string, PeerView> peers;
    // Time of day at which each worker was last answered by this life, and by any node that told us.
    std::map<std::string, io::Micros> lease_renewals_local;
    std::map<std::string, io::Micros> lease_renewals_known;
    std::set<std::string> candidates;  // the leader's drain candidates, as last heard
    // FreeCapacity that other owners are clearing for their tasks.
    std::map<core::TaskRef, core::Reservation> peer_reservations;
    // Machines that did not answer our last request, though somebody hears them; see
    // Workers::probe_unconfirmed_workers().
    struct ProbeState {
        io::Micros since{0};  // steady; 0: nothing is known against it, it was only never asked
        io::Micros next{0};   // steady: when to ask again
        io::Micros pause{500'000};
        io::Micros asked{0};  // steady: when it was last asked
    };
    std::map<std::string, ProbeState> probes;
    io::Micros epoch_seen{0};  // steady: when the present epoch came to this node
    io::Micros replica_loaded_at{0};
    io::Micros last_worker_contact{0};  // steady; a report or an answered order
    bool healthy = true;

    io::Signal scheduling_needed;  // something changed that placing may care about
    io::Signal scaling_needed;     // likewise for the leader's renting
    std::function<void(const core::MachineView&, io::Micros heard, bool whole)>
        forward;                                                                       // to the other nodes
    std::function<void(const wire::CapacityReservationNotice&)> announce_reservation;  // likewise
    std::function<void(const wire::CancellationBroadcast&)> announce_cancellation;     // likewise

    // May this life answer workers, send commands and place?
    bool holds_leadership() const;
    bool is_cluster_leader() const { return holds_leadership() && epoch.leader == self.label; }
    bool owns_shard(const std::string& team) const;
    bool peer_fresh(const std::string& label, io::Micros now) const;

    // Takes a report that reached this node itself. `answered`: it was sent to us and gets a 200; otherwise
    // it is the answer to a request of ours, and so no late copy.
    void handle_heartbeat(core::WorkerHeartbeat r, bool answered);
    void apply_peer_status(wire::WorkerStatusUpdate m);
    void apply_peer_keep_alive(const wire::WorkerKeepAlive& m);
    // Cancellations that were committed after `after`, of jobs whose tasks are not known to be gone.
    std::vector<wire::CancellationNotice> cancellations_after(core::Revision after) const;
    // Takes in what another node knows to be committed; what this node's replica has already changes nothing.
    void apply_cancellations(const std::vector<wire::CancellationNotice>& cancellations);
    // A request to the machine stayed without an answer.
    void record_unanswered(const std::string& machine);
    // After so much silence a report may be a late copy of one sent before it.
    io::Micros stale_heartbeat_threshold() const;
    std::size_t assigned_worker_count();  // that report to this node
    void worker_redirected(const std::string& machine) { workers_assigned_.erase(machine); }
    // Members that can do a node's part for workers, this one apart.
    std::vector<std::string> redirect_candidates() const;
    void record_released(const std::string& machine);
    // Notes that a worker incarnation exists. It began before this moment, and with a lease that nobody
    // granted.
    void record_incarnation(const std::string& machine, std::uint64_t incarnation);
    // Certain that the lease of that incarnation has ended, wherever the machine reported. `wall`: time of
    // day.
    bool lease_expired(const std::string& machine, std::uint64_t incarnation, io::Micros wall_clock_now);
    core::Availability availability() const;

  private:
    // `heard`: time of day at which another node answered it; 0: none did.
    void renewed_by_peer(const std::string& machine, io::Micros heard);
    // Workers that this node was the last to answer: steady, when. A count of those answered of late would
    // hold the ones that have just been sent elsewhere, and send on as many again.
    std::unordered_map<std::string, io::Micros> workers_assigned_;
    struct IncarnationSighting {
        std::uint64_t incarnation = 0;
        io::Micros first_known{0};  // time of day
    };
    // The newest incarnation of each machine that a report or a record has named.
    std::unordered_map<std::string, IncarnationSighting> incarnations_;
    bool merge_heartbeat(core::WorkerHeartbeat r, io::Micros heard, bool answer, bool confirmed);
};

}  // namespace hatchwind::controller
