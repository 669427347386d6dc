#include "core/epoch.hpp"

#include <algorithm>
#include <tuple>

namespace hatchwind::core {

namespace {

using ShardOwners = std::map<std::string, std::string>;  // team -> label

class ShardAssignment {
  public:
    ShardAssignment(const std::vector<Team>& teams, const std::vector<std::string>& members,
                    const std::string& leader)
        : teams_(teams), leader_(leader), member_count_(members.size()) {
        for (const auto& member : members) load_[member] = 0;
    }

    ShardOwners run(const ShardOwners& previous) {
        keep_previous_owners(previous);
        assign_rest();
        fill_underloaded_members();
        return std::move(owners_);
    }

  private:
    using Load = std::map<std::string, std::size_t>;  // member -> number of teams

    void keep_previous_owners(const ShardOwners& previous) {
        const std::size_t max_teams = (teams_.size() + member_count_ - 1) / member_count_;
        for (const auto& team : teams_) {
            const auto owner = previous.find(team.name);
            if (owner == previous.end()) continue;
            const auto member = load_.find(owner->second);
            if (member == load_.end() || member->second >= max_teams) continue;
            assign(team.name, member);
        }
    }

    void assign_rest() {
        for (const auto& team : teams_) {
            if (!owners_.contains(team.name)) assign(team.name, least_loaded());
        }
    }

    // A member that rejoins without teams takes over teams from the members that have the most.
    void fill_underloaded_members() {
        const std::size_t min_teams = teams_.size() / member_count_;
        while (least_loaded()->second < min_teams) move_one_team(most_loaded(), least_loaded());
    }

    void assign(const std::string& team, Load::iterator member) {
        owners_[team] = member->first;
        ++member->second;
    }

    void move_one_team(Load::iterator from, Load::iterator to) {
        const auto moved = std::find_if(owners_.begin(), owners_.end(),
                                        [&](const auto& owned) { return owned.second == from->first; });
        if (moved != owners_.end()) moved->second = to->first;
        --from->second;
        ++to->second;
    }

    // Among members with equal load the leader comes last, because it has additional work.
    Load::iterator least_loaded() {
        return std::min_element(load_.begin(), load_.end(), [&](const auto& left, const auto& right) {
            return std::tuple{left.second, left.first == leader_, left.first} <
                   std::tuple{right.second, right.first == leader_, right.first};
        });
    }

    Load::iterator most_loaded() {
        return std::max_element(load_.begin(), load_.end(), [](const auto& left, const auto& right) {
            return left.second < right.second;
        });
    }

