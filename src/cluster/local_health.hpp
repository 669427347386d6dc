/// Whether this controller can serve workers, which it reports to its peers.
#pragma once

namespace hatchwind::controller {

/// Written only by `ReachabilityMonitor`. A controller that is partitioned from the workers is unhealthy, and
/// its shards move to other controllers.
class LocalHealth {
  public:
    /// Returns true if the controller is healthy; also true before the first check.
    bool is_healthy() const { return healthy_; }
    /// Sets the result of the latest check of the connectivity to workers.
    void set_healthy(bool healthy) { healthy_ = healthy; }

  private:
    bool healthy_ = true;
};

}  // namespace hatchwind::controller
