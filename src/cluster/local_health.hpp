/// Whether this controller can serve workers, as it tells its peers.
#pragma once

namespace hatchwind::controller {

/// Written by `ReachabilityMonitor` alone. A controller that is partitioned from the workers is unhealthy,
/// and its shards move to others.
class LocalHealth {
  public:
    bool is_healthy() const { return healthy_; }
    void set_healthy(bool healthy) { healthy_ = healthy; }

  private:
    bool healthy_ = true;
};

}  // namespace hatchwind::controller
