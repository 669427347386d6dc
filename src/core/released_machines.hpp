// The machines that the cloud has confirmed as gone, in the order in which this node learned of it. Late
// reports must not bring them back, and peers are told of them by their place in this order.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_set>
#include <vector>

#include "core/model.hpp"

namespace hatchwind::core {

class ReleasedMachines {
  public:
    // Messages may be minutes late, so names are kept by time. A name that was dropped comes back as a
    // machine that never answers: it takes no tasks, its attempts count as open until their lease is over,
    // and it is released once more.
    static constexpr Micros kKeptFor{900'000'000};
    // Bounds the memory (some 10 MB), several times the largest fleet.
    static constexpr std::size_t kMostKept = 65'536;

    struct News {
        std::vector<std::string> machines;
        std::uint64_t position = 0;  // what to ask from next
    };

    // False when it is known already. `now`: steady.
    bool add(const std::string& machine, Micros now);
    bool contains(const std::string& machine) const { return names_.contains(machine); }
    // The machines from that position on that are still kept, at most so many.
    News since(std::uint64_t position, std::size_t most) const;

  private:
    struct Entry {
        std::string machine;
        Micros released{};
    };
    std::unordered_set<std::string> names_;
    std::deque<Entry> order_;
    std::uint64_t dropped_ = 0;  // position of the oldest one kept
};

}  // namespace hatchwind::core
