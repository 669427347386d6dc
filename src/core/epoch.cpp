#include "core/epoch.hpp"

#include <algorithm>

namespace hatchwind::core {

std::map<std::string, std::string> assign_shards(const std::vector<Team>& teams,
                                                 const std::vector<std::string>& members,
                                                 const std::string& leader,
                                                 const std::map<std::string, std::string>& before) {
    std::map<std::string, std::string> out;
    if (members.empty()) return out;
    std::map<std::string, std::size_t> load;
    for (const auto& m : members) load[m] = 0;
    const std::size_t most = (teams.size() + members.size() - 1) / members.size();
    const std::size_t least = teams.size() / members.size();
    for (const auto& t : teams) {
        const auto b = before.find(t.name);
        if (b == before.end() || !load.contains(b->second) || load[b->second] >= most) continue;
        out[t.name] = b->second;
        ++load[b->second];
    }
    const auto lightest = [&] {
        // The leader has work of its own, so it comes last among equals.
        return std::min_element(load.begin(), load.end(), [&](const auto& a, const auto& b) {
            return std::tuple{a.second, a.first == leader, a.first} <
                   std::tuple{b.second, b.first == leader, b.first};
        });
    };
    for (const auto& t : teams) {
        if (out.contains(t.name)) continue;
        const auto to = lightest();
        out[t.name] = to->first;
        ++to->second;
    }
    // A member that came back empty-handed takes from the fullest.
    while (lightest()->second < least) {
        const auto to = lightest();
        const auto from = std::max_element(load.begin(), load.end(),
                                           [](const auto& a, const auto& b) { return a.second < b.second; });
        for (auto& [team, owner] : out) {
            if (owner != from->first) continue;
            owner = to->first;
            break;
        }
        --from->second;
        ++to->second;
    }
    return out;
}

std::optional<EpochPlan> plan_epoch(const EpochInput& in) {
    const auto alive = [&](const Member& m) {
        const auto it = in.member_records.find(m.label);
        return it != in.member_records.end() && it->second.store_lease == m.store_lease;
    };
    if (!alive(in.self)) return std::nullopt;
    const Member* leader = in.current.member(in.current.leader);
    const bool is_cluster_leader = leader != nullptr && *leader == in.self;
    if (leader != nullptr && !is_cluster_leader && alive(*leader)) return std::nullopt;

    EpochPlan plan;
    plan.next.number = in.current.number + 1;
    plan.next.removed_at = in.current.removed_at;
    plan.next.mod_revision = in.current.mod_revision;
    plan.next.unknown_fields = in.current.unknown_fields;
    bool removes = false;
    for (const auto& m : in.current.members) {
        if (alive(m)) continue;
        if (in.protected_members.contains(m.label) || in.bound_by_earlier_votes) return std::nullopt;
        removes = true;
        const auto it = in.member_records.find(m.label);
        plan.member_conditions.emplace_back(m.label,
                                            it == in.member_records.end() ? 0 : it->second.mod_revision);
    }
    if (removes) plan.next.removed_at = in.wall_clock_now;
    plan.member_conditions.emplace_back(in.self.label, in.member_records.at(in.self.label).mod_revision);

    std::vector<std::string> healthy;
    for (const auto& [label, record] : in.member_records) {
        plan.next.members.push_back({label, record.store_lease});
        if (!in.unhealthy.contains(label)) healthy.push_back(label);
    }
    if (healthy.empty()) {
        for (const auto& m : plan.next.members) healthy.push_back(m.label);
    }
    plan.next.leader = in.self.label;
    // A leader that cannot do its part hands over.
    if (std::find(healthy.begin(), healthy.end(), in.self.label) == healthy.end())
        plan.next.leader = healthy.front();
    plan.next.shard_owners = assign_shards(in.teams, healthy, plan.next.leader, in.current.shard_owners);
    const bool same = in.current.number != 0 && plan.next.members == in.current.members &&
                      plan.next.shard_owners == in.current.shard_owners &&
                      plan.next.leader == in.current.leader;
    if (same) return std::nullopt;
    return plan;
}

Micros LeadershipLease::shortened(Micros from, Micros life) {
    // Clocks drift apart by up to 0.05%; 0.2% and a margin for timers that fire late.
    return from + life - life / 500 - Micros{50'000};
}

void LeadershipLease::renewed(Micros sent, Micros life) {
    until_ = std::max(until_, shortened(sent, life));
    extension_votes_.clear();
}

void LeadershipLease::record_vote(const std::string& from, Micros asked, Micros life, Micros now) {
    if (!alive(now)) return;
    auto& p = extension_votes_[from];
    p = std::max(p, shortened(asked, life));
    // Fold a full set into the leadership lease, so that it goes on from there.
    Micros all = Micros::max();
    for (const auto& o : others_) {
        const auto it = extension_votes_.find(o);
        if (it == extension_votes_.end()) return;
        all = std::min(all, it->second);
    }
    if (!others_.empty()) until_ = std::max(until_, all);
}

Micros LeadershipLease::until() const { return until_; }

}  // namespace hatchwind::core
