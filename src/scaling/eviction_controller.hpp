/// Drains: finds machines that can be scaled in together, by bin packing their tasks onto the others on
/// trial, and cordons them. Shard owners then evict what runs there, and `ScaleIn` releases the machines.
#pragma once

#include <optional>
#include <set>

#include "config/settings.hpp"
#include "config/tunables.hpp"
#include "core/drain_planner.hpp"
#include "core/free_capacity.hpp"
#include "core/model.hpp"
#include "scaling/cordon_record.hpp"
#include "store/change_signals.hpp"
#include "store/replicated_state.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

/// What evictions read, and what they change.
struct EvictionContext {
    const Settings& settings;
    const Tunables& tunables;
    const std::optional<core::Catalog>& catalog;
    const ReplicatedState& replicated;
    WorkerStatus& workers;  // the drain candidates
    core::FreeCapacityCache& free_capacity_cache;
    ChangeSignals& signals;
    CordonRecord& cordons;
};

/// Owns the drain planner's memory: candidates, their destinations, and recent stops. Times are monotonic.
class EvictionController {
  public:
    explicit EvictionController(const EvictionContext& context) : context_(context) {}

    /// Plans once, and cordons what is chosen. Needs the catalog.
    io::Task<void> run_round();
    /// This controller has begun to lead.
    void start_term() { planner_state_ = {}; }
    /// No rounds are run for now: which attempts were open in the last one says nothing about the next.
    void pause() { open_in_last_round_.clear(); }

  private:
    void record_stops(io::Micros monotonic_now);
    void assume_services_stopped(io::Micros monotonic_now);
    core::DrainInput drain_input(io::Micros monotonic_now) const;
    core::DrainSettings drain_settings() const;
    core::DrainResult plan(const core::DrainInput& input);
    void publish_candidates();
    std::set<std::string> with_cordons(const core::DrainResult& planned) const;

    const EvictionContext context_;
    core::DrainState planner_state_;
    std::set<core::TaskRef> open_in_last_round_;  // tasks with an open attempt
};

}  // namespace hatchwind::controller
