/// Scaling out: requests from the cloud what the scale-out planner wants, pool by pool, with a backoff for
/// pools that refuse.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cluster/leadership.hpp"
#include "config/settings.hpp"
#include "config/tunables.hpp"
#include "core/free_capacity.hpp"
#include "core/model.hpp"
#include "core/scale_out_planner.hpp"
#include "scaling/cloud_client.hpp"
#include "scaling/instance_inventory.hpp"
#include "scaling/pool_backoff.hpp"
#include "store/replicated_state.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

/// What scaling out reads, and what it changes.
struct ScaleOutContext {
    const Settings& settings;
    const Tunables& tunables;
    const std::optional<core::Catalog>& catalog;
    const ReplicatedState& replicated;
    const Leadership& leadership;
    const WorkerStatus& workers;
    core::FreeCapacityCache& free_capacity_cache;
    CloudClient& cloud;
    InstanceInventory& inventory;
};

/// Owns the backoff of the pools. Times are monotonic.
class ScaleOut {
  public:
    explicit ScaleOut(const ScaleOutContext& context)
        : context_(context), backoff_(context.settings, context.catalog) {}

    /// Plans once and requests what is wanted, as long as this controller leads. Needs the catalog.
    io::Task<void> run_round();
    /// How long the last round's plan took; one that took very long counts as less.
    io::Micros last_plan_duration() const { return last_plan_duration_; }
    /// An instance of the pool was released: where one was, there is a place for one.
    void record_released(const core::InstancePool& pool) { backoff_.reset(pool); }

  private:
    core::ScaleOutInput scale_out_input(io::Micros monotonic_now) const;
    core::ScaleOutSettings scale_out_settings() const;
    std::string next_request_id();
    io::Task<void> request_instances(core::InstancePool pool, std::uint32_t wanted);
    void apply_reply(const core::InstancePool& pool, std::uint32_t wanted, const io::HttpResult& reply);

    const ScaleOutContext context_;
    PoolBackoff backoff_;
    std::uint64_t last_request_number_ = 0;
    io::Micros last_plan_duration_{0};
};

}  // namespace hatchwind::controller
