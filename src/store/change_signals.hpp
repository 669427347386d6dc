/// Signals between the long-lived coroutines of one controller.
#pragma once

#include "io/loop.hpp"

namespace hatchwind::controller {

/// Signals carry no data: whoever wakes looks at the state anew, so a signal that is lost or repeated does
/// no harm.
struct ChangeSignals {
    explicit ChangeSignals(io::Loop& loop)
        : replica_advanced(loop), scheduling_needed(loop), scaling_needed(loop), commands_answered(loop) {}

    /// The replica of the store has reached a later revision.
    io::Signal replica_advanced;
    /// Something changed that may let a task start or end.
    io::Signal scheduling_needed;
    /// Something changed that may call for more machines.
    io::Signal scaling_needed;
    /// A worker has answered commands, or their request has failed.
    io::Signal commands_answered;
};

}  // namespace hatchwind::controller
