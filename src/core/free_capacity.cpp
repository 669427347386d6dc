#include "core/free_capacity.hpp"

#include <algorithm>

namespace hatchwind::core {

namespace {
// Recorded attempts use capacity unless the worker says that they have ended.
Resources used_on(const MachineView& view, const RecordedAttempts& recorded_attempts) {
    Resources sum;
    for (const auto& [ref, h] : recorded_attempts) {
        const auto v = view_attempt(view, ref.job, ref.task, h.number, h.incarnation);
        if (v.status != AttemptStatus::exited && v.status != AttemptStatus::gone)
            sum += h.entry->job.resources;
    }
    return sum;
}
}  // namespace

// Not split yet: walks fleet, records and cache in step.
// NOLINTNEXTLINE(readability-function-cognitive-complexity)
FreeCapacity FreeCapacity::build(const ClusterView& p, const JobTable& l, const Catalog& c,
                                 const Availability& a, FreeCapacityCache* memory) {
    FreeCapacity capacity;
    if (memory != nullptr) capacity.machines_ = std::move(memory->spare_machines);
    capacity.machines_.clear();
    capacity.machines_.reserve(p.machines().size());
    auto recorded = l.by_machine().begin();
    std::vector<FreeCapacityCache::Use> uses;
    std::vector<FreeCapacityCache::Use>::const_iterator known;
    if (memory != nullptr) {
        uses = std::move(memory->spare_uses);
        uses.clear();
        uses.reserve(p.machines().size());
        known = memory->uses.begin();
    }
    for (const auto& [id, view] : p.machines()) {
        const auto type = c.find(view.last_heartbeat.type);
        if (type == c.end()) continue;
        MachineCapacity m;
        m.id = id;
        m.type = &type->second;
        m.view = &view;
        m.zone = view.last_heartbeat.zone;
        m.spot = view.last_heartbeat.spot;
        m.incarnation = view.last_heartbeat.incarnation;
        m.free = type->second.size;
        m.usable = view.confirmed && !view.notice_until && a.now - view.changed < a.silent_after &&
                   view.heard >= a.heard_since;
        while (recorded != l.by_machine().end() && recorded->first < id) ++recorded;
        if (recorded != l.by_machine().end() && recorded->first == id) {
            m.recorded_attempts = &recorded->second.tasks;
            const FreeCapacityCache::Use* same = nullptr;
            if (memory != nullptr) {
                while (known != memory->uses.end() && known->machine < id) ++known;
                if (known != memory->uses.end() && known->machine == id &&
                    known->incarnation == view.last_heartbeat.incarnation &&
                    known->content_sequence == view.content_sequence &&
                    known->version == recorded->second.version)
                    same = &*known;
            }
            const Resources used = same != nullptr ? same->amount : used_on(view, *m.recorded_attempts);
            m.free -= used;
            if (memory != nullptr) {
                uses.push_back({id, view.last_heartbeat.incarnation, view.content_sequence,
                                recorded->second.version, used});
            }
        }
        capacity.machines_.push_back(std::move(m));
    }
    if (memory != nullptr) {
        memory->spare_uses = std::move(memory->uses);
        memory->uses = std::move(uses);
    }
    capacity.sorted_ = capacity.machines_.size();
    // These sets are small beside the fleet.
    const auto mark = [&](const std::string& id, auto&& change) {
        if (const auto at = capacity.at(id); at != npos) change(capacity.machines_[at]);
    };
    for (const auto& id : a.draining) {
        mark(id, [](MachineCapacity& m) {
            m.draining = true;
            m.usable = false;
        });
    }
    for (const auto& id : a.candidates) mark(id, [](MachineCapacity& m) { m.candidate = true; });
    for (const auto& [id, until] : a.banned_until) {
        if (until > a.now) mark(id, [](MachineCapacity& m) { m.usable = false; });
    }
    return capacity;
}

void FreeCapacity::recycle(FreeCapacityCache& memory) {
    memory.spare_machines = std::move(machines_);
    machines_.clear();
    sorted_ = 0;
    trail_.clear();
}

std::size_t FreeCapacity::at(const std::string& id) const {
    const auto end = machines_.begin() + static_cast<std::ptrdiff_t>(sorted_);
    const auto it = std::lower_bound(machines_.begin(), end, id,
                                     [](const MachineCapacity& m, const std::string& i) { return m.id < i; });
    if (it != end && it->id == id) return static_cast<std::size_t>(it - machines_.begin());
    for (std::size_t i = sorted_; i < machines_.size(); ++i) {
        if (machines_[i].id == id) return i;
    }
    return npos;
}

const MachineCapacity* FreeCapacity::find(const std::string& id) const {
    const auto i = at(id);
    return i == npos ? nullptr : &machines_[i];
}

std::size_t FreeCapacity::add(MachineCapacity m) {
    machines_.push_back(std::move(m));
    return machines_.size() - 1;
}

void FreeCapacity::take(std::size_t at, const Resources& resources) {
    machines_[at].free -= resources;
    trail_.emplace_back(at, resources);
}

void FreeCapacity::give(std::size_t at, const Resources& resources) { take(at, resources * -1.0); }

void FreeCapacity::revert(std::size_t to) {
    while (trail_.size() > to) {
        machines_[trail_.back().first].free += trail_.back().second;
        trail_.pop_back();
    }
}

ZoneUse ZoneUse::of(const JobEntry& e, const FreeCapacity& capacity) {
    ZoneUse z;
    // Without a rule on zones nobody asks.
    if (!e.job.spread && !e.job.one_zone) return z;
    for (const auto& [i, c] : e.chunks) {
        for (const auto& [task, a] : c.open) {
            const MachineCapacity* m = capacity.find(a.machine);
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
    if (!j.spread && !j.one_zone) return true;
    const auto it = by_zone.find(zone);
    const std::uint32_t here = it == by_zone.end() ? 0 : it->second;
    if (j.one_zone && total != here) return false;
    return !j.spread || here + unknown < j.zone_cap();
}

bool may_run_on(const Job& j, const MachineCapacity& m) {
    if (m.spot && !j.spot) return false;
    if (j.zone && *j.zone != m.zone) return false;
    return j.allows_type(m.type->name);
}

}  // namespace hatchwind::core
