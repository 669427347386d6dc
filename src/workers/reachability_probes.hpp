/// The machines that have not yet answered this controller, with the time of each machine's next probe.
///
/// Owns the probe table. `WorkerStatus`, `CommandSender` and `ReachabilityMonitor` update it; all other
/// modules only read it. All times are monotonic.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "core/cluster_view.hpp"
#include "core/time.hpp"

namespace hatchwind::controller {

/// Minimum time between two probes of a machine that has not answered.
inline constexpr core::Micros kMinProbeInterval{500'000};

/// The probes of one machine.
struct ProbeState {
    core::Micros unanswered_since{0};  ///< time of the first unanswered request; 0: none
    core::Micros next_probe{0};
    core::Micros interval{kMinProbeInterval};  ///< between probes; doubled by each unanswered probe
    core::Micros last_probe{0};
};

/// Holds the machines that have not answered this controller's last request, or were never sent one. A
/// heartbeat doesn't prove that a machine is reachable: it may be a late copy, or come from a machine that
/// sends but doesn't receive.
class ReachabilityProbes {
  public:
    /// By machine.
    using States = std::map<std::string, ProbeState>;

    /// All machines that have not answered yet.
    const States& states() const { return states_; }
    /// Returns null if the machine has answered or is not known.
    const ProbeState* find(const std::string& machine) const;
    /// Returns at most `max_count` machines whose probe is due, the longest overdue first. In the order of
    /// their names, a few dozen dead machines would use up all probes, and live machines after them would
    /// stay unused.
    std::vector<std::string> due(core::Micros monotonic_now, std::size_t max_count) const;
    /// Returns true if the machine has left this controller's requests unanswered for longer than `duration`.
    static bool is_unanswered_for(const ProbeState& state, core::Micros duration,
                                  core::Micros monotonic_now) {
        return state.unanswered_since.count() != 0 && monotonic_now - state.unanswered_since > duration;
    }

    /// Requires an answer of the machine before it counts as reachable: adds it to the table, due at once.
    void request(const std::string& machine) { states_.try_emplace(machine); }
    /// Moves the next probe of a machine that sends heartbeats again forward, to kMinProbeInterval after the
    /// last probe, instead of waiting for the full backoff interval.
    void expedite(const std::string& machine);
    /// Records that a probe of the machine is being sent. The machine is not due again while that probe may
    /// be in flight. Ignored if the machine is not in the table.
    void record_probe_sent(const std::string& machine, core::Micros monotonic_now);
    /// Records an unanswered probe: doubles the interval to the next one, up to a bound. Ignored if the
    /// machine is not in the table.
    void back_off(const std::string& machine, core::Micros monotonic_now);
    /// Records an unanswered request of any kind, and adds the machine to the table if it isn't there.
    void record_unanswered(const std::string& machine, core::Micros monotonic_now);
    /// Removes a machine that has answered or was released.
    void remove(const std::string& machine) { states_.erase(machine); }
    /// Removes machines that are not in the cluster view.
    void remove_unknown(const core::ClusterView& cluster_view);

  private:
    States states_;
};

}  // namespace hatchwind::controller
