#include "core/drain_planner.hpp"

#include <algorithm>

namespace hatchwind::core {

namespace {

class Trial {
  public:
    Trial(const DrainInput& in, Room& room, DrainState& state) : in_(in), room_(room), state_(state) {}

    // Finds a home for one task. Remembered destinations first, then from the list's far end.
    bool fit(const JobEntry& e, const TaskRef& ref, const std::string& from, const std::set<std::string>& skip) {
        if (const auto hint = state_.destinations.find(ref); hint != state_.destinations.end()) {
            for (std::size_t i = 0; i < room_.machines().size(); ++i) {
                if (room_.machines()[i].id == hint->second && fits(e, i, from, skip)) return take(e, ref, i);
            }
        }
        for (std::size_t i = room_.machines().size(); i-- > 0;) {
            if (fits(e, i, from, skip)) return take(e, ref, i);
        }
        return false;
    }

    std::map<TaskRef, std::string> destinations;
    std::map<std::string, ZoneUse> zones;

    ZoneUse& zone_use(const JobEntry& e) {
        return zones.try_emplace(e.job.id, ZoneUse::of(e, room_)).first->second;
    }

  private:
    bool fits(const JobEntry& e, std::size_t at, const std::string& from, const std::set<std::string>& skip) {
        const RoomMachine& m = room_.machines()[at];
        return m.id != from && m.usable && !m.draining && !skip.contains(m.id) && e.job.need.fits_in(m.free) &&
               may_run_on(e.job, m) && zone_use(e).allows(e.job, m.zone);
    }
    bool take(const JobEntry& e, const TaskRef& ref, std::size_t at) {
        room_.take(at, e.job.need);
        zone_use(e).add(room_.machines()[at].zone);
        destinations[ref] = room_.machines()[at].id;
        return true;
    }

    const DrainInput& in_;
    Room& room_;
    DrainState& state_;
};

// How many more tasks of a service may be down at once: a quarter of its replicas, at least one, less those
// that are down already.
int stop_quota(const JobEntry& e) {
    if (e.job.kind != JobKind::service) return static_cast<int>(e.job.tasks);
    const int down = static_cast<int>(e.unstarted());
    return std::max(1, static_cast<int>(e.job.tasks) / 4) - down;
}

}  // namespace

DrainResult plan_drains(const DrainSettings& s, const DrainInput& in, Room room, DrainState& state) {
    DrainResult out;
    std::erase_if(state.recent_stops, [&](const auto& r) { return in.now - r.second >= s.recent_stop; });
    Trial trial{in, room, state};
    std::map<std::string, int> quota;
    const auto quota_of = [&](const JobEntry& e) -> int& {
        return quota.try_emplace(e.job.id, stop_quota(e)).first->second;
    };
    const auto hold = [&] {
        state.candidate_since.clear();
        state.destinations = std::move(trial.destinations);
        out.held = true;
        return out;
    };

    // What is being drained, and what was stopped and has no new place yet, must fit first.
    for (const auto& id : in.draining) {
        const RoomMachine* from = room.find(id);
        for (const auto& ref : in.ledger->on_machine(id)) {
            const JobEntry* e = in.ledger->find(ref.job);
            if (from != nullptr) trial.zone_use(*e).remove(from->zone);
            quota_of(*e) -= 1;
            if (!trial.fit(*e, ref, id, {})) return hold();
        }
    }
    for (const auto& [ref, when] : state.recent_stops) {
        const JobEntry* e = in.ledger->find(ref.job);
        if (e == nullptr || e->job.cancelled || in.ledger->open_attempt(ref.job, ref.task) != nullptr) continue;
        const auto c = e->chunks.find(ref.task / kChunkTasks);
        if (c != e->chunks.end() && c->second.done.contains(ref.task)) continue;
        if (!trial.fit(*e, ref, "", {})) return hold();
    }

    // Least used first: empty machines cost nothing to give back.
    std::vector<std::pair<double, std::string>> eligible;
    for (const auto& m : room.machines()) {
        if (m.view == nullptr || m.draining || in.protected_machines.contains(m.id)) continue;
        // A machine that takes nothing new may still be returned; a silent one is another duty's business.
        if (!m.usable && !m.view->notice_until && in.ledger->on_machine(m.id).empty()) continue;
        if (m.use() < s.use_threshold) eligible.emplace_back(m.use(), m.id);
    }
    std::sort(eligible.begin(), eligible.end());
    const std::size_t standing = room.machines().size() - in.draining.size();
    std::set<std::string> candidates;
    for (const auto& [use, id] : eligible) {
        if (in.out_of_time()) break;
        if (standing - candidates.size() <= s.fleet_minimum) break;
        const RoomMachine* from = room.find(id);
        const auto mark = room.mark();
        const auto zones_before = trial.zones;
        const auto destinations_before = trial.destinations;
        const auto quota_before = quota;
        bool ok = true;
        // A machine that takes tasks in this very trial is needed.
        for (const auto& [ref, to] : trial.destinations) ok = ok && to != id;
        for (const auto& ref : in.ledger->on_machine(id)) {
            if (!ok) break;
            const JobEntry* e = in.ledger->find(ref.job);
            if (e->job.kind == JobKind::gang || --quota_of(*e) < 0) {
                ok = false;
                break;
            }
            trial.zone_use(*e).remove(from->zone);
            ok = trial.fit(*e, ref, id, candidates);
        }
        if (ok) {
            candidates.insert(id);
        } else {
            room.revert(mark);
            trial.zones = zones_before;
            trial.destinations = destinations_before;
            quota = quota_before;
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
    for (const auto& id : in.draining) busy += in.ledger->on_machine(id).empty() ? 0 : 1;
    std::vector<std::string> ripe;
    for (const auto& [id, when] : state.candidate_since) {
        if (in.now - when >= s.unneeded) ripe.push_back(id);
    }
    for (const auto& id : ripe) {
        if (under_way >= s.total_cap) break;
        if (!in.ledger->on_machine(id).empty()) continue;
        out.empty.push_back(id);
        ++under_way;
    }
    for (const auto& id : ripe) {
        if (under_way >= s.total_cap || busy >= s.busy_cap) break;
        if (in.ledger->on_machine(id).empty()) continue;
        out.busy.push_back(id);
        ++under_way;
        ++busy;
    }
    for (const auto& id : out.empty) state.candidate_since.erase(id);
    for (const auto& id : out.busy) state.candidate_since.erase(id);
    return out;
}

}  // namespace hatchwind::core
