// Renting: asks the cloud for what the fleet planner wants, pool by pool, with a backoff for pools that
// refuse.
#pragma once

#include <map>
#include <string>

#include "core/fleet_planner.hpp"
#include "service/cloud_client.hpp"
#include "service/node.hpp"
#include "service/rental_list.hpp"

namespace hatchwind::service {

class Renting {
  public:
    Renting(Node& node, CloudClient& cloud, RentalList& rentals)
        : node_(node), cloud_(cloud), rentals_(rentals) {}

    // Plans once and rents what is wanted, as long as this node leads.
    io::Task<void> round();
    // How long the last plan took; bounded.
    io::Micros last_plan() const { return last_plan_; }
    // A machine of the pool was given back: where one was, there is a place for one.
    void pool_freed(const core::Pool& pool);

  private:
    core::FleetInput fleet_input(io::Micros now) const;
    core::FleetSettings fleet_settings() const;
    std::string next_request();
    io::Task<void> rent_from(core::Pool pool, unsigned number);
    void take_reply(const core::Pool& pool, unsigned number, const io::HttpReply& reply);
    void back_off(const core::Pool& pool);

    Node& node_;
    CloudClient& cloud_;
    RentalList& rentals_;
    std::map<core::Pool, io::Micros> refused_until_;  // steady
    std::map<core::Pool, int> refusals_;
    std::uint64_t request_ = 0;
    io::Micros last_plan_{0};
};

}  // namespace hatchwind::service
