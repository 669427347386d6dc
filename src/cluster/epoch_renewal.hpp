/// Request for a new epoch with the same members, shard owners and leader, which raises the fencing token.
#pragma once

#include <cstdint>

namespace hatchwind::controller {

/// Written by `FencingTokenMonitor` and `CommandDispatcher`, and read by `Membership`. Kept in memory only; a
/// request is void once the epoch has changed.
class EpochRenewal {
  public:
    /// Requests an epoch to follow the one with this number.
    void request(std::uint64_t epoch) { requested_in_ = epoch; }
    /// Returns true if an epoch was requested to follow the one with this number.
    bool is_requested(std::uint64_t epoch) const { return requested_in_ != 0 && requested_in_ == epoch; }

  private:
    std::uint64_t requested_in_ = 0;  // 0: no request
};

}  // namespace hatchwind::controller
