/// Epochs and leadership leases: who leads, which controller schedules which shard, and until when a
/// controller may act. Pure decisions; `cluster/membership` reads the store, writes epochs and counts votes.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/revision.hpp"
#include "core/team.hpp"
#include "core/time.hpp"

namespace hatchwind::core {

/// One run of a controller's process: its label and the store lease that this run holds. A controller that
/// restarts is another member under the same label.
struct Member {
    std::string label;
    std::uint64_t store_lease = 0;
    friend bool operator==(const Member&, const Member&) = default;
};

/// The record of the current epoch, as the store has it.
struct Epoch {
    std::uint64_t number = 0;  ///< also the fencing token of commands; 0: none was ever written
    std::string leader;        ///< label
    std::vector<Member> members;
    std::map<std::string, std::string> shard_owners;  ///< team -> label
    /// Wall clock: when the last epoch that removed a member was written. No run of a controller that is not
    /// a member now can have answered a worker after it.
    Micros removed_at{};
    Revision mod_revision = 0;
    std::string unknown_fields;  ///< of the record, as Job::unknown_fields

    /// Null when no member has that label.
    const Member* member(const std::string& label) const {
        for (const auto& candidate : members) {
            if (candidate.label == label) return &candidate;
        }
        return nullptr;
    }
};

/// @name Capabilities
/// What a version of the program understands, as bits. A controller tells them in its key and in heartbeats,
/// so that nothing is stored that another controller would misread.
/// @{
constexpr std::uint64_t kKnowsWaitingJobs = 1;
/// Takes its part of the store's writes by core/fair_share.hpp; earlier versions in proportion to demand.
constexpr std::uint64_t kSharesWritesFairly = 2;
/// Understands wire::StartHoldRequest.
constexpr std::uint64_t kHoldsStarts = 4;
constexpr std::uint64_t kCapabilities = kKnowsWaitingJobs | kSharesWritesFairly | kHoldsStarts;
/// @}

/// The key of a live controller, as the store has it. It is bound to the store lease and goes with it.
struct MemberRecord {
    std::uint64_t store_lease = 0;
    Revision mod_revision = 0;
    std::uint64_t capabilities = 0;
};

/// What plan_epoch decides by.
struct EpochInput {
    Epoch current;
    std::map<std::string, MemberRecord> member_records;  ///< by label
    Member self;
    std::vector<Team> teams;
    std::set<std::string> unhealthy;  ///< labels of live controllers that say they cannot do their part
    std::set<std::string> protected_members;  ///< labels for which this one's extension votes still count
    /// This run may be bound by extension votes that an earlier one gave.
    bool bound_by_earlier_votes = false;
    Micros wall_clock_now{};
};

/// A member's key must still have this mod revision; 0: it must not exist.
struct MemberCondition {
    std::string label;
    Revision mod_revision = 0;
    friend bool operator==(const MemberCondition&, const MemberCondition&) = default;
};

/// An epoch to write by compare-and-swap: on the mod revision in `next` and on all member conditions.
struct EpochPlan {
    Epoch next;
    std::vector<MemberCondition> member_conditions;
};

/// The epoch that this controller should write now, if any. Only the leader writes while it lives; when it is
/// gone, any live controller may, and the first commit wins. No member is removed while an extension vote
/// that this controller gave may still protect it.
std::optional<EpochPlan> plan_epoch(const EpochInput& input);

/// Assigns each team to a member: stays as it is where it can, and moves as little as balance needs. The
/// loads differ by one team at most. Empty when there are no members.
std::map<std::string, std::string> assign_shards(const std::vector<Team>& teams,
                                                 const std::vector<std::string>& members,
                                                 const std::string& leader,
                                                 const std::map<std::string, std::string>& previous);

/// Until when this controller may act. All times are of its monotonic clock.
class LeadershipLease {
  public:
    /// `others`: labels of all other members; each of them has to vote for an extension.
    explicit LeadershipLease(std::vector<std::string> others) : others_(std::move(others)) {}

    /// A renewal of the store lease that was sent at `sent_at` succeeded: the store keeps the lease for
    /// `time_to_live` from a later moment.
    void renewed(Micros sent_at, Micros time_to_live);
    /// `voter` will not remove this controller for `time_to_live` from `requested_at`. Counts only while the
    /// lease is alive: then every vote was given while no one could have removed this controller.
    void record_vote(const std::string& voter, Micros requested_at, Micros time_to_live,
                     Micros monotonic_now);
    /// The store lease, or the key of this member, is gone: the leadership lease ends at once.
    void lost();
    /// The controller may act now.
    bool alive(Micros monotonic_now) const { return monotonic_now < until(); }
    /// Micros::min() when it is not held.
    Micros until() const { return until_; }

  private:
    static Micros safe_end(Micros start, Micros time_to_live);
    /// The time until which the votes of all others last; nothing while one is missing.
    std::optional<Micros> end_of_full_vote() const;

    std::vector<std::string> others_;
    Micros until_ = Micros::min();
    std::map<std::string, Micros> extension_votes_;  // voter -> safe end of its vote
};

}  // namespace hatchwind::core
