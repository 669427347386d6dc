/// Machine types offered by the cloud.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/resources.hpp"
#include "core/time.hpp"

namespace hatchwind::core {

/// A machine type in the cloud's catalog.
struct MachineType {
    std::string name;
    Resources size;
    double cache_gb = 0;             ///< capacity of the image cache, in gigabytes
    double fetch_gb_per_s = 1;       ///< image fetch rate, in gigabytes per second
    double price = 0;                ///< of an on-demand instance, per billing time unit of the cloud
    double spot_price = 0;           ///< of a spot instance, in the same unit
    Micros boot{};                   ///< time from the request until the worker's first heartbeat
    std::vector<std::string> zones;  ///< zones where the type is available
};
/// Machine types by name.
using Catalog = std::map<std::string, MachineType>;

}  // namespace hatchwind::core
