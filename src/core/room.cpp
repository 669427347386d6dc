#include "core/room.hpp"

namespace hatchwind::core {

Room Room::build(const Picture& p, const Ledger& l, const Catalog& c, const Availability& a) {
    Room room;
    room.machines_.reserve(p.machines().size());
    for (const auto& [id, view] : p.machines()) {
        const auto type = c.find(view.last.type);
        if (type == c.end()) continue;
        RoomMachine m;
        m.id = id;
        m.type = &type->second;
        m.view = &view;
        m.zone = view.last.zone;
        m.spot = view.last.spot;
        m.session = view.last.session;
        m.free = type->second.size;
        m.draining = a.draining.contains(id);
        m.candidate = a.candidates.contains(id);
        const auto ban = a.banned_until.find(id);
        m.usable = !m.draining && !view.notice_until && a.now - view.changed < a.silent_after &&
                   (ban == a.banned_until.end() || ban->second <= a.now);
        // Recorded attempts use room unless the worker says that they have ended.
        for (const auto& ref : l.on_machine(id)) {
            const JobEntry* e = l.find(ref.job);
            const Attempt* at = l.open_attempt(ref.job, ref.task);
            const auto v = view_attempt(p, ref.job, ref.task, *at);
            if (v.fate != Fate::exited && v.fate != Fate::gone) m.free -= e->job.need;
        }
        room.add(std::move(m));
    }
    return room;
}

const RoomMachine* Room::find(const std::string& id) const {
    const auto it = by_id_.find(id);
    return it == by_id_.end() ? nullptr : &machines_[it->second];
}

std::size_t Room::add(RoomMachine m) {
    by_id_[m.id] = machines_.size();
    machines_.push_back(std::move(m));
    return machines_.size() - 1;
}

void Room::take(std::size_t at, const Amount& need) {
    machines_[at].free -= need;
    trail_.emplace_back(at, need);
}

void Room::give(std::size_t at, const Amount& need) { take(at, need * -1.0); }

void Room::revert(std::size_t to) {
    while (trail_.size() > to) {
        machines_[trail_.back().first].free += trail_.back().second;
        trail_.pop_back();
    }
}

ZoneUse ZoneUse::of(const JobEntry& e, const Room& room) {
    ZoneUse z;
    for (const auto& [i, c] : e.chunks) {
        for (const auto& [task, a] : c.open) {
            const RoomMachine* m = room.find(a.machine);
            ++z.total;
            if (m == nullptr) {
                ++z.unknown;
            } else {
                ++z.by_zone[m->zone];
            }
        }
    }
    return z;
}

bool ZoneUse::allows(const Job& j, const std::string& zone) const {
    const auto it = by_zone.find(zone);
    const std::uint32_t here = it == by_zone.end() ? 0 : it->second;
    if (j.one_zone && total != here) return false;
    return !j.spread || here + unknown < j.zone_cap();
}

bool may_run_on(const Job& j, const RoomMachine& m) {
    if (m.spot && !j.spot) return false;
    if (j.zone && *j.zone != m.zone) return false;
    return j.allows_type(m.type->name);
}

}  // namespace hatchwind::core
