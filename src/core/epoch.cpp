#include "core/epoch.hpp"

#include <algorithm>

namespace hatchwind::core {

std::map<std::string, std::string> assign_owners(const std::vector<Team>& teams,
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
        const auto it = in.nodes.find(m.label);
        return it != in.nodes.end() && it->second.grant == m.grant;
    };
    if (!alive(in.self)) return std::nullopt;
    const Member* leader = in.current.member(in.current.leader);
    const bool leads = leader != nullptr && *leader == in.self;
    if (leader != nullptr && !leads && alive(*leader)) return std::nullopt;

    EpochPlan plan;
    plan.next.number = in.current.number + 1;
    plan.next.removed_at = in.current.removed_at;
    plan.next.stamp = in.current.stamp;
    plan.next.later_fields = in.current.later_fields;
    bool removes = false;
    for (const auto& m : in.current.members) {
        if (alive(m)) continue;
        if (in.promised.contains(m.label) || in.bound) return std::nullopt;
        removes = true;
        const auto it = in.nodes.find(m.label);
        plan.node_conditions.emplace_back(m.label, it == in.nodes.end() ? 0 : it->second.stamp);
    }
    if (removes) plan.next.removed_at = in.wall;
    plan.node_conditions.emplace_back(in.self.label, in.nodes.at(in.self.label).stamp);

    std::vector<std::string> fit;
    for (const auto& [label, record] : in.nodes) {
        plan.next.members.push_back({label, record.grant});
        if (!in.unfit.contains(label)) fit.push_back(label);
    }
    if (fit.empty()) {
        for (const auto& m : plan.next.members) fit.push_back(m.label);
    }
    plan.next.leader = in.self.label;
    // A leader that cannot do its part hands over.
    if (std::find(fit.begin(), fit.end(), in.self.label) == fit.end()) plan.next.leader = fit.front();
    plan.next.owners = assign_owners(in.teams, fit, plan.next.leader, in.current.owners);
    const bool same = in.current.number != 0 && plan.next.members == in.current.members &&
                      plan.next.owners == in.current.owners && plan.next.leader == in.current.leader;
    if (same) return std::nullopt;
    return plan;
}

Micros NodeLease::shortened(Micros from, Micros life) {
    // Clocks drift apart by up to 0.05%; 0.2% and a margin for timers that fire late.
    return from + life - life / 500 - Micros{50'000};
}

void NodeLease::renewed(Micros sent, Micros life) {
    until_ = std::max(until_, shortened(sent, life));
    promises_.clear();
}

void NodeLease::promise(const std::string& from, Micros asked, Micros life, Micros now) {
    if (!alive(now)) return;
    auto& p = promises_[from];
    p = std::max(p, shortened(asked, life));
    // Fold a full set into the node lease, so that it goes on from there.
    Micros all = Micros::max();
    for (const auto& o : others_) {
        const auto it = promises_.find(o);
        if (it == promises_.end()) return;
        all = std::min(all, it->second);
    }
    if (!others_.empty()) until_ = std::max(until_, all);
}

Micros NodeLease::until() const { return until_; }

}  // namespace hatchwind::core
