// Repeatable randomness of the emulator: one seed gives one run, and each actor has a stream of its own.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string_view>

#include "core/time.hpp"

namespace hatchwind::emulator {

using Micros = std::chrono::microseconds;

/// Seconds as whole microseconds.
inline Micros from_seconds(double seconds) { return Micros{std::llround(seconds * 1e6)}; }
/// Microseconds as seconds, for figures and wire fields.
using core::to_seconds;

/// Log-normal distribution given as users speak of it: median, 95th percentile, and the largest value.
struct LogNormal {
    double median = 1;
    double p95 = 1;
    double max = 1;
};

/// Stable 64-bit hash (FNV-1a): names seed streams, and std::hash may differ between libraries.
inline std::uint64_t stable_hash(std::string_view text) {
    std::uint64_t hash = 14695981039346656037U;
    for (const char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= 1099511628211U;
    }
    return hash;
}

/// A stream of random numbers.
class Random {
  public:
    explicit Random(std::uint64_t seed) : engine_(seed) {}
    /// The stream of one actor of a run. Streams of different names do not disturb each other.
    Random(std::uint64_t seed, std::string_view actor) : engine_(seed ^ stable_hash(actor)) {}

    double uniform(double low, double high) {
        return std::uniform_real_distribution<double>(low, high)(engine_);
    }
    bool chance(double probability) { return uniform(0, 1) < probability; }
    /// A whole number in [0, count); `count` must be positive.
    std::size_t below(std::size_t count) {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(engine_);
    }
    double exponential(double mean) { return std::exponential_distribution<double>(1 / mean)(engine_); }
    Micros between(Micros low, Micros high) {
        return from_seconds(uniform(to_seconds(low), to_seconds(high)));
    }
    double draw(const LogNormal& distribution) {
        constexpr double normal_p95 = 1.645;  // 95th percentile of the standard normal distribution
        const double ratio = std::max(distribution.p95 / distribution.median, 1.0);
        const double sigma = std::log(ratio) / normal_p95;
        const double standard = std::normal_distribution<double>(0, 1)(engine_);
        return std::min(distribution.median * std::exp(sigma * standard), distribution.max);
    }
    std::mt19937_64& engine() { return engine_; }

  private:
    std::mt19937_64 engine_;
};

}  // namespace hatchwind::emulator
