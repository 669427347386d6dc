// The controllers' own network: one outgoing connection to each peer, frames of the mesh codec.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cluster/membership.hpp"
#include "cluster/node.hpp"

namespace hatchwind::controller {

class PeerMesh {
  public:
    PeerMesh(Node& n, Membership& m);
    io::Task<void> serve();
    io::Task<void> heartbeat();
    void start(io::Scope& scope);
    void forward(const core::MachineView& v, io::Micros heard, bool whole);

  private:
    struct Link {
        explicit Link(io::Loop& loop, Peer p) : peer(std::move(p)), filled(loop) {}
        Peer peer;
        std::string out;  // frames that wait; bounded
        io::Signal filled;
        bool connected = false;
        bool missed = false;              // the queue was full for something
        io::Micros answered_until{0};     // the table told on this connection goes so far
        std::uint64_t released_told = 0;  // likewise the released machines
        io::Micros confirmed{0};  // steady: when the peer last said that it hears us, or the link was made
    };
    io::Task<void> talk(Link& link);
    io::Task<void> listen(io::Socket socket);
    void handle(const std::string& from, wire::PeerMessage& m);
    void handle_peer_heartbeat(const std::string& from, wire::PeerHeartbeat& heartbeat);
    void handle_lease_extension_request(const std::string& from, const wire::LeaseExtensionRequest& ask);
    void handle_reservation(const wire::CapacityReservationNotice& hold);
    // What a heartbeat says to all peers alike.
    wire::PeerHeartbeat common_heartbeat();
    // Adds what this peer has not been told yet, and sends it.
    void tell(Link& link, wire::PeerHeartbeat& b, const std::vector<wire::CancellationNotice>& cancellations);
    // False when the queue of the link is full, or no connection.
    bool push(Link& link, const wire::PeerMessage& m) const;
    bool push(Link& link, const std::string& frame) const;
    void fill(Link& link) const;
    // Sets this node's part of the store's writes.
    void share_writes();
    bool everyone_shares_fairly() const;
    // Writes a second that the members want, this node's first.
    std::vector<double> write_demands() const;
    static wire::WorkerStatusUpdate describe(const core::MachineView& v, io::Micros heard);

    Node& node_;
    Membership& membership_;
    io::Listener listener_;
    std::map<std::string, std::unique_ptr<Link>> links_;
    io::Scope inbound_;
    std::size_t inbound_open_ = 0;
    std::uint64_t malformed_ = 0;
};

}  // namespace hatchwind::controller
