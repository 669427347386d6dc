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

constexpr std::uint64_t kMeshVersion = 3;
constexpr std::size_t kMeshFrameBytes = 1U << 20U;

// A cancellation that the state service has committed, as one controller tells it to another. It lets an
// owner that cannot reach the state service stop the job's tasks in time.
struct CancelNotice {
    std::string job;
    core::Stamp revision = 0;       // of the commit
    std::int64_t cancelled_us = 0;  // time of day
    friend bool operator==(const CancelNotice&, const CancelNotice&) = default;
};

// First on every connection.
struct MeshHello {
    std::uint64_t version = kMeshVersion;
    std::string label;
    friend bool operator==(const MeshHello&, const MeshHello&) = default;
};

// Sent about twice a second. `answered` tells when this node last answered each worker: others may count a
// worker's lease as ended only by such tables from every member. The first heartbeat of a connection has the
// whole table, later ones what has changed since: frames of one connection arrive all and in order.
struct MeshHeartbeat {
    std::string label;
    std::uint64_t grant = 0;
    std::int64_t wall_us = 0;  // when the table was made
    std::uint64_t epoch = 0;
    bool state_ok = false;
    bool fit = true;
    bool acting = false;  // its node lease is alive and it is a member of the epoch that it knows
    std::vector<std::pair<std::string, std::int64_t>> answered;  // machine -> time of day
    std::vector<std::string> released;                           // machines that the cloud confirmed as gone
    std::vector<std::string> candidates;                         // leader only: the drain planner's set
    std::vector<std::string> hears;                              // nodes whose heartbeats reach this one
    std::uint64_t demand = 0;                                    // store writes wanted a second, in tenths
    std::uint64_t workers = 0;                                   // workers that report to this node
    std::vector<std::string> unanswered;  // machines that report but do not answer this node
    core::Stamp revision = 0;             // of the sender's replica
    std::vector<CancelNotice> cancels;    // those that the receiver's replica may lack
    std::uint64_t capabilities = 0;  // of the sender's version, see core/epoch.hpp; earlier ones tell none
    friend bool operator==(const MeshHeartbeat&, const MeshHeartbeat&) = default;
};

struct MeshReport {
    core::WorkerReport report;
    std::int64_t heard_us = 0;  // time of day
    std::vector<std::pair<std::string, double>> images;
    bool confirmed = false;  // the machine has answered a request
};

// A report that says nothing new. It counts only for whoever has the tasks of `content_tick` or later.
struct MeshAlive {
    std::string machine;
    std::uint64_t session = 0;
    std::uint64_t tick = 0;
    std::uint64_t token = 0;
    std::uint64_t content_tick = 0;
    std::int64_t heard_us = 0;
    friend bool operator==(const MeshAlive&, const MeshAlive&) = default;
};

// Asks for a promise not to remove the sender from the members for a while.
struct MeshAsk {
    std::uint64_t number = 0;
    std::uint64_t life_us = 0;
    core::Stamp revision = 0;  // of the sender's replica
    friend bool operator==(const MeshAsk&, const MeshAsk&) = default;
};

// The answer to MeshAsk. The asker takes in the cancellations before it counts the promise.
struct MeshPromise {
    std::uint64_t number = 0;
    bool given = false;
    std::vector<CancelNotice> cancels;  // committed after the asker's revision
    friend bool operator==(const MeshPromise&, const MeshPromise&) = default;
};

// FreeCapacity that an owner is clearing for one of its tasks: the others leave it alone for so long.
struct MeshHold {
    std::string machine;
    std::string job;
    std::uint32_t task = 0;
    double cpus = 0, gpus = 0, memory_gb = 0;
    std::uint64_t for_us = 0;
    bool waiting = false;  // for an overdue job, without anything being stopped
    friend bool operator==(const MeshHold&, const MeshHold&) = default;
};

// Cancellations told as soon as they are confirmed to a user; heartbeats repeat them.
struct MeshCancel {
    std::vector<CancelNotice> cancels;
    friend bool operator==(const MeshCancel&, const MeshCancel&) = default;
};

using MeshMessage =
    std::variant<MeshHello, MeshHeartbeat, MeshReport, MeshAsk, MeshPromise, MeshHold, MeshAlive, MeshCancel>;

std::string encode_frame(const MeshMessage& m);

// Takes whole frames off the front of a buffer.
class FrameReader {
  public:
    void add(std::string_view bytes) {
        buffer_.erase(0, at_);
        at_ = 0;
        buffer_.append(bytes);
    }
    // The next message; nothing when more bytes are needed. broken() after input that is no frame.
    std::optional<MeshMessage> next();
    bool broken() const { return broken_; }

  private:
    std::string buffer_;
    std::size_t at_ = 0;  // everything before it was taken
    bool broken_ = false;
};

}  // namespace hatchwind::wire
