#include "core/epoch.hpp"

#include <array>
#include <list>

#include "support.hpp"

namespace hatchwind {
namespace {

using core::EpochInput;
using core::LeadershipLease;
using core::Micros;
using test::holds;

constexpr Micros kLife{2'000'000};
constexpr Micros kPromise{1'000'000};

std::vector<core::Team> teams(int n) {
    std::vector<core::Team> out;
    out.reserve(static_cast<std::size_t>(n));
    for (int i = 0; i < n; ++i) out.push_back({"t" + std::to_string(i), 1, 2, 0, 0});
    return out;
}

TEST(ShardAssignment, GivesEveryTeamALiveShardOwnerAndMovesFew) {
    holds("assignment", [] {
        const auto ts = teams(*rc::gen::inRange(1, 9));
        std::map<std::string, std::string> before;
        for (int round = 0; round < 4; ++round) {
            std::vector<std::string> members;
            for (const char* m : {"a", "b", "c"}) {
                if (*rc::gen::arbitrary<bool>()) members.emplace_back(m);
            }
            if (members.empty()) continue;
            const auto out = core::assign_shards(ts, members, members.front(), before);
            RC_ASSERT(out.size() == ts.size());
            std::map<std::string, std::size_t> load;
            for (const auto& m : members) load[m] = 0;
            for (const auto& [t, o] : out) {
                RC_ASSERT(load.contains(o));
                ++load[o];
            }
            for (const auto& [m, n] : load) {
                RC_ASSERT(n >= ts.size() / members.size());
                RC_ASSERT(n <= (ts.size() + members.size() - 1) / members.size());
            }
            RC_ASSERT(core::assign_shards(ts, members, members.front(), out) == out);
            before = out;
        }
    });
}

TEST(LeadershipLease, EndsBeforeTheStoreLeaseCouldAndNeedsEveryVote) {
    LeadershipLease m({"b", "c"});
    EXPECT_FALSE(m.alive(Micros{0}));
    m.renewed(Micros{10'000'000}, kLife);
    EXPECT_LT(m.until(), Micros{12'000'000});
    const Micros end = m.until();
    m.record_vote("b", Micros{11'500'000}, kPromise, Micros{11'600'000});
    EXPECT_EQ(m.until(), end) << "one of two votes extends nothing";
    m.record_vote("c", Micros{11'500'000}, kPromise, Micros{11'600'000});
    EXPECT_GT(m.until(), end);
    EXPECT_LT(m.until(), Micros{12'500'000});
    const Micros longer = m.until();
    // Too late: by now somebody may have removed this controller, and then voted.
    m.record_vote("b", Micros{12'600'000}, kPromise, Micros{12'600'000});
    m.record_vote("c", Micros{12'600'000}, kPromise, Micros{12'600'000});
    EXPECT_EQ(m.until(), longer);
}

// Controllers, a store that they may each lose, messages that come late, repeated or never, crashes and
// restarts, with the rules that the membership duty follows. No incarnation may hold a leadership lease once
// an epoch without it is written, and the fencing token never falls.
class World {
  public:
    void run(int steps) {
        for (int i = 0; i < 3; ++i) boot(i);
        for (int s = 0; s < steps; ++s) {
            now_ += Micros{*rc::gen::element(20'000, 60'000, 150'000, 400'000)};
            expire();
            deliver();
            const int i = *rc::gen::inRange(0, 3);
            switch (*rc::gen::inRange(0, 16)) {
                case 0:
                    crash_and_boot(i);
                    break;
                case 1:
                    refused_[i] = !refused_[i];
                    break;
                case 2:
                    outage(!down_);
                    break;
                case 3:
                    cut_[i] = !cut_[i];
                    break;
                case 4:
                    deaf_[i] = !deaf_[i];
                    break;  // what it sends arrives, but no answer does
                case 5:
                    for (int n = 0; n < 3; ++n) crash_and_boot(n);
                    break;
                default:
                    break;
            }
            for (int n = 0; n < 3; ++n) act(n);
            check();
        }
        RC_TAG(epoch_.number > 1 ? "epochs changed" : "one epoch");
    }

  private:
    struct Life {
        core::Member self;
        std::unique_ptr<LeadershipLease> leadership_lease;
        Micros started{};
        Micros asked{};
        Micros failing{};  // 0: the last call was answered
        std::map<std::string, Micros> protected_members;
        std::optional<core::Revision> unresolved;
    };
    struct Write {
        core::EpochPlan plan;
        core::Revision on = 0;
        Micros at{};
    };

    // A write of an incarnation's own key that may be carried out late, or once more.
    struct KeyPut {
        std::string label;
        std::uint64_t store_lease = 0;
        core::Revision on = 0;
        Micros at{};
    };

