/// The two clocks of a program. Both can be replaced for a thread, so that the same program runs in simulated
/// time.
///
/// Both are read as `Micros`, which does not say of which clock it is. Names do: a time of day is called
/// `wall...`, and a time without that word (deadlines above all) is of the monotonic clock.
#pragma once

#include <chrono>

namespace hatchwind::io {

/// A duration, or a time since the start of either clock, in whole microseconds.
using Micros = std::chrono::microseconds;

/// A deadline that never comes.
inline constexpr Micros kNoDeadline = Micros::max();

/// A source of both times.
class Clock {
  public:
    /// What `steady_now()` returns.
    virtual Micros steady() const = 0;
    /// What `wall_now()` returns.
    virtual Micros wall() const = 0;

  protected:
    ~Clock() = default;
};

/// Makes this thread read `clock` from now on; null: the machine's own clocks. The clock must outlive its
/// installation.
void install_clock(const Clock* clock);

/// The monotonic clock: time since an arbitrary start that is the same for the whole run of a machine. It
/// never goes back and no operator sets it. For deadlines and durations; means nothing to another machine.
Micros steady_now();

/// The wall clock: time of day since 1970-01-01 UTC, within the deployment's skew of true time. May be set
/// back. For what is stored or compared between machines.
Micros wall_now();

}  // namespace hatchwind::io
