#include "core/epoch.hpp"

#include <array>
#include <list>

#include "support.hpp"

namespace hatchwind {
namespace {

using core::EpochInput;
using core::LeadershipLease;
using core::Micros;
using test::check_property;

constexpr Micros kStoreLeaseTtl{2'000'000};
constexpr Micros kVoteTtl{1'000'000};

std::vector<core::Team> teams(int count) {
    std::vector<core::Team> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) result.push_back({"t" + std::to_string(i), 1, 2, 0, 0});
    return result;
}

TEST(ShardAssignment, AssignsEveryTeamAndIsBalancedAndStable) {
    check_property("assignment", [] {
        const auto assigned_teams = teams(*rc::gen::inRange(1, 9));
        std::map<std::string, std::string> before;
        for (int round = 0; round < 4; ++round) {
            std::vector<std::string> members;
            for (const char* member : {"a", "b", "c"}) {
                if (*rc::gen::arbitrary<bool>()) members.emplace_back(member);
            }
            if (members.empty()) continue;
            const auto owners = core::assign_shards(assigned_teams, members, members.front(), before);
            RC_ASSERT(owners.size() == assigned_teams.size());
            std::map<std::string, std::size_t> load;
            for (const auto& member : members) load[member] = 0;
            for (const auto& [team, owner] : owners) {
                RC_ASSERT(load.contains(owner));
                ++load[owner];
            }
            for (const auto& [member, count] : load) {
                RC_ASSERT(count >= assigned_teams.size() / members.size());
                RC_ASSERT(count <= (assigned_teams.size() + members.size() - 1) / members.size());
            }
            RC_ASSERT(core::assign_shards(assigned_teams, members, members.front(), owners) == owners);
            before = owners;
        }
    });
}

TEST(LeadershipLease, ExpiresBeforeTheStoreLeaseAndIsExtendedOnlyByAllVotes) {
    LeadershipLease lease({"b", "c"});
    EXPECT_FALSE(lease.is_valid(Micros{0}));
    lease.record_renewal(Micros{10'000'000}, kStoreLeaseTtl);
    EXPECT_LT(lease.until(), Micros{12'000'000});
    const Micros end = lease.until();
    lease.record_vote("b", Micros{11'500'000}, kVoteTtl, Micros{11'600'000});
    EXPECT_EQ(lease.until(), end) << "one of two votes extends nothing";
    lease.record_vote("c", Micros{11'500'000}, kVoteTtl, Micros{11'600'000});
    EXPECT_GT(lease.until(), end);
    EXPECT_LT(lease.until(), Micros{12'500'000});
    const Micros extended_end = lease.until();
    // Votes after the lease has expired do not count: another controller may have removed this one before
    // voting.
    lease.record_vote("b", Micros{12'600'000}, kVoteTtl, Micros{12'600'000});
    lease.record_vote("c", Micros{12'600'000}, kVoteTtl, Micros{12'600'000});
    EXPECT_EQ(lease.until(), extended_end);
}

// Simulates controllers that follow the rules of the membership loop. The store may be unreachable for some
// of them, messages are delayed, duplicated or lost, and controllers crash and restart. Checks that no
// controller run holds a leadership lease after an epoch without it was written, and that the fencing token
// never decreases.
class MembershipSimulation {
  public:
    enum class Refusals { some, everybody };

    explicit MembershipSimulation(Refusals refusals) : refusals_(refusals) {}

