/// The machines that the cloud has confirmed as gone, in the order in which this controller learned of it.
/// Late heartbeats must not bring them back, and peers are told of them by their position in this order.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_set>
#include <vector>

#include "core/time.hpp"

namespace hatchwind::core {

/// A list bounded in time and number, with an index by id.
class ReleasedMachines {
  public:
    /// How long an id is kept: messages may be minutes late. A machine whose id was dropped may come back as
    /// one that never answers: it takes no tasks, its attempts count as open until their lease expires, and
    /// it is released once more.
    static constexpr Micros kKeptFor{900'000'000};
    /// How many ids are kept. Bounds the memory (some 10 MB); several times the largest fleet.
    static constexpr std::size_t kMostKept = 65'536;

    /// Machines released since a position.
    struct News {
        std::vector<std::string> machines;
        std::uint64_t position = 0;  ///< from which to ask next
    };

    /// False when the machine is known as released already; its time is left as it was.
    bool add(const std::string& machine, Micros monotonic_now);
    /// True while the machine is kept as released.
    bool contains(const std::string& machine) const { return ids_.contains(machine); }
    /// The machines from that position on that are still kept, at most `limit` of them. Positions count from
    /// 0, within one run of this controller.
    News since(std::uint64_t position, std::size_t limit) const;

  private:
    struct Entry {
        std::string machine;
        Micros released_at{};  // monotonic clock
    };
    void drop_old(Micros monotonic_now);

    std::unordered_set<std::string> ids_;
    std::deque<Entry> order_;
    std::uint64_t first_position_ = 0;  // of the oldest one kept
};

}  // namespace hatchwind::core
