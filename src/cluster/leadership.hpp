/// What this controller may do: its incarnation, its leadership lease, and the part that the epoch gives it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "core/epoch.hpp"
#include "store/replicated_state.hpp"

namespace hatchwind::controller {

/// Written by Membership alone; everything else asks before it acts. Times are monotonic.
class Leadership {
  public:
    Leadership(const Settings& settings, const ReplicatedState& replicated);

    /// This incarnation: the controller's label and the store lease that it holds; 0 while it holds none.
    const core::Member& self() const { return self_; }
    /// The label that the settings give this controller, the same in every incarnation.
    const std::string& label() const { return self_.label; }
    /// True while the leadership lease is certainly alive; alone it does not allow anything: see
    /// holds_leadership.
    bool lease_alive(core::Micros monotonic_now) const { return lease_.alive(monotonic_now); }
    /// May this incarnation answer workers, send commands and place tasks? Only while its leadership lease is
    /// certainly alive and the epoch names it as a member.
    bool holds_leadership() const;
    /// Does it deal with the cloud, and write the next epoch?
    bool is_cluster_leader() const;
    /// Does it schedule the team's jobs?
    bool owns_shard(const std::string& team) const;

    /// A new incarnation has written its member key. `requested_at`: when its store lease was asked for.
    void join(std::uint64_t store_lease, core::Micros requested_at, core::Micros ttl);
    /// A renewal of the store lease that was sent then has succeeded.
    void renew(core::Micros sent_at, core::Micros ttl) { lease_.renewed(sent_at, ttl); }
    /// Without its store lease or its member key this incarnation is over.
    void resign();
    /// A peer has voted, when asked at that time, not to remove this controller for `ttl`.
    void record_vote(const std::string& peer, core::Micros asked_at, core::Micros ttl,
                     core::Micros monotonic_now) {
        lease_.record_vote(peer, asked_at, ttl, monotonic_now);
    }

  private:
    const ReplicatedState& replicated_;
    core::Member self_;
    core::LeadershipLease lease_;
};

}  // namespace hatchwind::controller
