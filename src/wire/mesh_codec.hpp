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

constexpr std::uint64_t kMeshVersion = 1;
constexpr std::size_t kMeshFrameBytes = 1U << 20U;

// First on every connection.
struct MeshHello {
    std::uint64_t version = kMeshVersion;
    std::string label;
    friend bool operator==(const MeshHello&, const MeshHello&) = default;
};

// Sent about twice a second. `answered` tells when this node last answered each worker: others may count a
// worker's lease as ended only by such tables from every member.
struct MeshBeat {
    std::string label;
    std::uint64_t grant = 0;
    std::int64_t wall_us = 0;  // when the table was made
    std::uint64_t epoch = 0;
    bool state_ok = false;
    bool fit = true;
    bool resigned = false;
    std::vector<std::pair<std::string, std::int64_t>> answered;  // machine -> time of day
    std::vector<std::string> released;                           // machines that the cloud confirmed as gone
    std::vector<std::string> candidates;                         // leader only: the drain planner's set
    std::vector<std::string> hears;                              // nodes whose beats reach this one
    friend bool operator==(const MeshBeat&, const MeshBeat&) = default;
};

struct MeshReport {
    core::WorkerReport report;
    std::int64_t heard_us = 0;  // time of day
    std::vector<std::pair<std::string, double>> images;
};

struct MeshAsk {
    std::uint64_t number = 0;
    std::uint64_t life_us = 0;
    friend bool operator==(const MeshAsk&, const MeshAsk&) = default;
};

struct MeshPromise {
    std::uint64_t number = 0;
    bool given = false;
    friend bool operator==(const MeshPromise&, const MeshPromise&) = default;
};

// Room that an owner is clearing for one of its tasks: the others leave it alone for so long.
struct MeshHold {
    std::string machine;
    std::string job;
    std::uint32_t task = 0;
    double cpus = 0, gpus = 0, memory_gb = 0;
    std::uint64_t for_us = 0;
    friend bool operator==(const MeshHold&, const MeshHold&) = default;
};

using MeshMessage = std::variant<MeshHello, MeshBeat, MeshReport, MeshAsk, MeshPromise, MeshHold>;

std::string encode_frame(const MeshMessage& m);

// Takes whole frames off the front of a buffer.
class FrameReader {
  public:
    void add(std::string_view bytes) { buffer_.append(bytes); }
    // The next message; nothing when more bytes are needed. broken() after input that is no frame.
    std::optional<MeshMessage> next();
    bool broken() const { return broken_; }

  private:
    std::string buffer_;
    bool broken_ = false;
};

}  // namespace hatchwind::wire
