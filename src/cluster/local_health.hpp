/// Whether this controller can serve workers, as it reports to its peers.
#pragma once

namespace hatchwind::controller {

/// Written by `ReachabilityMonitor` alone. A controller that is partitioned from the workers is unhealthy,
/// and its shards move to others.
class LocalHealth {
  public:
    /// Until it is set, a controller counts as healthy.
    bool is_healthy() const { return healthy_; }
    /// The result of the latest check of the connectivity to workers.
    void set_healthy(bool healthy) { healthy_ = healthy; }

  private:
    bool healthy_ = true;
};

}  // namespace hatchwind::controller