    void run(int steps) {
        for (int i = 0; i < 3; ++i) start_controller(i);
        for (int step = 0; step < steps; ++step) {
            now_ += Micros{*rc::gen::element(20'000, 60'000, 150'000, 400'000)};
            expire_store_leases();
            deliver();
            const int i = *rc::gen::inRange(0, 3);
            switch (*rc::gen::inRange(0, 16)) {
                case 0:
                    restart_controller(i);
                    break;
                case 1:
                    refused_by_store_[i] = !refused_by_store_[i];
                    break;
                case 2:
                    set_store_down(!store_down_);
                    break;
                case 3:
                    partitioned_[i] = !partitioned_[i];
                    break;
                case 4:
                    responses_lost_[i] = !responses_lost_[i];  // requests arrive, but responses are lost
                    break;
                case 5:
                    for (int n = 0; n < 3; ++n) restart_controller(n);
                    break;
                case 6:
                    if (refusals_ == Refusals::everybody) refused_by_store_.fill(true);
                    break;
                case 7:
                    if (refusals_ == Refusals::everybody) refused_by_store_[i] = false;
                    break;
                default:
                    break;
            }
            for (int n = 0; n < 3; ++n) step_controller(n);
            check();
        }
        RC_TAG(epoch_.number > 1 ? "epochs changed" : "one epoch");
    }

  private:
    struct Controller {
        core::Member self;
        std::unique_ptr<LeadershipLease> leadership_lease;
        Micros started{};
        Micros asked{};
        Micros unreachable_since{};  // 0: the last request was answered
        std::map<std::string, Micros> protected_members;
        std::optional<core::Revision> uncertain_write;
    };
    struct EpochWrite {
        core::EpochPlan plan;
        core::Revision expected_revision = 0;
        Micros due_at{};
    };

    // A write of a controller run's own member key, which the store may apply late or twice.
    struct KeyWrite {
        std::string label;
        std::uint64_t store_lease = 0;
        core::Revision expected_revision = 0;
        Micros due_at{};
    };

    static std::string label(int i) { return {static_cast<char>('a' + i)}; }
    bool reaches_store(int i) const {
        return !store_down_ && !refused_by_store_[i] && !partitioned_[i] && !responses_lost_[i];
    }
    core::Revision key_revision(const std::string& member_label) const {
        const auto record = member_records_.find(member_label);
        return record == member_records_.end() ? 0 : record->second.mod_revision;
    }
    bool apply(const KeyWrite& write) {
        // Conditional on the revision of the key that the writer read.
        if (!store_leases_.contains(write.store_lease) ||
            key_revision(write.label) != write.expected_revision)
            return false;
        member_records_[write.label] = {write.store_lease, ++revision_};
        return true;
    }