    const std::vector<Team>& teams_;
    const std::string& leader_;
    std::size_t member_count_;
    Load load_;
    ShardOwners owners_;
};

bool is_alive(const Member& member, const EpochInput& input) {
    const auto record = input.member_records.find(member.label);
    return record != input.member_records.end() && record->second.store_lease == member.store_lease;
}

bool may_write_epoch(const EpochInput& input) {
    if (!is_alive(input.self, input)) return false;
    const Member* leader = input.current.member(input.current.leader);
    return leader == nullptr || *leader == input.self || !is_alive(*leader, input);
}

MemberCondition condition_on(const std::string& label, const EpochInput& input) {
    const auto record = input.member_records.find(label);
    return {label, record == input.member_records.end() ? 0 : record->second.mod_revision};
}

// Returns the conditions under which all members that are not alive may be removed, or nothing if one of them
// may not be removed yet.
std::optional<std::vector<MemberCondition>> removal_conditions(const EpochInput& input) {
    std::vector<MemberCondition> conditions;
    for (const auto& member : input.current.members) {
        if (is_alive(member, input)) continue;
        if (input.protected_members.contains(member.label) || input.bound_by_earlier_votes)
            return std::nullopt;
        conditions.push_back(condition_on(member.label, input));
    }
    return conditions;
}

// Returns the labels of the healthy live members, or of all live members if none is healthy.
std::vector<std::string> healthy_members(const EpochInput& input) {
    std::vector<std::string> healthy;
    std::vector<std::string> all;
    for (const auto& [label, record] : input.member_records) {
        all.push_back(label);
        if (!input.unhealthy.contains(label)) healthy.push_back(label);
    }
    return healthy.empty() ? all : healthy;
}

bool has_same_assignment(const Epoch& current, const Epoch& next) {
    return current.number != 0 && next.members == current.members &&
           next.shard_owners == current.shard_owners && next.leader == current.leader;
}

}  // namespace

std::map<std::string, std::string> assign_shards(const std::vector<Team>& teams,
                                                 const std::vector<std::string>& members,
                                                 const std::string& leader,
                                                 const std::map<std::string, std::string>& previous) {
    if (members.empty()) return {};
    return ShardAssignment{teams, members, leader}.run(previous);
}

namespace {

std::optional<EpochPlan> plan_assignment(const EpochInput& input) {
    if (!may_write_epoch(input)) return std::nullopt;
    auto conditions = removal_conditions(input);
    if (!conditions) return std::nullopt;
    const bool removes_members = !conditions->empty();
    conditions->push_back(condition_on(input.self.label, input));

    Epoch next;
    next.number = input.current.number + 1;
    next.removed_at = removes_members ? input.wall_clock_now : input.current.removed_at;
    next.mod_revision = input.current.mod_revision;
    next.unknown_fields = input.current.unknown_fields;
    for (const auto& [label, record] : input.member_records)
        next.members.push_back({label, record.store_lease});

    const std::vector<std::string> healthy = healthy_members(input);
    const bool self_healthy = std::find(healthy.begin(), healthy.end(), input.self.label) != healthy.end();
    // An unhealthy leader hands over to a healthy member.
    next.leader = self_healthy ? input.self.label : healthy.front();
    next.shard_owners = assign_shards(input.teams, healthy, next.leader, input.current.shard_owners);
    if (has_same_assignment(input.current, next)) return std::nullopt;
    return EpochPlan{std::move(next), std::move(*conditions), false};
}

std::optional<EpochPlan> plan_renewal(const EpochInput& input) {
    const Member* self = input.current.member(input.self.label);
    if (self == nullptr || *self != input.self || !is_alive(input.self, input)) return std::nullopt;
    EpochPlan plan{input.current, {condition_on(input.self.label, input)}, true};
    ++plan.next.number;
    return plan;
}

}  // namespace

std::optional<EpochPlan> plan_epoch(const EpochInput& input) {
    auto plan = plan_assignment(input);
    return plan || !input.renewal_requested ? std::move(plan) : plan_renewal(input);
}

Micros LeadershipLease::safe_end(Micros start, Micros time_to_live) {
    // 0.2%, which is above the clock drift of up to 0.05%.
    constexpr int kDriftDivisor = 500;
    // Allowance for timers that fire late.
    constexpr Micros kTimerMargin{50'000};
    return start + time_to_live - time_to_live / kDriftDivisor - kTimerMargin;
}

void LeadershipLease::record_renewal(Micros sent_at, Micros time_to_live) {
    until_ = std::max(until_, safe_end(sent_at, time_to_live));
    extension_votes_.clear();
}

void LeadershipLease::record_vote(const std::string& voter, Micros requested_at, Micros time_to_live,
                                  Micros monotonic_now) {
    if (!is_valid(monotonic_now)) return;
    Micros& vote_end = extension_votes_[voter];
    vote_end = std::max(vote_end, safe_end(requested_at, time_to_live));
    // A complete set of votes extends the lease itself, so that the next set of votes extends it further.
    if (const auto unanimous_end = end_of_unanimous_vote()) until_ = std::max(until_, *unanimous_end);
}

void LeadershipLease::invalidate() {
    until_ = Micros::min();
    extension_votes_.clear();
}

std::optional<Micros> LeadershipLease::end_of_unanimous_vote() const {
    if (others_.empty()) return std::nullopt;
    Micros end = Micros::max();
    for (const auto& other : others_) {
        const auto vote = extension_votes_.find(other);
        if (vote == extension_votes_.end()) return std::nullopt;
        end = std::min(end, vote->second);
    }
    return end;
}

}  // namespace hatchwind::core
