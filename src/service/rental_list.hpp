// The rented machines as the cloud lists them, and those that this leader has rented since.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/fleet_planner.hpp"
#include "service/cloud_client.hpp"
#include "service/node.hpp"

namespace hatchwind::service {

struct KnownRental {
    core::Rental rental;
    io::Micros rented{0};  // steady: when it was asked for, as far as known
    io::Micros seen{0};    // steady: last time that a list showed it
    bool listed = false;
};

class RentalList {
  public:
    using Listed = std::map<std::string, core::Rental>;

    RentalList(Node& node, CloudClient& cloud) : node_(node), cloud_(cloud) {}

    struct Reading {
        Listed rentals;
        bool whole = false;  // no page is missing
    };
    // The list, page by page, as far as pages could be had.
    io::Task<Reading> read();
    void take(const Listed& listed);
    void add_rented(const std::string& machine, const core::Pool& pool);
    // Returns the pool that the machine was rented from, when it was known.
    std::optional<core::Pool> remove(const std::string& machine);
    void clear() { known_.clear(); }

    bool contains(const std::string& machine) const { return known_.contains(machine); }
    // Rented machines that are still to come up.
    std::vector<core::Rental> booting(io::Micros now) const;
    // Machines that never came up, and those that the cloud calls failed.
    std::vector<std::string> failed(io::Micros now, bool long_term) const;

  private:
    io::Micros boot_time(const KnownRental& known) const;
    bool overdue(const KnownRental& known, io::Micros now) const;
    bool never_came_up(const KnownRental& known, io::Micros now) const;
    bool is_gone(const std::string& machine, const KnownRental& known, const Listed& listed,
                 io::Micros now) const;

    Node& node_;
    CloudClient& cloud_;
    std::map<std::string, KnownRental> known_;
};

}  // namespace hatchwind::service