    void start_controller(int i) {
        Controller controller;
        controller.self.label = label(i);
        std::vector<std::string> others;
        for (int k = 0; k < 3; ++k) {
            if (k != i) others.push_back(label(k));
        }
        controller.leadership_lease = std::make_unique<LeadershipLease>(others);
        controller.started = now_;
        controllers_[i] = std::move(controller);
    }
    void restart_controller(int i) { start_controller(i); }
    void set_store_down(bool store_down) {
        if (store_down_ && !store_down) {
            // The store grants all leases their full time to live after an outage.
            for (auto& [store_lease, expires_at] : store_leases_) expires_at = now_ + kStoreLeaseTtl;
        }
        store_down_ = store_down;
    }
    void expire_store_leases() {
        if (store_down_) return;
        for (auto lease = store_leases_.begin(); lease != store_leases_.end();) {
            if (lease->second > now_) {
                ++lease;
                continue;
            }
            std::erase_if(member_records_,
                          [&](const auto& record) { return record.second.store_lease == lease->first; });
            lease = store_leases_.erase(lease);
        }
    }
    bool is_applicable(const EpochWrite& write) const {
        const auto& conditions = write.plan.member_conditions;
        return epoch_.mod_revision == write.expected_revision &&
               std::all_of(conditions.begin(), conditions.end(), [&](const core::MemberCondition& condition) {
                   return key_revision(condition.label) == condition.mod_revision;
               });
    }
    void apply(const EpochWrite& write) {
        if (!is_applicable(write)) return;
        RC_ASSERT(write.plan.next.number > epoch_.number);
        epoch_ = write.plan.next;
        epoch_.mod_revision = ++revision_;
    }
    void deliver() {
        if (store_down_) return;
        const auto apply_due = [&](auto& queue) {
            for (auto write = queue.begin(); write != queue.end();) {
                if (write->due_at > now_) {
                    ++write;
                    continue;
                }
                apply(*write);
                write = queue.erase(write);
            }
        };
        apply_due(delayed_key_writes_);
        apply_due(delayed_epoch_writes_);
    }
    void step_controller(int i) {
        Controller& controller = controllers_[i];
        const bool store_reachable = reaches_store(i);
        if (store_reachable) {
            controller.unreachable_since = Micros{0};
        } else if (controller.unreachable_since.count() == 0) {
            controller.unreachable_since = now_;
        }
        if (responses_lost_[i] && !store_down_ && !refused_by_store_[i] && controller.self.store_lease != 0 &&
            store_leases_.contains(controller.self.store_lease)) {
            // The store renews the lease, but the response is lost.
            store_leases_[controller.self.store_lease] = now_ + kStoreLeaseTtl;
        }
        if (!keep_leases(i, store_reachable)) return;
        if (!store_reachable || controller.self.store_lease == 0 ||
            !controller.leadership_lease->is_valid(now_))
            return;
        write_epoch(controller);
    }
    // Returns false if the controller has to join again with a new store lease.
    bool keep_leases(int i, bool store_reachable) {
        Controller& controller = controllers_[i];
        if (store_reachable && controller.self.store_lease == 0) return join(controller);
        if (store_reachable) return renew(controller);
        if (controller.leadership_lease->is_valid(now_)) request_votes(i);
        return true;
    }
    bool join(Controller& controller) {
        const std::uint64_t store_lease = ++last_store_lease_;
        store_leases_[store_lease] = now_ + kStoreLeaseTtl;
        const KeyWrite write{controller.self.label, store_lease, key_revision(controller.self.label),
                             now_ + Micros{*rc::gen::inRange(0, 4'000'000)}};
        const int outcome = *rc::gen::inRange(0, 4);
        if (outcome <= 1) delayed_key_writes_.push_back(write);
        if (outcome == 0) return false;  // no response: joins again with a new store lease
        if (apply(write)) {
            controller.self.store_lease = store_lease;
            controller.leadership_lease->record_renewal(now_, kStoreLeaseTtl);
        }
        return true;
    }
    bool renew(Controller& controller) {
        const auto lease = store_leases_.find(controller.self.store_lease);
        if (lease == store_leases_.end()) {
            controller.self.store_lease = 0;
            controller.leadership_lease->invalidate();
            return false;
        }
        lease->second = now_ + kStoreLeaseTtl;
        controller.leadership_lease->record_renewal(now_, kStoreLeaseTtl);
        return true;
    }
    void request_votes(int i) {
        const Micros requested_at = now_;
        for (int k = 0; k < 3; ++k) {
            if (k == i || partitioned_[i] || partitioned_[k] || !may_vote(controllers_[k])) continue;
            controllers_[k].protected_members[controllers_[i].self.label] = now_ + kVoteTtl;
            controllers_[i].leadership_lease->record_vote(label(k), requested_at, kVoteTtl, now_);
        }
    }
    bool may_vote(const Controller& voter) const {
        const bool uncertain_write = voter.uncertain_write && *voter.uncertain_write == epoch_.mod_revision;
        return voter.self.store_lease != 0 && voter.unreachable_since.count() != 0 &&
               now_ - voter.unreachable_since >= Micros{600'000} && !uncertain_write;
    }
    void write_epoch(Controller& controller) {
        EpochInput input;
        input.current = epoch_;
        input.member_records = member_records_;
        input.self = controller.self;
        input.teams = teams(3);
        for (const auto& [member_label, protected_until] : controller.protected_members) {
            if (protected_until > now_) input.protected_members.insert(member_label);
        }
        input.bound_by_earlier_votes = is_bound_by_earlier_votes(controller);
        input.wall_clock_now = now_;
        input.renewal_requested = *rc::gen::inRange(0, 4) == 0;
        const auto plan = core::plan_epoch(input);
        if (!plan) return;
        const EpochWrite write{*plan, epoch_.mod_revision, now_ + Micros{*rc::gen::inRange(0, 3'000'000)}};
        if (*rc::gen::inRange(0, 3) != 0) {
            apply(write);
            return;
        }
        delayed_epoch_writes_.push_back(write);  // no response: the store may apply it much later
        if (!write.plan.is_renewal) controller.uncertain_write = epoch_.mod_revision;
        if (*rc::gen::arbitrary<bool>()) delayed_epoch_writes_.push_back(write);
    }
    bool has_member_key(const core::Member& member) const {
        const auto key = member_records_.find(member.label);
        return key != member_records_.end() && key->second.store_lease == member.store_lease;
    }
    bool is_bound_by_earlier_votes(const Controller& controller) const {
        return now_ - controller.started < kVoteTtl;
    }
    // Returns true if no other controller may write an epoch without this one.
    bool all_others_are_bound(const std::string& member_label) const {
        return std::all_of(controllers_.begin(), controllers_.end(), [&](const Controller& other) {
            if (other.self.label == member_label || is_bound_by_earlier_votes(other)) return true;
            const auto vote = other.protected_members.find(member_label);
            return vote != other.protected_members.end() && vote->second > now_;
        });
    }
    bool late_write_may_remove(const core::Member& self) const {
        return std::any_of(delayed_epoch_writes_.begin(), delayed_epoch_writes_.end(),
                           [&](const EpochWrite& write) {
                               const auto* member = write.plan.next.member(self.label);
                               const bool keeps = member != nullptr && *member == self;
                               return !keeps && is_applicable(write);
                           });
    }
    void check() {
        RC_ASSERT(epoch_.number >= last_fencing_token_);
        last_fencing_token_ = epoch_.number;
        if (epoch_.number == 0) return;
        for (const auto& controller : controllers_) {
            if (controller.self.store_lease == 0 || !controller.leadership_lease->is_valid(now_)) continue;
            // Without its member key the others could remove it, unless all of them are bound by votes.
            RC_ASSERT(has_member_key(controller.self) || all_others_are_bound(controller.self.label));
            const auto* member = epoch_.member(controller.self.label);
            const bool was_member =
                members_so_far_.contains({controller.self.label, controller.self.store_lease});
            const bool is_member = member != nullptr && *member == controller.self;
            // If a removed member still held a valid lease, two controllers could act for the same teams.
            RC_ASSERT(!was_member || is_member);
            RC_ASSERT(!is_member || !late_write_may_remove(controller.self));
            if (is_member) members_so_far_.insert({controller.self.label, controller.self.store_lease});
        }
        if (epoch_.member(epoch_.leader) == nullptr) RC_FAIL("the leader is not a member");
    }

    const Refusals refusals_;
    Micros now_{1'000'000};
    std::array<Controller, 3> controllers_;
    std::array<bool, 3> refused_by_store_{};
    std::array<bool, 3> partitioned_{};
    std::array<bool, 3> responses_lost_{};
    bool store_down_ = false;
    std::map<std::uint64_t, Micros> store_leases_;
    std::map<std::string, core::MemberRecord> member_records_;
    core::Epoch epoch_;
    core::Revision revision_ = 0;
    std::uint64_t last_store_lease_ = 0;
    std::uint64_t last_fencing_token_ = 0;
    std::list<EpochWrite> delayed_epoch_writes_;
    std::list<KeyWrite> delayed_key_writes_;
    std::set<std::pair<std::string, std::uint64_t>> members_so_far_;
};

TEST(Membership, NoRemovedMemberHoldsALeadershipLeaseUnderFaults) {
    check_property("crashes, instant restarts, cuts, refusals, outages, late writes", [] {
        MembershipSimulation simulation{MembershipSimulation::Refusals::some};
        simulation.run(150);
    });
}

// The member keys then expire while the controllers vote for one another.
TEST(Membership, NoRemovedMemberHoldsALeadershipLeaseWhenTheStoreRefusesEverybody) {
    check_property("refusals of all controllers, then of all but one", [] {
        MembershipSimulation simulation{MembershipSimulation::Refusals::everybody};
        simulation.run(150);
    });
}

TEST(Membership, ALiveLeaderIsNotReplacedAndADeadOneIs) {
    EpochInput input;
    input.self = {"b", 2};
    input.teams = teams(2);
    input.current.number = 4;
    input.current.leader = "a";
    input.current.members = {{"a", 1}, {"b", 2}};
    input.current.mod_revision = 9;
    input.member_records = {{"a", {1, 5}}, {"b", {2, 6}}};
    EXPECT_FALSE(core::plan_epoch(input).has_value());
    input.member_records.erase("a");
    const auto plan = core::plan_epoch(input);
    ASSERT_TRUE(plan.has_value());
    EXPECT_EQ(plan->next.leader, "b");
    EXPECT_EQ(plan->next.number, 5U);
    EXPECT_EQ(plan->member_conditions, (std::vector<core::MemberCondition>{{"a", 0}, {"b", 6}}));
    // A new run under the same label: its predecessor counts as removed, and the new run as a new member.
    input.member_records["a"] = {7, 8};
    EXPECT_EQ(core::plan_epoch(input)->member_conditions.front(), (core::MemberCondition{"a", 8}));
    input.protected_members.insert("a");
    EXPECT_FALSE(core::plan_epoch(input).has_value()) << "a vote binds";
}

TEST(Membership, AnyLiveMemberRenewsAnUnchangedEpoch) {
    EpochInput input;
    input.teams = teams(2);
    input.member_records = {{"a", {1, 1}}, {"b", {2, 2}}};
    input.self = {"a", 1};
    const auto first = core::plan_epoch(input);
    ASSERT_TRUE(first);
    input.current = first->next;
    EXPECT_FALSE(core::plan_epoch(input));
    input.renewal_requested = true;
    for (const core::Member& member : first->next.members) {
        input.self = member;
        const auto renewed = core::plan_epoch(input);
        ASSERT_TRUE(renewed);
        EXPECT_TRUE(renewed->is_renewal);
        EXPECT_EQ(renewed->next.number, first->next.number + 1);
        EXPECT_EQ(renewed->next.leader, "a");
        EXPECT_EQ(renewed->next.members, first->next.members);
        EXPECT_EQ(renewed->next.shard_owners, first->next.shard_owners);
        EXPECT_EQ(renewed->next.removed_at, first->next.removed_at);
        ASSERT_EQ(renewed->member_conditions.size(), 1U);
        EXPECT_EQ(renewed->member_conditions[0].label, member.label);
    }
    input.self = {"b", 7};
    EXPECT_FALSE(core::plan_epoch(input)) << "another run of the controller is not a member";
}

TEST(Membership, AnUnhealthyLeaderHandsOver) {
    EpochInput input;
    input.self = {"a", 1};
    input.teams = teams(2);
    input.current.number = 4;
    input.current.leader = "a";
    input.current.members = {{"a", 1}, {"b", 2}};
    input.member_records = {{"a", {1, 5}}, {"b", {2, 6}}};
    input.current.shard_owners = {{"t0", "a"}, {"t1", "b"}};
    EXPECT_FALSE(core::plan_epoch(input).has_value());
    input.unhealthy = {"a"};
    const auto plan = core::plan_epoch(input);
    ASSERT_TRUE(plan.has_value());
    EXPECT_EQ(plan->next.leader, "b");
    for (const auto& [team, owner] : plan->next.shard_owners) EXPECT_EQ(owner, "b");
}

}  // namespace
}  // namespace hatchwind
