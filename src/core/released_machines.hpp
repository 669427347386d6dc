/// The machines whose release the cloud has confirmed, in the order in which this controller learned of it.
/// Late heartbeats must not restore them. Peers are notified of them by position in this order.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_set>
#include <vector>

#include "core/time.hpp"

namespace hatchwind::core {

/// A list of machine ids, bounded by age and size, with an index by id.
class ReleasedMachines {
  public:
    /// How long an id is kept; heartbeats may be minutes late. If a late heartbeat arrives after the id was
    /// dropped, the machine reappears as one that never answers: it gets no tasks, its attempts count as open
    /// until their lease expires, and it is released again.
    static constexpr Micros kRetention{900'000'000};
    /// Maximum number of ids, several times the largest fleet. Bounds the memory to about 10 MB.
    static constexpr std::size_t kMaxEntries = 65'536;

    /// Machines released from a position on.
    struct Update {
        std::vector<std::string> machines;
        std::uint64_t position = 0;  ///< start of the next update
    };

    /// Adds a machine. Returns false, without changing its release time, if it is in the list already.
    bool add(const std::string& machine, Micros monotonic_now);
    /// Returns true if the machine is in the list.
    bool contains(const std::string& machine) const { return ids_.contains(machine); }
    /// Returns up to `limit` machines that are still in the list, from `position` on. Positions start at 0
    /// and are valid within one run of this controller.
    Update since(std::uint64_t position, std::size_t limit) const;

  private:
    struct Entry {
        std::string machine;
        Micros released_at{};  // monotonic clock
    };
    void enforce_limits(Micros monotonic_now);

    std::unordered_set<std::string> ids_;
    std::deque<Entry> order_;
    std::uint64_t first_position_ = 0;  // of the oldest entry
};

}  // namespace hatchwind::core
