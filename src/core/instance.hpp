/// Instances as the cloud lists them.
#pragma once

#include <cstdint>
#include <string>

namespace hatchwind::core {

/// What the cloud says of an instance.
enum class InstanceState : std::uint8_t { booting, running, failed };

/// One instance of the cloud's inventory. Its machine is known to the cluster view only once its worker has
/// sent a heartbeat.
struct Instance {
    std::string machine;
    std::string address;
    std::string type;
    std::string zone;
    bool spot = false;
    InstanceState state = InstanceState::booting;
    double age_s = 0;  ///< seconds since it was requested, by the cloud's clock
};

}  // namespace hatchwind::core
