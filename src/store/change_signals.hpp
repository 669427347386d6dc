/// Signals between the long-lived coroutines of one controller.
#pragma once

#include "io/loop.hpp"

namespace hatchwind::controller {

/// Signals carry no data. A coroutine that wakes re-reads the state, so a lost or repeated signal does no
/// harm.
struct ChangeSignals {
    explicit ChangeSignals(io::Loop& loop)
        : replica_advanced(loop), scheduling_needed(loop), scaling_needed(loop), commands_answered(loop) {}

    /// The replica of the store has reached a later revision.
    io::Signal replica_advanced;
    /// A change that may allow a task to start or stop.
    io::Signal scheduling_needed;
    /// A change that may require more machines.
    io::Signal scaling_needed;
    /// A worker has answered a command request, or the request has failed.
    io::Signal commands_answered;
};

}  // namespace hatchwind::controller
