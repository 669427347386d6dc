/// The term of a cluster leader. Its length limits what scaling may conclude from the absence of
/// information.
#pragma once

#include <cstdint>

#include "core/time.hpp"

namespace hatchwind::controller {

/// Written by ScalingController alone. Times are monotonic.
struct LeaderTerm {
    std::uint64_t last_led_epoch = 0;  ///< number of the epoch in which this controller last led; 0: none
    core::Micros started_at{0};        ///< beginning of the term, which may span several epochs
    /// The cloud's list of instances was read whole in this term.
    bool inventory_read = false;

    /// For how long this controller has led.
    core::Micros length(core::Micros monotonic_now) const { return monotonic_now - started_at; }
};

}  // namespace hatchwind::controller
