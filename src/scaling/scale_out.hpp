// Scaling out: asks the cloud for what the fleet planner wants, pool by pool, with a backoff for pools that
// refuse.
#pragma once

#include <map>
#include <string>

#include "cluster/node.hpp"
#include "core/scale_out_planner.hpp"
#include "scaling/cloud_client.hpp"
#include "scaling/instance_inventory.hpp"

namespace hatchwind::controller {

class ScaleOut {
  public:
    ScaleOut(Node& node, CloudClient& cloud, InstanceInventory& instances)
        : node_(node), cloud_(cloud), inventory_(instances) {}

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
    void take_reply(const core::InstancePool& pool, unsigned number, const io::HttpReply& reply);
    void back_off(const core::InstancePool& pool);

    Node& node_;
    CloudClient& cloud_;
    InstanceInventory& inventory_;
    std::map<core::InstancePool, io::Micros> refused_until_;  // steady
    std::map<core::InstancePool, int> refusals_;
    std::uint64_t request_ = 0;
    io::Micros last_plan_{0};
};

}  // namespace hatchwind::controller
