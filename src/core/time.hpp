/// Time types of the core. The core uses two clocks: the wall clock (time of day, comparable between machines
/// up to clock skew) and the monotonic clock (comparable only within one process). `wall_clock_now` and the
/// `..._at` fields of jobs are wall-clock times; other times named `..._at` and `monotonic_now` are monotonic
/// unless documented otherwise.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace hatchwind::core {

/// A duration, or a point in time as the duration since the start of its clock, in microseconds.
using Micros = std::chrono::microseconds;

/// For calculations with rates, which use `double`.
inline constexpr double kMicrosPerSecond = 1e6;

/// The longest duration, and the latest time, that is taken from a message or record: some 31,000 years. Sums
/// of a few of them do not overflow.
inline constexpr Micros kMaxMicros{1'000'000'000'000'000'000};

/// Converts seconds, the unit in settings and wire messages, to microseconds. Truncates fractions of a
/// microsecond, and is limited to kMaxMicros in both directions.
constexpr Micros from_seconds(double seconds) {
    constexpr auto kLimit = static_cast<double>(kMaxMicros.count());
    return Micros{static_cast<std::int64_t>(std::clamp(seconds * kMicrosPerSecond, -kLimit, kLimit))};
}

/// Converts a duration to seconds.
constexpr double to_seconds(Micros duration) {
    return static_cast<double>(duration.count()) / kMicrosPerSecond;
}

}  // namespace hatchwind::core
