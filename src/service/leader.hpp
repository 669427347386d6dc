// The leader's duty: the cloud. Renting, trial repacking, draining and giving back.
#pragma once

#include <map>
#include <set>

#include "core/drain_planner.hpp"
#include "core/fleet_planner.hpp"
#include "service/node.hpp"
#include "service/replica.hpp"

namespace hatchwind::service {

class Leader {
  public:
    Leader(Node& n, Replica& r)
        : node_(n), replica_(r), budget_(n.settings.cloud_rps * 0.9, n.settings.cloud_rps) {}
    // Every node needs the machine types, for submissions too.
    io::Task<void> keep_catalog();
    io::Task<void> keep_list();
    io::Task<void> rent();
    io::Task<void> drain();
    io::Task<void> give_back();
    // Gives machines back to the cloud; true once it has confirmed that they are gone. Any node may call it.
    io::Task<bool> release(std::vector<std::string> machines);

  private:
    struct Known {
        core::Rental rental;
        io::Micros rented{0};  // steady: when it was asked for, as far as known
        io::Micros seen{0};    // steady: last time that a list showed it
        bool listed = false;
    };
    io::Task<io::HttpReply> cloud(std::string method, std::string target, std::string body);
    io::Task<bool> mark(std::set<std::string> machines);
    bool overdue(const Known& k, io::Micros now) const;
    void new_reign();

    Node& node_;
    Replica& replica_;
    Budget budget_;
    std::map<std::string, Known> known_;
    std::map<core::Pool, io::Micros> refused_;
    std::map<core::Pool, int> refusals_;
    core::DrainState drain_;
    std::set<core::TaskRef> was_open_;
    std::vector<io::Micros> silent_released_;  // when, within the last minute
    std::uint64_t request_ = 0;
    std::uint64_t reign_ = 0;
    std::uint64_t malformed_ = 0;
    io::Micros reign_began_{0};
    io::Micros unmarked_{0};  // steady: when marks of machines that are gone were last taken away
    bool list_fresh_ = false;
};

}  // namespace hatchwind::service
