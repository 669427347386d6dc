/// A set of task numbers kept as ranges: a finished job of 100,000 tasks costs one of them.
#pragma once

#include <cstdint>
#include <iterator>
#include <map>

namespace hatchwind::core {

/// Ascending, disjoint ranges that do not touch one another.
class RangeSet {
  public:
    /// True when one of the ranges has the value.
    bool contains(std::uint32_t value) const {
        auto it = ranges_.upper_bound(value);
        return it != ranges_.begin() && std::prev(it)->second >= value;
    }
    /// False when it was in the set already.
    bool insert(std::uint32_t value) { return insert(value, value) != 0; }
    /// Adds first..last; returns how many were new.
    std::uint32_t insert(std::uint32_t first, std::uint32_t last) {
        const std::uint32_t before = size_;
        auto it = ranges_.upper_bound(first);
        if (it != ranges_.begin()) {
            auto prev = std::prev(it);
            if (prev->second >= first || prev->second + 1 == first) it = prev;
        }
        std::uint32_t from = first;
        std::uint32_t to = last;
        while (it != ranges_.end() && it->first <= to + 1) {
            from = it->first < from ? it->first : from;
            to = it->second > to ? it->second : to;
            size_ -= it->second - it->first + 1;
            it = ranges_.erase(it);
        }
        ranges_.emplace(from, to);
        size_ += to - from + 1;
        return size_ - before;
    }
    /// Number of values, not of ranges.
    std::uint32_t size() const { return size_; }
    /// First value of each range -> last value.
    const std::map<std::uint32_t, std::uint32_t>& ranges() const { return ranges_; }
    friend bool operator==(const RangeSet&, const RangeSet&) = default;

  private:
    std::map<std::uint32_t, std::uint32_t> ranges_;  // first -> last
    std::uint32_t size_ = 0;
};

}  // namespace hatchwind::core
