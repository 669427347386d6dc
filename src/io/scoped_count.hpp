/// A count of what is under way, for limits on concurrency.
#pragma once

#include <cstddef>

namespace hatchwind::io {

/// Raises a count for as long as it lives. The count has to outlive it.
class ScopedCount {
  public:
    explicit ScopedCount(std::size_t& count) : count_(count) { ++count_; }
    ~ScopedCount() { --count_; }
    ScopedCount(const ScopedCount&) = delete;
    ScopedCount& operator=(const ScopedCount&) = delete;

  private:
    std::size_t& count_;
};

}  // namespace hatchwind::io
