// Drains: finds machines that can be given back together, by trial repacking, and marks them.
#pragma once

#include <optional>
#include <set>

#include "config/settings.hpp"
#include "core/drain_planner.hpp"
#include "core/free_capacity.hpp"
#include "core/model.hpp"
#include "scaling/cordon_record.hpp"
#include "store/change_signals.hpp"
#include "store/replicated_state.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

class EvictionController {
  public:
    EvictionController(const Settings& settings, const Tunables& tunables,
                       const std::optional<core::Catalog>& catalog, const ReplicatedState& replicated,
                       WorkerStatus& workers, core::FreeCapacityCache& free_capacity_cache,
                       ChangeSignals& signals, CordonRecord& cordons)
        : settings_(settings),
          tunables_(tunables),
          catalog_(catalog),
          replicated_(replicated),
          workers_(workers),
          free_capacity_cache_(free_capacity_cache),
          signals_(signals),
          cordons_(cordons) {}

    // Plans once, and marks what is chosen.
    io::Task<void> round();
    // This node has begun to lead.
    void start_term() { state_ = {}; }
    // No rounds are held for now: what was open is not known any more.
    void pause() { was_open_.clear(); }

  private:
    void record_stops(io::Micros now);
    core::DrainInput drain_input(io::Micros now) const;
    core::DrainSettings drain_settings() const;
    core::DrainResult plan(const core::DrainInput& input);

    const Settings& settings_;
    const Tunables& tunables_;
    const std::optional<core::Catalog>& catalog_;
    const ReplicatedState& replicated_;
    WorkerStatus& workers_;
    core::FreeCapacityCache& free_capacity_cache_;
    ChangeSignals& signals_;
    CordonRecord& cordons_;
    core::DrainState state_;
    std::set<core::TaskRef> was_open_;  // in the last round
};

}  // namespace hatchwind::controller
