/// Machines that have yet to show that they answer this controller, and when each is asked next.
#pragma once

#include <map>
#include <string>

#include "core/model.hpp"

namespace hatchwind::controller {

/// Times are monotonic.
struct ProbeState {
    core::Micros unanswered_since{0};  // 0: nothing is known against it, it was only never asked
    core::Micros next_probe{0};
    core::Micros interval{500'000};
    core::Micros last_probe{0};
};

/// A heartbeat alone proves nothing: it may be a late copy, or come from a machine that only sends. A machine
/// in this table has not answered this controller's last request, or was never asked.
class ReachabilityProbes {
  public:
    using States = std::map<std::string, ProbeState>;

    const States& states() const { return states_; }
    States& states() { return states_; }
    const ProbeState* find(const std::string& machine) const;
    /// The machine has to answer before it counts as reachable.
    void request(const std::string& machine) { states_.try_emplace(machine); }
    /// A machine that did not answer before has something to say now: it is asked soon, not after the
    /// interval that its silence earned.
    void expedite(const std::string& machine);
    /// A request to the machine stayed without an answer.
    void record_unanswered(const std::string& machine, core::Micros monotonic_now);
    /// The machine has answered, or is gone.
    void remove(const std::string& machine) { states_.erase(machine); }
    /// The machine has left this controller's requests unanswered for longer than that.
    static bool is_unanswered_for(const ProbeState& state, core::Micros duration,
                                  core::Micros monotonic_now) {
        return state.unanswered_since.count() != 0 && monotonic_now - state.unanswered_since > duration;
    }

  private:
    States states_;
};

}  // namespace hatchwind::controller
