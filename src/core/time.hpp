/// Time types of the core. The core uses two clocks: the wall clock (time of day, comparable between machines
/// up to clock skew) and the monotonic clock (comparable only within one process). `wall_clock_now` and the
/// `..._at` fields of jobs are wall-clock times; other times named `..._at` and `monotonic_now` are monotonic
/// unless documented otherwise.
#pragma once

#include <chrono>
#include <cstdint>

namespace hatchwind::core {

/// A duration, or a point in time as the duration since the start of its clock, in microseconds.
using Micros = std::chrono::microseconds;

/// For calculations with rates, which use `double`.
inline constexpr double kMicrosPerSecond = 1e6;

/// Converts seconds, the unit in settings and wire messages, to microseconds. Truncates fractions of a
/// microsecond.
constexpr Micros from_seconds(double seconds) {
    return Micros{static_cast<std::int64_t>(seconds * kMicrosPerSecond)};
}

/// Converts a duration to seconds.
constexpr double to_seconds(Micros duration) {
    return static_cast<double>(duration.count()) / kMicrosPerSecond;
}

}  // namespace hatchwind::core