    static std::string label(int i) { return {static_cast<char>('a' + i)}; }
    bool store_ok(int i) const { return !down_ && !refused_[i] && !cut_[i] && !deaf_[i]; }
    core::Revision key_revision(const std::string& l) const {
        const auto it = nodes_.find(l);
        return it == nodes_.end() ? 0 : it->second.mod_revision;
    }
    bool apply(const KeyPut& p) {
        // Conditional on the key as the writer saw it.
        if (!grants_.contains(p.store_lease) || key_revision(p.label) != p.on) return false;
        nodes_[p.label] = {p.store_lease, ++revision_};
        return true;
    }

    void boot(int i) {
        Life l;
        l.self.label = label(i);
        std::vector<std::string> others;
        for (int k = 0; k < 3; ++k) {
            if (k != i) others.push_back(label(k));
        }
        l.leadership_lease = std::make_unique<LeadershipLease>(others);
        l.started = now_;
        lives_[i] = std::move(l);
    }
    void crash_and_boot(int i) { boot(i); }
    void outage(bool on) {
        if (down_ && !on) {
            for (auto& [g, until] : grants_) until = now_ + kLife;  // all leases get their full time again
        }
        down_ = on;
    }
    void expire() {
        if (down_) return;
        for (auto it = grants_.begin(); it != grants_.end();) {
            if (it->second > now_) {
                ++it;
                continue;
            }
            std::erase_if(nodes_, [&](const auto& n) { return n.second.store_lease == it->first; });
            it = grants_.erase(it);
        }
    }
    void apply(const Write& w) {
        if (epoch_.mod_revision != w.on) return;
        for (const auto& [l, mod_revision] : w.plan.member_conditions) {
            const auto it = nodes_.find(l);
            if ((it == nodes_.end() ? 0 : it->second.mod_revision) != mod_revision) return;
        }
        RC_ASSERT(w.plan.next.number > epoch_.number);
        epoch_ = w.plan.next;
        epoch_.mod_revision = ++revision_;
    }
    void deliver() {
        if (down_) return;
        const auto arrive = [&](auto& queue) {
            for (auto it = queue.begin(); it != queue.end();) {
                if (it->at > now_) {
                    ++it;
                    continue;
                }
                apply(*it);
                it = queue.erase(it);
            }
        };
        arrive(late_puts_);
        arrive(late_);
    }
    void act(int i) {
        Life& life = lives_[i];
        const bool reached = store_ok(i);
        if (reached) {
            life.failing = Micros{0};
        } else if (life.failing.count() == 0) {
            life.failing = now_;
        }
        if (deaf_[i] && !down_ && !refused_[i] && life.self.store_lease != 0 &&
            grants_.contains(life.self.store_lease)) {
            grants_[life.self.store_lease] = now_ + kLife;  // a renewal of whose answer it hears nothing
        }
        if (!keep_leases(i, reached)) return;
        if (!reached || life.self.store_lease == 0 || !life.leadership_lease->alive(now_)) return;
        write_epoch(life);
    }
    // False when the controller has to begin anew.
    bool keep_leases(int i, bool reached) {
        Life& life = lives_[i];
        if (reached && life.self.store_lease == 0) return join(life);
        if (reached) return renew(life);
        if (life.leadership_lease->alive(now_)) request_votes(i);
        return true;
    }
    bool join(Life& life) {
        const std::uint64_t store_lease = ++next_grant_;
        grants_[store_lease] = now_ + kLife;
        const KeyPut put{life.self.label, store_lease, key_revision(life.self.label),
                         now_ + Micros{*rc::gen::inRange(0, 4'000'000)}};
        const int luck = *rc::gen::inRange(0, 4);
        if (luck <= 1) late_puts_.push_back(put);
        if (luck == 0) return false;  // no answer: it begins again with another store lease
        if (apply(put)) {
            life.self.store_lease = store_lease;
            life.leadership_lease->renewed(now_, kLife);
        }
        return true;
    }
    bool renew(Life& life) {
        const auto lease = grants_.find(life.self.store_lease);
        if (lease == grants_.end()) {
            life.self.store_lease = 0;
            life.leadership_lease->lost();
            return false;
        }
        lease->second = now_ + kLife;
        life.leadership_lease->renewed(now_, kLife);
        return true;
    }
    void request_votes(int i) {
        const Micros requested_at = now_;
        for (int k = 0; k < 3; ++k) {
            if (k == i || cut_[i] || cut_[k] || !may_vote(lives_[k])) continue;
            lives_[k].protected_members[lives_[i].self.label] = now_ + kPromise;
            lives_[i].leadership_lease->record_vote(label(k), requested_at, kPromise, now_);
        }
    }
    bool may_vote(const Life& voter) const {
        const bool unresolved = voter.unresolved && *voter.unresolved == epoch_.mod_revision;
        return voter.self.store_lease != 0 && voter.failing.count() != 0 &&
               now_ - voter.failing >= Micros{600'000} && !unresolved;
    }
    void write_epoch(Life& life) {
        EpochInput input;
        input.current = epoch_;
        input.member_records = nodes_;
        input.self = life.self;
        input.teams = teams(3);
        for (const auto& [who, until] : life.protected_members) {
            if (until > now_) input.protected_members.insert(who);
        }
        input.bound_by_earlier_votes = now_ - life.started < kPromise;
        input.wall_clock_now = now_;
        const auto plan = core::plan_epoch(input);
        if (!plan) return;
        const Write write{*plan, epoch_.mod_revision, now_ + Micros{*rc::gen::inRange(0, 3'000'000)}};
        if (*rc::gen::inRange(0, 3) != 0) {
            apply(write);
            return;
        }
        late_.push_back(write);  // no answer: it may be carried out much later
        life.unresolved = epoch_.mod_revision;
        if (*rc::gen::arbitrary<bool>()) late_.push_back(write);
    }
    void check() {
        RC_ASSERT(epoch_.number >= last_token_);
        last_token_ = epoch_.number;
        if (epoch_.number == 0) return;
        for (const auto& l : lives_) {
            if (l.self.store_lease == 0 || !l.leadership_lease->alive(now_)) continue;
            // The others may remove whoever's key is gone, so nobody acts without.
            const auto key = nodes_.find(l.self.label);
            RC_ASSERT(key != nodes_.end() && key->second.store_lease == l.self.store_lease);
            const auto* m = epoch_.member(l.self.label);
            const bool was_member = ever_.contains({l.self.label, l.self.store_lease});
            const bool is_member = m != nullptr && *m == l.self;
            // Alive, once a member and now removed: two controllers could act for the same teams.
            RC_ASSERT(!was_member || is_member);
            if (is_member) ever_.insert({l.self.label, l.self.store_lease});
        }
        if (epoch_.member(epoch_.leader) == nullptr) RC_FAIL("the leader is a member");
    }

    Micros now_{1'000'000};
    std::array<Life, 3> lives_;
    std::array<bool, 3> refused_{};
    std::array<bool, 3> cut_{};
    std::array<bool, 3> deaf_{};
    bool down_ = false;
    std::map<std::uint64_t, Micros> grants_;
    std::map<std::string, core::MemberRecord> nodes_;
    core::Epoch epoch_;
    core::Revision revision_ = 0;
    std::uint64_t next_grant_ = 0;
    std::uint64_t last_token_ = 0;
    std::list<Write> late_;
    std::list<KeyPut> late_puts_;
    std::set<std::pair<std::string, std::uint64_t>> ever_;
};

TEST(Membership, NoRemovedIncarnationKeepsItsLeadershipLeaseWhateverFails) {
    holds("crashes, instant restarts, cuts, refusals, outages, late writes", [] {
        World w;
        w.run(150);
    });
}

TEST(Membership, ALiveLeaderIsNotReplacedAndADeadOneIs) {
    EpochInput in;
    in.self = {"b", 2};
    in.teams = teams(2);
    in.current.number = 4;
    in.current.leader = "a";
    in.current.members = {{"a", 1}, {"b", 2}};
    in.current.mod_revision = 9;
    in.member_records = {{"a", {1, 5}}, {"b", {2, 6}}};
    EXPECT_FALSE(core::plan_epoch(in).has_value());
    in.member_records.erase("a");
    const auto plan = core::plan_epoch(in);
    ASSERT_TRUE(plan.has_value());
    EXPECT_EQ(plan->next.leader, "b");
    EXPECT_EQ(plan->next.number, 5U);
    EXPECT_EQ(plan->member_conditions, (std::vector<core::MemberCondition>{{"a", 0}, {"b", 6}}));
    // The same label in a new incarnation: the old one is gone, so it counts as removed, and as a member
    // anew.
    in.member_records["a"] = {7, 8};
    EXPECT_EQ(core::plan_epoch(in)->member_conditions.front(), (core::MemberCondition{"a", 8}));
    in.protected_members.insert("a");
    EXPECT_FALSE(core::plan_epoch(in).has_value()) << "a vote binds";
}

TEST(Membership, AnUnhealthyLeaderHandsOver) {
    EpochInput in;
    in.self = {"a", 1};
    in.teams = teams(2);
    in.current.number = 4;
    in.current.leader = "a";
    in.current.members = {{"a", 1}, {"b", 2}};
    in.member_records = {{"a", {1, 5}}, {"b", {2, 6}}};
    in.current.shard_owners = {{"t0", "a"}, {"t1", "b"}};
    EXPECT_FALSE(core::plan_epoch(in).has_value());
    in.unhealthy = {"a"};
    const auto plan = core::plan_epoch(in);
    ASSERT_TRUE(plan.has_value());
    EXPECT_EQ(plan->next.leader, "b");
    for (const auto& [t, o] : plan->next.shard_owners) EXPECT_EQ(o, "b");
}

}  // namespace
}  // namespace hatchwind
