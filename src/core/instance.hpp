/// Instances in the cloud's inventory.
#pragma once

#include <cstdint>
#include <string>

namespace hatchwind::core {

/// State of an instance according to the cloud.
enum class InstanceState : std::uint8_t { booting, running, failed };

/// An instance in the cloud's inventory. Its machine is added to the cluster view by the first heartbeat of
/// its worker.
struct Instance {
    std::string machine;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    InstanceState state = InstanceState::booting;
    double age_s = 0;  ///< seconds since the instance was requested, by the cloud's clock
};

}  // namespace hatchwind::core
