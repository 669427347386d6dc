#include "core/drain_planner.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <unordered_map>

namespace hatchwind::core {

namespace {

// How many more tasks of a service may be down at once: a quarter of its replicas, at least one, less those
// that are down already.
int stop_quota(const JobEntry& e) {
    if (e.job.kind != JobKind::service) return static_cast<int>(e.job.tasks);
    const int down = static_cast<int>(e.unstarted());
    return std::max(1, static_cast<int>(e.job.tasks) / 4) - down;
}

class Trial {
  public:
    Trial(const DrainInput& in, FreeCapacity& capacity, DrainState& state)
        : in_(in), capacity_(capacity), state_(state) {}

    // Finds a home for one task. Remembered destinations first, then from the list's far end.
    bool healthy(const JobEntry& e, const TaskRef& ref, const std::string& from,
                 const std::set<std::string>& skip) {
        if (const auto hint = state_.destinations.find(ref); hint != state_.destinations.end()) {
            const auto at = capacity_.at(hint->second);
            if (at != FreeCapacity::npos && fits(e, at, from, skip)) return take(e, ref, at);
        }
        for (std::size_t i = capacity_.machines().size(); i-- > 0;) {
            if (fits(e, i, from, skip)) return take(e, ref, i);
        }
        return false;
    }
    void leave(const JobEntry& e, const std::string& zone) {
        if (!e.job.spread && !e.job.one_zone) return;
        zone_use(e).remove(zone);
        moves_.push_back({&e, zone, false});
    }
    // One more of this job's tasks is down; false when its quota forbids that.
    bool stop(const JobEntry& e) {
        quota_journal_.push_back(&e);
        return --quota_of(e) >= 0;
    }
    bool takes_tasks(const std::string& machine) const { return taking_.contains(machine); }

    // Trials nest by position, as those of the free capacity do. Copies of whole maps for each trial were
    // quadratic in the fleet.
    struct Mark {
        std::size_t capacity, moves, destinations, quota;
    };
    Mark mark() const { return {capacity_.mark(), moves_.size(), placed_.size(), quota_journal_.size()}; }
    void revert(const Mark& m) {
        capacity_.revert(m.capacity);
        for (; moves_.size() > m.moves; moves_.pop_back()) {
            auto& z = zone_use(*moves_.back().entry);
            if (moves_.back().added) {
                z.remove(moves_.back().zone);
            } else {
                z.add(moves_.back().zone);
            }
        }
        for (; placed_.size() > m.destinations; placed_.pop_back()) {
            const auto it = destinations.find(placed_.back());
            const auto count = taking_.find(it->second);
            if (--count->second == 0) taking_.erase(count);
            destinations.erase(it);
        }
        for (; quota_journal_.size() > m.quota; quota_journal_.pop_back()) ++quota_of(*quota_journal_.back());
    }

    std::map<TaskRef, std::string> destinations;

  private:
    struct Move {
        const JobEntry* entry;
        std::string zone;
        bool added;
    };
    ZoneUse& zone_use(const JobEntry& e) {
        const auto [it, fresh] = zones_.try_emplace(&e);
        if (fresh) it->second = ZoneUse::of(e, capacity_);
        return it->second;
    }
    int& quota_of(const JobEntry& e) {
        const auto [it, fresh] = quota_.try_emplace(&e, 0);
        if (fresh) it->second = stop_quota(e);
        return it->second;
    }
    bool fits(const JobEntry& e, std::size_t at, const std::string& from, const std::set<std::string>& skip) {
        const MachineCapacity& m = capacity_.machines()[at];
        return has_capacity_for(e.job, m) && m.id != from && !skip.contains(m.id) &&
               ((!e.job.spread && !e.job.one_zone) || zone_use(e).allows(e.job, m.zone));
    }
    bool take(const JobEntry& e, const TaskRef& ref, std::size_t at) {
        const MachineCapacity& m = capacity_.machines()[at];
        capacity_.take(at, e.job.resources);
        if (e.job.spread || e.job.one_zone) {
            zone_use(e).add(m.zone);
            moves_.push_back({&e, m.zone, true});
        }
        if (destinations.emplace(ref, m.id).second) {
            placed_.push_back(ref);
            ++taking_[m.id];
        }
        return true;
    }

