/// Time as the core uses it. Two clocks meet here: the wall clock (time of day, comparable between machines
/// up to their skew) and the monotonic clock (comparable only within one process). Names say which one is
/// meant: `wall_clock_now` and `..._at` beside a job, `monotonic_now` elsewhere.
#pragma once

#include <chrono>
#include <cstdint>

namespace hatchwind::core {

/// A duration, or a point of either clock as the time since that clock's start. Microseconds.
using Micros = std::chrono::microseconds;

/// For the arithmetic of rates, which is done in `double`.
inline constexpr double kMicrosPerSecond = 1e6;

/// Settings and wire messages give durations in seconds; what is less than a microsecond is cut off.
constexpr Micros from_seconds(double seconds) {
    return Micros{static_cast<std::int64_t>(seconds * kMicrosPerSecond)};
}

/// A duration in seconds.
constexpr double to_seconds(Micros duration) {
    return static_cast<double>(duration.count()) / kMicrosPerSecond;
}

}  // namespace hatchwind::core
