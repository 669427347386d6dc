// What the duties of one controller share.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "core/cluster_view.hpp"
#include "core/epoch.hpp"
#include "core/ledger.hpp"
#include "core/placement.hpp"
#include "io/http.hpp"
#include "io/loop.hpp"
#include "service/settings.hpp"
#include "service/state_client.hpp"
#include "wire/mesh_codec.hpp"

namespace hatchwind::service {

// What a peer last said of itself.
struct PeerView {
    wire::MeshHeartbeat heartbeat;
    io::Micros received{0};  // steady; 0: never
};

struct Node {
    Node(io::Loop& l, Settings s, Tunables t);

    io::Loop& loop;
    const Settings settings;
    const Tunables tunables;
    StateClient state;
    io::HttpClient workers_http;
    io::HttpClient cloud_http;

    // The copy of the store; see replica.cpp.
    core::Ledger ledger;
    core::Epoch epoch;
    std::map<std::string, core::NodeRecord> nodes;
    std::set<std::string> draining;  // machines marked in the store, all in one record
    core::Stamp draining_stamp = 0;  // of that record
    core::Stamp revision = 0;
    bool synced = false;
    io::Signal advanced;  // the copy has moved
    io::Signal hurry;     // somebody waits for the copy

    core::ClusterView cluster_view;
    core::FreeCapacityCache free_capacity_cache;
    std::optional<core::Catalog> catalog;
    core::Member self;
    core::NodeLease node_lease;
    std::map<std::string, PeerView> peers;
    // Time of day at which each worker was last answered by this life, and by any node that told us.
    std::map<std::string, io::Micros> answered_here;
    std::map<std::string, io::Micros> answered_any;
    std::set<std::string> candidates;  // the leader's drain candidates, as last heard
    // FreeCapacity that other owners are clearing for their tasks.
    std::map<core::TaskRef, core::Reservation> foreign_holds;
    // Machines that did not answer our last request, though somebody hears them; see Workers::keep_reach().
    struct Suspect {
        io::Micros since{0};  // steady; 0: nothing is known against it, it was only never asked
        io::Micros next{0};   // steady: when to ask again
        io::Micros pause{500'000};
        io::Micros asked{0};  // steady: when it was last asked
    };
    std::map<std::string, Suspect> suspects;
    io::Micros epoch_seen{0};  // steady: when the present epoch came to this node
    io::Micros synced_wall{0};
    io::Micros last_worker_contact{0};  // steady; a report or an answered order
    bool fit = true;

    io::Signal work;        // something changed that placing may care about
    io::Signal fleet_work;  // likewise for the leader's renting
    std::function<void(const core::MachineView&, io::Micros heard, bool whole)>
        forward;                                                   // to the other nodes
    std::function<void(const wire::MeshHold&)> announce_hold;      // likewise
    std::function<void(const wire::MeshCancel&)> announce_cancel;  // likewise

    // May this life answer workers, send orders and place?
    bool acting() const;
    bool leads() const { return acting() && epoch.leader == self.label; }
    bool owns(const std::string& team) const;
    bool peer_fresh(const std::string& label, io::Micros now) const;

    // Takes a report that reached this node itself. `answered`: it was sent to us and gets a 200; otherwise
    // it is the answer to a request of ours, and so no late copy.
    void take_report(core::WorkerReport r, bool answered);
    void take_forward(wire::MeshReport m);
    void take_alive(const wire::MeshAlive& m);
    // Cancellations that were committed after `after`, of jobs whose tasks are not known to be gone.
    std::vector<wire::CancelNotice> cancels_after(core::Stamp after) const;
    // Takes in what another node knows to be committed; what this node's replica has already changes nothing.
    void take_cancels(const std::vector<wire::CancelNotice>& cancels);
    // A request to the machine stayed without an answer.
    void note_unanswered(const std::string& machine);
    // After so much silence a report may be a late copy of one sent before it.
    io::Micros doubt_after() const;
    std::size_t workers_here();  // that report to this node
    void moved_away(const std::string& machine) { homed_.erase(machine); }
    // Members that can do a node's part for workers, this one apart.
    std::vector<std::string> other_homes() const;
    void note_released(const std::string& machine);
    // Notes that a worker session exists. It began before this moment, and with a lease that nobody granted.
    void note_session(const std::string& machine, std::uint64_t session);
    // Certain that the lease of that session has ended, wherever the machine reported. `wall`: time of day.
    bool lease_over(const std::string& machine, std::uint64_t session, io::Micros wall);
    core::Availability availability() const;

  private:
    // `heard`: time of day at which another node answered it; 0: none did.
    void answered_elsewhere(const std::string& machine, io::Micros heard);
    // Workers that this node was the last to answer: steady, when. A count of those answered of late would
    // hold the ones that have just been sent elsewhere, and send on as many again.
    std::unordered_map<std::string, io::Micros> homed_;
    struct SessionNews {
        std::uint64_t session = 0;
        io::Micros first_known{0};  // time of day
    };
    // The newest session of each machine that a report or a record has named.
    std::unordered_map<std::string, SessionNews> sessions_;
    bool absorb(core::WorkerReport r, io::Micros heard, bool answer, bool confirmed);
};

}  // namespace hatchwind::service
