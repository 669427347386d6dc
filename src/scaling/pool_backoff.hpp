/// Exponential backoff for instance pools that the cloud refuses: there is nothing left in them, or an
/// outage.
#pragma once

#include <map>
#include <optional>

#include "config/settings.hpp"
#include "core/model.hpp"
#include "core/scale_out_planner.hpp"
#include "io/loop.hpp"

namespace hatchwind::controller {

/// Written by ScaleOut alone. Times are monotonic. Its methods need the catalog.
class PoolBackoff {
  public:
    PoolBackoff(const Settings& settings, const std::optional<core::Catalog>& catalog)
        : settings_(settings), catalog_(catalog) {}

    /// The pool gave less than was requested: it is left alone for a while, longer each time.
    void record_refusal(const core::InstancePool& pool);
    /// The pool gave what was requested.
    void record_success(const core::InstancePool& pool) { refusals_.erase(pool); }
    /// Something was returned to the pool, so it may be requested from at once.
    void reset(const core::InstancePool& pool);
    /// Until when each refusing pool is left alone; times that have passed may still be there.
    const std::map<core::InstancePool, io::Micros>& refused_until() const { return refused_until_; }

  private:
    double longest_backoff_s() const;

    const Settings& settings_;
    const std::optional<core::Catalog>& catalog_;
    std::map<core::InstancePool, io::Micros> refused_until_;
    std::map<core::InstancePool, int> refusals_;  // since the last success or reset
};

}  // namespace hatchwind::controller
