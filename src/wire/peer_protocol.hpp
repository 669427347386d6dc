// What controllers tell each other: frames of varints. A frame is its length, its kind, its fields.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/model.hpp"

namespace hatchwind::wire {

constexpr std::uint64_t kPeerProtocolVersion = 3;
constexpr std::size_t kMaxFrameBytes = 1U << 20U;

// A cancellation that the store has committed, as one controller tells it to another. It lets an
// owner that cannot reach the store stop the job's tasks in time.
struct CancellationNotice {
    std::string job;
    core::Revision revision = 0;    // of the commit
    std::int64_t cancelled_us = 0;  // time of day
    friend bool operator==(const CancellationNotice&, const CancellationNotice&) = default;
};

// First on every connection.
struct PeerHandshake {
    std::uint64_t version = kPeerProtocolVersion;
    std::string label;
    friend bool operator==(const PeerHandshake&, const PeerHandshake&) = default;
};

// Sent about twice a second. `answered` tells when this node last answered each worker: others may count a
// worker's lease as ended only by such tables from every member. The first heartbeat of a connection has the
// whole table, later ones what has changed since: frames of one connection arrive all and in order.
struct PeerHeartbeat {
    std::string label;
    std::uint64_t store_lease = 0;
    std::int64_t wall_us = 0;  // when the table was made
    std::uint64_t epoch = 0;
    bool state_ok = false;
    bool healthy = true;
    bool holds_leadership =
        false;  // its leadership lease is alive and it is a member of the epoch that it knows
    std::vector<std::pair<std::string, std::int64_t>> answered;  // machine -> time of day
    std::vector<std::string> released;                           // machines that the cloud confirmed as gone
    std::vector<std::string> candidates;                         // leader only: the drain planner's set
    std::vector<std::string> hears;                              // nodes whose heartbeats reach this one
    std::uint64_t demand = 0;                                    // store writes wanted a second, in tenths
    std::uint64_t workers = 0;                                   // workers that report to this node
    std::vector<std::string> unanswered;            // machines that report but do not answer this node
    core::Revision revision = 0;                    // of the sender's replica
    std::vector<CancellationNotice> cancellations;  // those that the receiver's replica may lack
    std::uint64_t capabilities = 0;  // of the sender's version, see core/epoch.hpp; earlier ones tell none
    friend bool operator==(const PeerHeartbeat&, const PeerHeartbeat&) = default;
};

struct WorkerStatusUpdate {
    core::WorkerHeartbeat heartbeat;
    std::int64_t heard_us = 0;  // time of day
    std::vector<std::pair<std::string, double>> images;
    bool confirmed = false;  // the machine has answered a request
};

// A report that says nothing new. It counts only for whoever has the tasks of `content_sequence` or later.
struct WorkerKeepAlive {
    std::string machine;
    std::uint64_t incarnation = 0;
    std::uint64_t heartbeat_sequence = 0;
    std::uint64_t fencing_token = 0;
    std::uint64_t content_sequence = 0;
    std::int64_t heard_us = 0;
    friend bool operator==(const WorkerKeepAlive&, const WorkerKeepAlive&) = default;
};

// Asks for a extension vote not to remove the sender from the members for a while.
struct LeaseExtensionRequest {
    std::uint64_t number = 0;
    std::uint64_t life_us = 0;
    core::Revision revision = 0;  // of the sender's replica
    friend bool operator==(const LeaseExtensionRequest&, const LeaseExtensionRequest&) = default;
};

// The answer to LeaseExtensionRequest. The asker takes in the cancellations before it counts the extension
// vote.
struct LeaseExtensionVote {
    std::uint64_t number = 0;
    bool given = false;
    std::vector<CancellationNotice> cancellations;  // committed after the asker's revision
    friend bool operator==(const LeaseExtensionVote&, const LeaseExtensionVote&) = default;
};

// FreeCapacity that an owner is clearing for one of its tasks: the others leave it alone for so long.
struct CapacityReservationNotice {
    std::string machine;
    std::string job;
    std::uint32_t task = 0;
    double cpus = 0, gpus = 0, memory_gb = 0;
    std::uint64_t for_us = 0;
    bool waiting = false;  // for an overdue job, without anything being stopped
    friend bool operator==(const CapacityReservationNotice&, const CapacityReservationNotice&) = default;
};

// Cancellations told as soon as they are confirmed to a user; heartbeats repeat them.
struct CancellationBroadcast {
    std::vector<CancellationNotice> cancellations;
    friend bool operator==(const CancellationBroadcast&, const CancellationBroadcast&) = default;
};

using PeerMessage =
    std::variant<PeerHandshake, PeerHeartbeat, WorkerStatusUpdate, LeaseExtensionRequest, LeaseExtensionVote,
                 CapacityReservationNotice, WorkerKeepAlive, CancellationBroadcast>;

std::string encode_frame(const PeerMessage& m);

// Takes whole frames off the front of a buffer.
class FrameReader {
  public:
    void add(std::string_view bytes) {
        buffer_.erase(0, at_);
        at_ = 0;
        buffer_.append(bytes);
    }
    // The next message; nothing when more bytes are needed. broken() after input that is no frame.
    std::optional<PeerMessage> next();
    bool broken() const { return broken_; }

  private:
    std::string buffer_;
    std::size_t at_ = 0;  // everything before it was taken
    bool broken_ = false;
};

}  // namespace hatchwind::wire
