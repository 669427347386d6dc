#include "workers/reachability_probes.hpp"

#include <algorithm>

namespace hatchwind::controller {

using core::Micros;

namespace {
constexpr Micros kLeastInterval{500'000};
}  // namespace

const ProbeState* ReachabilityProbes::find(const std::string& machine) const {
    const auto state = states_.find(machine);
    return state == states_.end() ? nullptr : &state->second;
}

void ReachabilityProbes::expedite(const std::string& machine) {
    const auto found = states_.find(machine);
    if (found == states_.end()) return;
    ProbeState& state = found->second;
    state.next_probe = std::min(state.next_probe, state.last_probe + kLeastInterval);
}

void ReachabilityProbes::record_unanswered(const std::string& machine, Micros monotonic_now) {
    ProbeState& state = states_[machine];
    if (state.unanswered_since.count() == 0) state.unanswered_since = monotonic_now;
    state.next_probe = monotonic_now + state.interval;
}

}  // namespace hatchwind::controller
