/// Identifies an attempt in a worker's heartbeat.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace hatchwind::core {

/// An attempt as a worker lists it. The machine is part of the identity, because a replacement in a gang has
/// the attempt number of the task that it replaces.
struct ListedAttempt {
    std::string machine;
    std::string job;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    friend auto operator<=>(const ListedAttempt&, const ListedAttempt&) = default;
};

}  // namespace hatchwind::core
