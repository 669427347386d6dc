/// Epochs and leadership leases: which controller is the leader, which controller schedules which shard, and
/// until when a controller may act. Pure functions and state without input or output; `cluster/membership`
/// reads the store, writes epochs and collects votes.
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

/// One run of a controller process, identified by the controller's label and the store lease of this run. A
/// restarted controller is a different member with the same label.
struct Member {
    std::string label;
    std::uint64_t store_lease = 0;
    friend bool operator==(const Member&, const Member&) = default;
};

/// The epoch record in the store.
struct Epoch {
    std::uint64_t number = 0;  ///< also the fencing token of commands; 0: no epoch was written yet
    std::string leader;        ///< label
    std::vector<Member> members;
    std::map<std::string, std::string> shard_owners;  ///< team -> label
    /// Wall clock: when the last epoch that removed a member was written. A controller run that is not a
    /// member of this epoch cannot have answered a worker after this time.
    Micros removed_at{};
    Revision mod_revision = 0;
    std::string unknown_fields;  ///< see Job::unknown_fields

    /// Returns the member with the given label, or null.
    const Member* member(const std::string& label) const {
        for (const auto& candidate : members) {
            if (candidate.label == label) return &candidate;
        }
        return nullptr;
    }
};

/// @name Capabilities
/// Features that a version of the program supports, as bits. A controller announces them in its member key
/// and in heartbeats to its peers, so that nothing is stored that another controller would misinterpret.
/// @{
/// Supports jobs that wait for their dependencies, see kWaitingTeam.
constexpr std::uint64_t kSupportsWaitingJobs = 1;
/// Divides the store's write rate among controllers by core/fair_share.hpp. Earlier versions divide it in
/// proportion to demand.
constexpr std::uint64_t kSupportsFairWriteShare = 2;
/// Supports wire::StartHoldRequest.
constexpr std::uint64_t kSupportsStartHolds = 4;
constexpr std::uint64_t kCapabilities = kSupportsWaitingJobs | kSupportsFairWriteShare | kSupportsStartHolds;
/// @}

/// The member key of a live controller in the store. It is attached to the store lease, so the store deletes
/// it when the lease expires.
struct MemberRecord {
    std::uint64_t store_lease = 0;
    Revision mod_revision = 0;
    std::uint64_t capabilities = 0;
};

/// Input of plan_epoch().
struct EpochInput {
    Epoch current;
    std::map<std::string, MemberRecord> member_records;  ///< by label
    Member self;
    std::vector<Team> teams;
    std::set<std::string> unhealthy;  ///< labels of live controllers that report themselves unhealthy
    /// Labels for which extension votes of this controller are still in force.
    std::set<std::string> protected_members;
    /// True if extension votes by an earlier run of this controller may still be in force.
    bool bound_by_earlier_votes = false;
    /// True if an epoch should be written even if it changes nothing but the number.
    bool renewal_requested = false;
    Micros wall_clock_now{};
};

/// Condition of an epoch write: the member key of `label` has this mod revision; 0: the key does not exist.
struct MemberCondition {
    std::string label;
    Revision mod_revision = 0;
    friend bool operator==(const MemberCondition&, const MemberCondition&) = default;
};

/// An epoch to be written by compare-and-swap, conditional on the mod revision in `next` and all member
/// conditions.
struct EpochPlan {
    Epoch next;
    std::vector<MemberCondition> member_conditions;
    bool is_renewal = false;  ///< changes nothing but the number
};

/// Returns the epoch that this controller should write now, or nothing. Only the leader writes epochs while
/// its member key exists; otherwise any live controller may, and the first commit wins. Returns nothing if a
/// member would have to be removed that an extension vote of this controller may still protect. Any live
/// member may write a renewal, which removes nobody.
std::optional<EpochPlan> plan_epoch(const EpochInput& input);

/// Assigns each team's shard to a member and returns member labels by team. Keeps previous owners unless
/// balance requires a move; the numbers of teams per member differ by at most one. Returns an empty map if
/// there are no members.
std::map<std::string, std::string> assign_shards(const std::vector<Team>& teams,
                                                 const std::vector<std::string>& members,
                                                 const std::string& leader,
                                                 const std::map<std::string, std::string>& previous);

/// Tracks until when this controller may act. All times are monotonic.
class LeadershipLease {
  public:
    /// `others`: labels of all other members. An extension needs the vote of each of them.
    explicit LeadershipLease(std::vector<std::string> others) : others_(std::move(others)) {}

    /// Extends the lease after a successful renewal of the store lease. `sent_at`: when the renewal was sent,
    /// which is before the store began to count `time_to_live`.
    void record_renewal(Micros sent_at, Micros time_to_live);
    /// Records that `voter` promised not to remove this controller for `time_to_live` from `requested_at`.
    /// Ignored if the lease has expired, because another controller may then have removed this one before the
    /// vote was given.
    void record_vote(const std::string& voter, Micros requested_at, Micros time_to_live,
                     Micros monotonic_now);
    /// Ends the leadership lease at once, because the store lease or this controller's member key no longer
    /// exists.
    void invalidate();
    /// Returns true if the controller may act now.
    bool is_valid(Micros monotonic_now) const { return monotonic_now < until(); }
    /// Returns the end of the lease; Micros::min() if it is not held.
    Micros until() const { return until_; }

  private:
    static Micros safe_end(Micros start, Micros time_to_live);
    /// Returns the time until which the votes of all other members are in force, or nothing if a vote is
    /// missing.
    std::optional<Micros> end_of_unanimous_vote() const;

    std::vector<std::string> others_;
    Micros until_ = Micros::min();
    std::map<std::string, Micros> extension_votes_;  // voter -> safe end of its vote
};

}  // namespace hatchwind::core
