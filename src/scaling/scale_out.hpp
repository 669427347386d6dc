// Scaling out: asks the cloud for what the fleet planner wants, pool by pool, with a backoff for pools that
// refuse.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "cluster/leadership.hpp"
#include "config/settings.hpp"
#include "core/free_capacity.hpp"
#include "core/model.hpp"
#include "core/scale_out_planner.hpp"
#include "scaling/cloud_client.hpp"
#include "scaling/instance_inventory.hpp"
#include "store/replicated_state.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

class ScaleOut {
  public:
    ScaleOut(const Settings& settings, const Tunables& tunables, const std::optional<core::Catalog>& catalog,
             const ReplicatedState& replicated, const Leadership& leadership, const WorkerStatus& workers,
             core::FreeCapacityCache& free_capacity_cache, CloudClient& cloud, InstanceInventory& inventory)
        : settings_(settings),
          tunables_(tunables),
          catalog_(catalog),
          replicated_(replicated),
          leadership_(leadership),
          workers_(workers),
          free_capacity_cache_(free_capacity_cache),
          cloud_(cloud),
          inventory_(inventory) {}

    // Plans once and rents what is wanted, as long as this node leads.
    io::Task<void> round();
    // How long the last plan took; bounded.
    io::Micros last_plan() const { return last_plan_; }
    // A machine of the pool was given back: where one was, there is a place for one.
    void pool_freed(const core::InstancePool& pool);

  private:
    core::ScaleOutInput scale_out_input(io::Micros now) const;
    core::ScaleOutSettings scale_out_settings() const;
    std::string next_request();
    io::Task<void> rent_from(core::InstancePool pool, unsigned number);
    void take_reply(const core::InstancePool& pool, unsigned number, const io::HttpResult& reply);
    void back_off(const core::InstancePool& pool);

    const Settings& settings_;
    const Tunables& tunables_;
    const std::optional<core::Catalog>& catalog_;
    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    const WorkerStatus& workers_;
    core::FreeCapacityCache& free_capacity_cache_;
    CloudClient& cloud_;
    InstanceInventory& inventory_;
    std::map<core::InstancePool, io::Micros> refused_until_;  // steady
    std::map<core::InstancePool, int> refusals_;
    std::uint64_t request_ = 0;
    io::Micros last_plan_{0};
};

}  // namespace hatchwind::controller
