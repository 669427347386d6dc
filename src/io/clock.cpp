#include "io/clock.hpp"

#include <cstdint>
#include <ctime>

namespace hatchwind::io {

namespace {

constexpr std::int64_t kMicrosPerSecond = 1'000'000;
constexpr std::int64_t kNanosPerMicro = 1000;

Micros read_clock(clockid_t id) {
    timespec time{};
    ::clock_gettime(id, &time);
    return Micros{static_cast<std::int64_t>(time.tv_sec) * kMicrosPerSecond + time.tv_nsec / kNanosPerMicro};
}

constinit thread_local const Clock* installed_clock = nullptr;

}  // namespace

void install_clock(const Clock* clock) { installed_clock = clock; }

Micros steady_now() {
    if (installed_clock != nullptr) [[unlikely]]
        return installed_clock->steady();
    return read_clock(CLOCK_MONOTONIC);
}

Micros wall_now() {
    if (installed_clock != nullptr) [[unlikely]]
        return installed_clock->wall();
    return read_clock(CLOCK_REALTIME);
}

}  // namespace hatchwind::io
