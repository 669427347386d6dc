/// Keeps this controller a member: its store lease and key, its leadership lease, and the epochs.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

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

/// What membership reads of this controller, and what it changes.
struct MembershipContext {
    io::Loop& loop;
    const Settings& settings;
    const Tunables& tunables;
    const ReplicatedState& replicated;
    const PeerDirectory& peers;
    const LocalHealth& health;
    StoreClient& store;
    Replica& replica;
    ChangeSignals& signals;
    Leadership& leadership;
    PeerLinks& links;
};

/// In an outage of the store the members extend one another's leadership leases by votes: a vote means that
/// the voter will not write an epoch that removes the controller which asked. Times are monotonic.
class Membership {
  public:
    explicit Membership(const MembershipContext& context) : context_(context), started_(io::steady_now()) {}

    /// Acquires the store lease, writes the member key, and renews both. Runs as long as the controller.
    io::Task<void> keep_store_lease();
    /// Writes the next epoch whenever one is needed and this controller may. Runs as long as the controller.
    io::Task<void> keep_epoch();

    /// True when a vote for another member's extension is safe. `PeerMesh` then records it.
    bool may_vote_for_extension() const;
    /// This controller has voted not to remove the member of that label until that time.
    void record_vote_given(const std::string& label, io::Micros until) { protected_until_[label] = until; }
    /// Applies the cancellations that came with a vote. A vote that was given, in answer to a request that
    /// still counts, extends the leadership lease.
    void handle_lease_extension_vote(const std::string& from, const wire::LeaseExtensionVote& vote);

  private:
    /// True once this incarnation has a store lease and its own key.
    io::Task<bool> join();
    io::Task<std::optional<core::Revision>> write_member_key(std::uint64_t store_lease);
    io::Task<void> renew();
    bool lost_member_key() const;
    void request_lease_extension();

    core::EpochInput epoch_input(io::Micros now) const;
    /// Controllers that could all write the next epoch take turns by their labels.
    bool is_turn_to_write(io::Micros now);
    io::Task<void> write_epoch(core::EpochPlan plan);

    const MembershipContext context_;
    const io::Micros started_;
    std::map<std::string, io::Micros> protected_until_;  // label -> until when a vote of ours holds
    // The mod revision on which an epoch write of ours was conditional that got no answer: until the epoch
    // has moved on it may still be carried out, so no vote may be given.
    std::optional<core::Revision> unresolved_;
    bool writing_ = false;
    core::Revision key_mod_revision_ = 0;  // of this incarnation's own key
    // Begins at the time of day: a late vote for an earlier incarnation must not count for this one.
    std::uint64_t extension_request_number_ = static_cast<std::uint64_t>(io::wall_now().count());
    std::map<std::uint64_t, io::Micros> extension_requests_;  // number -> when it was sent
    io::Micros vacant_since_{0};
};

}  // namespace hatchwind::controller
