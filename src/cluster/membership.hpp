/// Maintains this controller's membership: its store lease and member key, its leadership lease, and the
/// epochs.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "cluster/epoch_renewal.hpp"
#include "cluster/leadership.hpp"
#include "cluster/local_health.hpp"
#include "cluster/peer_directory.hpp"
#include "cluster/peer_links.hpp"
#include "config/settings.hpp"
#include "config/tunables.hpp"
#include "io/loop.hpp"
#include "io/task.hpp"
#include "store/change_signals.hpp"
#include "store/replica.hpp"
#include "store/replicated_state.hpp"
#include "store/store_client.hpp"

namespace hatchwind::controller {

/// The modules that Membership reads and changes.
struct MembershipContext {
    io::Loop& loop;
    const Settings& settings;
    const Tunables& tunables;
    const ReplicatedState& replicated;
    const PeerDirectory& peers;
    const LocalHealth& health;
    const EpochRenewal& epoch_renewal;
    StoreClient& store;
    Replica& replica;
    ChangeSignals& signals;
    Leadership& leadership;
    PeerLinks& links;
};

/// During an outage of the store the members extend each other's leadership leases by votes: a vote means
/// that the voter will not write an epoch that removes the requesting controller. All times are monotonic.
class Membership {
  public:
    explicit Membership(const MembershipContext& context)
        : context_(context), started_at_(io::steady_now()) {}

    /// Acquires and renews the store lease and writes the member key. Runs as long as the controller.
    io::Task<void> keep_store_lease();
    /// Writes the next epoch whenever one is needed and this controller may write it. Runs as long as the
    /// controller.
    io::Task<void> keep_epoch();

    /// Returns true if a vote for the extension of another member's lease is safe. The caller then records
    /// the vote with record_vote_given().
    bool may_vote_for_extension() const;
    /// Records that this controller has voted not to remove the member until the given time.
    void record_vote_given(const std::string& label, io::Micros until) { votes_given_until_[label] = until; }
    /// Applies the cancellations that came with a response to an extension request. Records the vote for the
    /// leadership lease if it was given and its request is still remembered.
    void handle_lease_extension_vote(const std::string& from, const wire::LeaseExtensionVote& vote);

  private:
    /// Returns true once this incarnation has a store lease and its own member key.
    io::Task<bool> join();
    io::Task<std::optional<core::Revision>> write_member_key(std::uint64_t store_lease);
    io::Task<void> renew();
    bool lost_member_key() const;
    void request_lease_extension();

    core::EpochInput epoch_input(io::Micros now) const;
    /// Returns true if this controller may write the planned epoch now. The cluster leader may at once; the
    /// others wait for a time that grows with their rank by label, so that they don't all write at once. A
    /// renewal follows the epoch before it after a pause.
    bool may_write(const core::EpochPlan& plan, io::Micros now);
    io::Task<void> write_epoch(core::EpochPlan plan);

    const MembershipContext context_;
    const io::Micros started_at_;
    std::map<std::string, io::Micros> votes_given_until_;  // by label: end of this controller's vote
    // The epoch's mod revision that this controller's last unanswered epoch write was conditional on. Until
    // the epoch has changed, the write may still be carried out, so no vote may be given.
    std::optional<core::Revision> unanswered_epoch_write_;
    bool writing_epoch_ = false;
    core::Revision key_mod_revision_ = 0;  // of this incarnation's member key
    // Starts at the wall clock time, so that a late vote for an earlier incarnation doesn't match a request
    // of this one.
    std::uint64_t extension_request_number_ = static_cast<std::uint64_t>(io::wall_now().count());
    std::map<std::uint64_t, io::Micros> extension_requests_;  // by number: time of sending
    io::Micros epoch_needed_since_{0};                        // 0: no new epoch is needed
};

}  // namespace hatchwind::controller
