// Epochs and leadership leases: who leads, who owns which team, and until when a node may act.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/model.hpp"

namespace hatchwind::core {

// A member is one life of a node: its label and the store lease that this life holds.
struct Member {
    std::string label;
    std::uint64_t store_lease = 0;
    friend bool operator==(const Member&, const Member&) = default;
};

struct Epoch {
    std::uint64_t number = 0;  // also the command fencing token; 0: none was ever written
    std::string leader;
    std::vector<Member> members;
    std::map<std::string, std::string> shard_owners;  // team -> label
    // Time of day at which the last epoch that removed a member was written. No life that is not a member
    // now can have answered a worker after it.
    Micros removed_at{};
    Revision mod_revision = 0;
    std::string unknown_fields;  // of the record, likewise as for Job::unknown_fields

    const Member* member(const std::string& label) const {
        for (const auto& m : members) {
            if (m.label == label) return &m;
        }
        return nullptr;
    }
};

// What a version of the program understands, as bits. A node tells them in its key and in heartbeats, so that
// nothing is stored that another node would misread.
constexpr std::uint64_t kKnowsWaitingJobs = 1;
// Takes its part of the store's writes by core/fair_share.hpp; earlier versions in proportion to
// demand.
constexpr std::uint64_t kSharesWritesFairly = 2;
constexpr std::uint64_t kCapabilities = kKnowsWaitingJobs | kSharesWritesFairly;

struct MemberRecord {
    std::uint64_t store_lease = 0;
    Revision mod_revision = 0;
    std::uint64_t capabilities = 0;
};

struct EpochInput {
    Epoch current;
    std::map<std::string, MemberRecord> member_records;  // the nodes' keys as the store has them
    Member self;
    std::vector<Team> teams;
    std::set<std::string> unhealthy;          // live nodes that say they cannot do their part
    std::set<std::string> protected_members;  // nodes that this one has promised not to remove just now
    bool bound_by_earlier_votes =
        false;  // this life may be bound by extension votes that an earlier one gave
    Micros wall_clock_now{};
};

struct EpochPlan {
    Epoch next;
    std::vector<std::pair<std::string, Revision>>
        member_conditions;  // label -> mod revision its key must still have
};

// The epoch that this node should write now, if any. Only the leader writes while it lives; when it is
// gone, any live node may, and the first commit wins.
std::optional<EpochPlan> plan_epoch(const EpochInput& in);

// Teams over the fit members: stays as it is where it can, moves as little as balance needs.
std::map<std::string, std::string> assign_shards(const std::vector<Team>& teams,
                                                 const std::vector<std::string>& members,
                                                 const std::string& leader,
                                                 const std::map<std::string, std::string>& before);

// Until when this node may act. All times are this node's steady clock.
class LeadershipLease {
  public:
    explicit LeadershipLease(std::vector<std::string> others) : others_(std::move(others)) {}

    // A renewal that was sent then succeeded: the store keeps the store lease for its life from a later
    // moment.
    void renewed(Micros sent, Micros life);
    // Everyone else has promised, for `life` from when they were asked. Counts only while still alive: then
    // every extension vote was given while no one could have removed this node.
    void record_vote(const std::string& from, Micros asked, Micros life, Micros now);
    void lost() { until_ = Micros::min(), extension_votes_.clear(); }
    bool alive(Micros now) const { return now < until(); }
    Micros until() const;

  private:
    static Micros shortened(Micros from, Micros life);
    std::vector<std::string> others_;
    Micros until_ = Micros::min();
    std::map<std::string, Micros> extension_votes_;
};

}  // namespace hatchwind::core
