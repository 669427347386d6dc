/// A set of task numbers, stored as ranges: a finished job of 100,000 tasks takes a single range.
#pragma once

#include <cstdint>
#include <iterator>
#include <map>

namespace hatchwind::core {

/// A set of integers, stored as ascending, disjoint and non-adjacent ranges.
class RangeSet {
  public:
    /// Returns true if the set contains the value.
    bool contains(std::uint32_t value) const {
        auto next = ranges_.upper_bound(value);
        return next != ranges_.begin() && std::prev(next)->second >= value;
    }
    /// Adds a value. Returns false if it was in the set already.
    bool insert(std::uint32_t value) { return insert(value, value) != 0; }
    /// Adds the values `first` to `last`, inclusive. Returns the number of values that were not in the set
    /// before.
    std::uint32_t insert(std::uint32_t first, std::uint32_t last) {
        const std::uint32_t old_size = size_;
        auto range = ranges_.upper_bound(first);
        if (range != ranges_.begin()) {
            auto previous = std::prev(range);
            if (previous->second >= first || previous->second + 1 == first) range = previous;
        }
        std::uint32_t merged_first = first;
        std::uint32_t merged_last = last;
        while (range != ranges_.end() && range->first <= merged_last + 1) {
            merged_first = range->first < merged_first ? range->first : merged_first;
            merged_last = range->second > merged_last ? range->second : merged_last;
            size_ -= range->second - range->first + 1;
            range = ranges_.erase(range);
        }
        ranges_.emplace(merged_first, merged_last);
        size_ += merged_last - merged_first + 1;
        return size_ - old_size;
    }
    /// Returns the number of values, not of ranges.
    std::uint32_t size() const { return size_; }
    /// Maps the first value of each range to its last value.
    const std::map<std::uint32_t, std::uint32_t>& ranges() const { return ranges_; }
    friend bool operator==(const RangeSet&, const RangeSet&) = default;

  private:
    std::map<std::uint32_t, std::uint32_t> ranges_;  // first -> last
    std::uint32_t size_ = 0;
};

}  // namespace hatchwind::core
