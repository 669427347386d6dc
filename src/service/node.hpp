// What the duties of one controller share.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/epoch.hpp"
#include "core/ledger.hpp"
#include "core/picture.hpp"
#include "core/placement.hpp"
#include "io/http.hpp"
#include "io/loop.hpp"
#include "service/settings.hpp"
#include "service/state_client.hpp"
#include "wire/mesh_codec.hpp"

namespace hatchwind::service {

// What a peer last said of itself.
struct PeerView {
    wire::MeshBeat beat;
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
    std::map<std::string, core::Stamp> draining;  // machine -> stamp of its mark
    core::Stamp revision = 0;
    bool synced = false;
    io::Signal advanced;  // the copy has moved
    io::Signal hurry;     // somebody waits for the copy

    core::Picture picture;
    std::optional<core::Catalog> catalog;
    core::Member self;
    core::Mandate mandate;
    std::map<std::string, PeerView> peers;
    // Time of day at which each worker was last answered by this life, and by any node that told us.
    std::map<std::string, io::Micros> answered_here;
    std::map<std::string, io::Micros> answered_any;
    std::set<std::string> candidates;       // the leader's drain candidates, as last heard
    // Room that other owners are clearing for their tasks.
    std::map<core::TaskRef, core::Reservation> foreign_holds;
    std::deque<std::string> released_log;   // newest last, bounded
    io::Micros synced_wall{0};
    io::Micros last_worker_contact{0};  // steady; a report or an answered order
    bool fit = true;

    io::Signal work;        // something changed that placing may care about
    io::Signal fleet_work;  // likewise for the leader's renting
    std::function<void(const core::WorkerReport&, io::Micros heard)> forward;  // to the other nodes
    std::function<void(const wire::MeshHold&)> announce_hold;                  // likewise

    // May this life answer workers, send orders and place?
    bool acting() const;
    bool leads() const { return acting() && epoch.leader == self.label; }
    bool owns(const std::string& team) const;
    bool peer_fresh(const std::string& label, io::Micros now) const;

    // Takes a report that reached this node itself.
    void take_report(const core::WorkerReport& r, bool answered);
    void take_forward(const wire::MeshReport& m);
    void note_released(const std::string& machine);
    // Certain that the machine's lease has ended, wherever it reported.
    bool lease_over(const std::string& machine, io::Micros wall) const;
    core::Availability availability() const;

  private:
    bool absorb(const core::WorkerReport& r, io::Micros heard);
};

}  // namespace hatchwind::service