    const DrainInput& in_;
    FreeCapacity& capacity_;
    DrainState& state_;
    std::unordered_map<const JobEntry*, ZoneUse> zones_;
    std::unordered_map<const JobEntry*, int> quota_;
    std::unordered_map<std::string, std::size_t> taking_;  // machine -> tasks that the trial puts there
    std::vector<Move> moves_;
    std::vector<TaskRef> placed_;
    std::vector<const JobEntry*> quota_journal_;
};

}  // namespace

// Not split yet: its steps share one trial.
// NOLINTNEXTLINE(readability-function-cognitive-complexity)
DrainResult plan_drains(const DrainSettings& s, const DrainInput& in, FreeCapacity capacity,
                        DrainState& state) {
    DrainResult out;
    std::erase_if(state.recent_stops, [&](const auto& r) { return in.now - r.second >= s.recent_stop; });
    Trial trial{in, capacity, state};
    const auto hold = [&] {
        state.candidate_since.clear();
        state.destinations = std::move(trial.destinations);
        out.recorded_attempts = true;
        return out;
    };

    // What is being drained, and what was stopped and has no new place yet, must fit first.
    for (const auto& id : in.draining) {
        const MachineCapacity* from = capacity.find(id);
        for (const auto& [ref, recorded_attempts] : in.job_table->on_machine(id)) {
            const JobEntry* e = recorded_attempts.entry;
            if (from != nullptr) trial.leave(*e, from->zone);
            (void)trial.stop(*e);
            if (!trial.healthy(*e, ref, id, {})) return hold();
        }
    }
    for (const auto& [ref, when] : state.recent_stops) {
        const JobEntry* e = in.job_table->find(ref.job);
        if (e == nullptr || e->job.cancelled || in.job_table->open_attempt(ref.job, ref.task) != nullptr)
            continue;
        const auto c = e->chunks.find(ref.task / kChunkTasks);
        if (c != e->chunks.end() && c->second.done.contains(ref.task)) continue;
        if (!trial.healthy(*e, ref, "", {})) return hold();
    }

    // Least used first: empty machines cost nothing to give back. Among equals the dearest, since caps and
    // stop quotas may leave the rest standing.
    std::vector<std::tuple<double, double, std::string>> eligible;
    for (const auto& m : capacity.machines()) {
        if (m.view == nullptr || m.draining || in.protected_machines.contains(m.id)) continue;
        // A machine that takes nothing new may still be returned; a silent one is another duty's business.
        if (!m.usable && !m.view->notice_until && in.job_table->on_machine(m.id).empty()) continue;
        if (m.use() < s.use_threshold)
            eligible.emplace_back(std::round(m.use() * 10), -m.price() / std::max(m.type->size.cpus, 1.0),
                                  m.id);
    }
    std::sort(eligible.begin(), eligible.end());
    const std::size_t standing = capacity.machines().size() - in.draining.size();
    std::set<std::string> candidates;
    for (const auto& [use, price, id] : eligible) {
        if (in.out_of_time()) break;
        if (standing - candidates.size() <= s.fleet_minimum) break;
        const MachineCapacity* from = capacity.find(id);
        const auto mark = trial.mark();
        // A machine that takes tasks in this very trial is needed.
        bool ok = !trial.takes_tasks(id);
        for (const auto& [ref, recorded_attempts] : in.job_table->on_machine(id)) {
            if (!ok) break;
            const JobEntry* e = recorded_attempts.entry;
            if (e->job.kind == JobKind::gang || !trial.stop(*e)) {
                ok = false;
                break;
            }
            trial.leave(*e, from->zone);
            ok = trial.healthy(*e, ref, id, candidates);
        }
        if (ok) {
            candidates.insert(id);
        } else {
            trial.revert(mark);
        }
    }

    std::map<std::string, Micros> since;
    for (const auto& id : candidates) {
        const auto old = state.candidate_since.find(id);
        since[id] = old == state.candidate_since.end() ? in.now : old->second;
    }
    state.candidate_since = std::move(since);
    state.destinations = std::move(trial.destinations);

    // Empty ones first; busy drains under their own cap.
    std::size_t under_way = in.draining.size();
    std::size_t busy = 0;
    for (const auto& id : in.draining) busy += in.job_table->on_machine(id).empty() ? 0 : 1;
    std::vector<std::string> ripe;
    for (const auto& [id, when] : state.candidate_since) {
        if (in.now - when >= s.unneeded) ripe.push_back(id);
    }
    std::stable_sort(ripe.begin(), ripe.end(), [&](const std::string& a, const std::string& b) {
        return capacity.find(a)->price() > capacity.find(b)->price();
    });
    for (const auto& id : ripe) {
        if (under_way >= s.total_cap) break;
        if (!in.job_table->on_machine(id).empty()) continue;
        out.empty.push_back(id);
        ++under_way;
    }
    for (const auto& id : ripe) {
        if (under_way >= s.total_cap || busy >= s.busy_cap) break;
        if (in.job_table->on_machine(id).empty()) continue;
        out.busy.push_back(id);
        ++under_way;
        ++busy;
    }
    for (const auto& id : out.empty) state.candidate_since.erase(id);
    for (const auto& id : out.busy) state.candidate_since.erase(id);
    return out;
}

}  // namespace hatchwind::core
