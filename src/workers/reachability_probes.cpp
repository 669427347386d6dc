#include "workers/reachability_probes.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace hatchwind::controller {

using core::Micros;

namespace {
constexpr Micros kMaxProbeInterval{8'000'000};
constexpr Micros kProbeInFlightTime{2'000'000};  // exceeds the timeout of a probe

struct DueProbe {
    Micros due_at;
    std::string machine;

    bool operator<(const DueProbe& other) const {
        return std::tie(due_at, machine) < std::tie(other.due_at, other.machine);
    }
};
}  // namespace

const ProbeState* ReachabilityProbes::find(const std::string& machine) const {
    const auto state = states_.find(machine);
    return state == states_.end() ? nullptr : &state->second;
}

std::vector<std::string> ReachabilityProbes::due(Micros monotonic_now, std::size_t max_count) const {
    std::vector<DueProbe> probes;
    for (const auto& [machine, state] : states_) {
        if (state.next_probe <= monotonic_now) probes.push_back({state.next_probe, machine});
    }
    const std::size_t count = std::min(probes.size(), max_count);
    const auto chosen_end = probes.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(probes.begin(), chosen_end, probes.end());
    std::vector<std::string> machines;
    machines.reserve(count);
    std::transform(probes.begin(), chosen_end, std::back_inserter(machines),
                   [](DueProbe& probe) { return std::move(probe.machine); });
    return machines;
}

void ReachabilityProbes::expedite(const std::string& machine) {
    const auto found = states_.find(machine);
    if (found == states_.end()) return;
    ProbeState& state = found->second;
    state.next_probe = std::min(state.next_probe, state.last_probe + kMinProbeInterval);
}

void ReachabilityProbes::record_probe_sent(const std::string& machine, Micros monotonic_now) {
    const auto found = states_.find(machine);
    if (found == states_.end()) return;
    found->second.next_probe = monotonic_now + kProbeInFlightTime;
    found->second.last_probe = monotonic_now;
}

void ReachabilityProbes::back_off(const std::string& machine, Micros monotonic_now) {
    const auto found = states_.find(machine);
    if (found == states_.end()) return;
    found->second.interval = std::min(found->second.interval * 2, kMaxProbeInterval);
    record_unanswered(machine, monotonic_now);
}

void ReachabilityProbes::record_unanswered(const std::string& machine, Micros monotonic_now) {
    ProbeState& state = states_[machine];
    if (state.unanswered_since.count() == 0) state.unanswered_since = monotonic_now;
    state.next_probe = monotonic_now + state.interval;
}

void ReachabilityProbes::remove_unknown(const core::ClusterView& cluster_view) {
    std::erase_if(states_, [&](const auto& entry) { return cluster_view.find(entry.first) == nullptr; });
}

}  // namespace hatchwind::controller
