/// The protocol between controllers: frames of varints on one connection for each direction. A frame is its
/// length, its kind and its fields in a fixed order. Versions run side by side: fields are only added, at the
/// end of a kind, and a reader ignores what follows the fields that it knows.
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

/// Controllers that announce another version are rejected.
constexpr std::uint64_t kPeerProtocolVersion = 3;
/// A frame that claims more bytes than this breaks the connection.
constexpr std::size_t kMaxFrameBytes = 1U << 20U;

/// A cancellation that the store has committed, as one controller tells it to another. It lets a shard owner
/// that cannot reach the store stop the job's tasks in time.
struct CancellationNotice {
    std::string job;
    core::Revision revision = 0;    ///< of the commit
    std::int64_t cancelled_us = 0;  ///< time of day
    friend bool operator==(const CancellationNotice&, const CancellationNotice&) = default;
};

/// First on every connection.
struct PeerHandshake {
    std::uint64_t version = kPeerProtocolVersion;
    std::string label;
    friend bool operator==(const PeerHandshake&, const PeerHandshake&) = default;
};

/// Sent about twice a second. `answered` tells when the sender last answered each worker: others may count a
/// worker's lease as expired only by such tables from every member. The first heartbeat of a connection has
/// the whole table, later ones what has changed since: frames of one connection arrive all and in order.
struct PeerHeartbeat {
    std::string label;
    std::uint64_t store_lease = 0;  ///< of this life of the sender
    std::int64_t wall_us = 0;       ///< time of day at which the heartbeat was made
    std::uint64_t epoch = 0;        ///< the latest that the sender knows
    bool state_ok = false;          ///< the sender reaches the store
    bool healthy = true;
    /// The sender's leadership lease is alive and it is a member of the epoch that it knows.
    bool holds_leadership = false;
    std::vector<std::pair<std::string, std::int64_t>> answered;  ///< machine -> time of day, microseconds
    std::vector<std::string> released;    ///< machines that the cloud confirmed as gone
    std::vector<std::string> candidates;  ///< leader only: machines that the drain planner chose
    std::vector<std::string> hears;       ///< controllers whose heartbeats reach the sender
    std::uint64_t demand = 0;             ///< store writes wanted a second, in tenths
    std::uint64_t workers = 0;            ///< workers that send their heartbeats to the sender
    std::vector<std::string> unanswered;  ///< machines that send heartbeats but do not answer the sender
    core::Revision revision = 0;          ///< of the sender's replica
    std::vector<CancellationNotice> cancellations;  ///< those that the receiver's replica may lack
    std::uint64_t capabilities = 0;                 ///< see core/epoch.hpp; 0 from earlier versions
    friend bool operator==(const PeerHeartbeat&, const PeerHeartbeat&) = default;
};

/// A worker's heartbeat, passed on by the controller that received it.
struct WorkerStatusUpdate {
    core::WorkerHeartbeat heartbeat;
    std::int64_t heard_us = 0;                           ///< time of day at which it arrived
    std::vector<std::pair<std::string, double>> images;  ///< cached images of the machine, with their GB
    bool confirmed = false;                              ///< the machine has answered a request
};

/// A worker's heartbeat that says nothing new. It counts only for whoever has the tasks of `content_sequence`
/// or later.
struct WorkerKeepAlive {
    std::string machine;
    std::uint64_t incarnation = 0;
    std::uint64_t heartbeat_sequence = 0;
    std::uint64_t fencing_token = 0;
    std::uint64_t content_sequence = 0;
    std::int64_t heard_us = 0;  ///< time of day
    friend bool operator==(const WorkerKeepAlive&, const WorkerKeepAlive&) = default;
};

/// Asks for a vote not to remove the sender from the members for a while.
struct LeaseExtensionRequest {
    std::uint64_t number = 0;     ///< returned with the vote
    std::uint64_t life_us = 0;    ///< how long the vote binds, microseconds from its arrival
    core::Revision revision = 0;  ///< of the sender's replica
    friend bool operator==(const LeaseExtensionRequest&, const LeaseExtensionRequest&) = default;
};

/// The answer to LeaseExtensionRequest. The asker applies the cancellations before it counts the vote.
struct LeaseExtensionVote {
    std::uint64_t number = 0;                       ///< of the request
    bool given = false;                             ///< false: refused
    std::vector<CancellationNotice> cancellations;  ///< committed after the asker's revision
    friend bool operator==(const LeaseExtensionVote&, const LeaseExtensionVote&) = default;
};

/// Capacity that a shard owner is clearing for one of its tasks: the others do not place tasks on it for
/// `for_us`.
struct CapacityReservationNotice {
    std::string machine;
    std::string job;
    std::uint32_t task = 0;
    double cpus = 0, gpus = 0, memory_gb = 0;
    std::uint64_t for_us = 0;  ///< microseconds from its arrival
    bool waiting = false;      ///< for an overdue job, without anything being stopped
    friend bool operator==(const CapacityReservationNotice&, const CapacityReservationNotice&) = default;
};

/// Cancellations told as soon as they are confirmed to a user; heartbeats repeat them.
struct CancellationBroadcast {
    std::vector<CancellationNotice> cancellations;
    friend bool operator==(const CancellationBroadcast&, const CancellationBroadcast&) = default;
};

/// Asks a shard owner to fence the starts of a job whose cancellation is about to be committed. Only for
/// peers that announce core::kSupportsStartHolds.
struct StartHoldRequest {
    std::uint64_t number = 0;  ///< returned with the acknowledgement
    std::string job;
    std::uint64_t wait_us = 0;  ///< microseconds from its arrival for which the sender waits
    friend bool operator==(const StartHoldRequest&, const StartHoldRequest&) = default;
};

/// The answer to StartHoldRequest: the job is held, and none of its starts is under way.
struct StartHoldAcknowledgement {
    std::uint64_t number = 0;  ///< of the request
    friend bool operator==(const StartHoldAcknowledgement&, const StartHoldAcknowledgement&) = default;
};

/// Any message of the protocol.
using PeerMessage = std::variant<PeerHandshake, PeerHeartbeat, WorkerStatusUpdate, LeaseExtensionRequest,
                                 LeaseExtensionVote, CapacityReservationNotice, WorkerKeepAlive,
                                 CancellationBroadcast, StartHoldRequest, StartHoldAcknowledgement>;

/// The frame of a message: length, kind and fields.
std::string encode_frame(const PeerMessage& message);

/// Takes whole frames off the front of the bytes of one connection.
class FrameReader {
  public:
    /// Appends what has arrived.
    void add(std::string_view bytes) {
        buffer_.erase(0, taken_);
        taken_ = 0;
        buffer_.append(bytes);
    }
    /// The next message; nothing when more bytes are needed, or after input that is no frame: see `broken`.
    std::optional<PeerMessage> next();
    /// Input that is no frame has been read: nothing more can be taken from the connection.
    bool broken() const { return broken_; }

  private:
    std::string buffer_;
    std::size_t taken_ = 0;  // bytes at the front that were read
    bool broken_ = false;
};

}  // namespace hatchwind::wire
