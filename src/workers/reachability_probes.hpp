/// Machines that have yet to show that they answer this controller, and when each is probed next.
///
/// Owns the probe table. `WorkerStatus`, `CommandSender` and `ReachabilityMonitor` report what they have
/// seen; all others read. All times are monotonic.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "core/cluster_view.hpp"
#include "core/time.hpp"

namespace hatchwind::controller {

/// The least time between two probes of a machine, unless it answered the first.
inline constexpr core::Micros kMinProbeInterval{500'000};

/// How a machine has taken this controller's requests.
struct ProbeState {
    core::Micros unanswered_since{0};  ///< 0: never asked, so nothing is known against it
    core::Micros next_probe{0};
    core::Micros interval{kMinProbeInterval};  ///< between probes; doubled by each that stays unanswered
    core::Micros last_probe{0};
};

/// A heartbeat alone proves nothing: it may be a late copy, or come from a machine that only sends. A machine
/// in this table has not answered this controller's last request, or was never asked.
class ReachabilityProbes {
  public:
    /// By machine.
    using States = std::map<std::string, ProbeState>;

    /// All machines that have yet to answer.
    const States& states() const { return states_; }
    /// Null: the machine has answered, or is not known.
    const ProbeState* find(const std::string& machine) const;
    /// At most `max_count` machines whose probe is due, the longest overdue first. In the order of names some
    /// dozens of dead machines took all the turns, and live ones behind them stayed unused.
    std::vector<std::string> due(core::Micros monotonic_now, std::size_t max_count) const;
    /// The machine has left this controller's requests unanswered for longer than `duration`.
    static bool is_unanswered_for(const ProbeState& state, core::Micros duration,
                                  core::Micros monotonic_now) {
        return state.unanswered_since.count() != 0 && monotonic_now - state.unanswered_since > duration;
    }

    /// The machine has to answer before it counts as reachable.
    void request(const std::string& machine) { states_.try_emplace(machine); }
    /// A machine that did not answer before has something to say now: it is probed soon, not after the
    /// interval that its silence earned.
    void expedite(const std::string& machine);
    /// A probe of the machine, which is in the table, is being sent. It is not due again while that probe may
    /// be under way.
    void record_probe_sent(const std::string& machine, core::Micros monotonic_now);
    /// A probe of the machine stayed unanswered: the next one waits twice as long, up to a bound.
    void back_off(const std::string& machine, core::Micros monotonic_now);
    /// Any request to the machine stayed unanswered.
    void record_unanswered(const std::string& machine, core::Micros monotonic_now);
    /// The machine has answered, or is gone.
    void remove(const std::string& machine) { states_.erase(machine); }
    /// Drops machines that the cluster view does not have.
    void remove_unknown(const core::ClusterView& cluster_view);

  private:
    States states_;
};

}  // namespace hatchwind::controller
