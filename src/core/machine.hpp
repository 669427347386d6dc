/// The types of machines that the cloud offers.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/resources.hpp"
#include "core/time.hpp"

namespace hatchwind::core {

/// One machine type of the cloud's catalog.
struct MachineType {
    std::string name;
    Resources size;
    double cache_gb = 0;             ///< image cache, in gigabytes
    double fetch_gb_per_s = 1;       ///< rate at which images are fetched
    double price = 0;                ///< of an on-demand instance, per unit of time that the cloud bills
    double spot_price = 0;           ///< of a spot instance, in the same unit
    Micros boot{};                   ///< time from the request until the worker's first heartbeat
    std::vector<std::string> zones;  ///< zones that offer it
};
/// Machine types by name.
using Catalog = std::map<std::string, MachineType>;

}  // namespace hatchwind::core
