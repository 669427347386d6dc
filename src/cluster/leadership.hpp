/// What this controller is allowed to do: its incarnation, its leadership lease, and its role in the epoch.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "core/epoch.hpp"
#include "store/replicated_state.hpp"

namespace hatchwind::controller {

/// Written only by Membership; all other modules check it before they act. All times are monotonic.
class Leadership {
  public:
    Leadership(const Settings& settings, const ReplicatedState& replicated);

    /// This incarnation: the controller's label and its store lease; the lease is 0 while it holds none.
    const core::Member& self() const { return self_; }
    /// The controller's label from the settings, which is the same in every incarnation.
    const std::string& label() const { return self_.label; }
    /// Returns true while the leadership lease is certainly valid. This alone permits nothing: see
    /// holds_leadership().
    bool lease_valid(core::Micros monotonic_now) const { return lease_.is_valid(monotonic_now); }
    /// Returns true if this incarnation may answer workers, send commands and place tasks: the replica is
    /// loaded, the leadership lease is certainly valid, and the epoch names this incarnation as a member.
    bool holds_leadership() const;
    /// Returns true if this controller manages cloud instances and writes the next epoch.
    bool is_cluster_leader() const;
    /// Returns true if this controller schedules the team's jobs.
    bool owns_shard(const std::string& team) const;

    /// Records that a new incarnation has written its member key. `requested_at`: when its store lease was
    /// requested.
    void join(std::uint64_t store_lease, core::Micros requested_at, core::Micros ttl);
    /// Records a successful renewal of the store lease that was requested at `sent_at`.
    void renew(core::Micros sent_at, core::Micros ttl) { lease_.record_renewal(sent_at, ttl); }
    /// Ends this incarnation after it has lost its store lease or its member key.
    void resign();
    /// Records that a peer has voted not to remove this controller for `ttl` from `requested_at`.
    void record_vote(const std::string& peer, core::Micros requested_at, core::Micros ttl,
                     core::Micros monotonic_now) {
        lease_.record_vote(peer, requested_at, ttl, monotonic_now);
    }

  private:
    const ReplicatedState& replicated_;
    core::Member self_;
    core::LeadershipLease lease_;
};

}  // namespace hatchwind::controller
