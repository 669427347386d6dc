#include "core/fleet_planner.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

namespace hatchwind::core {

namespace {

// The estimate is the owner's and may be missing; a task of unknown length counts as a minute.
double task_seconds(const Job& j) { return j.estimate_s > 0 ? j.estimate_s : 60; }

class Planner {
  public:
    Planner(const FleetSettings& s, const FleetInput& in, Room& room) : s_(s), in_(in), room_(room) {
        for (const auto& b : in.booting) {
            const auto t = in.catalog->find(b.type);
            if (t == in.catalog->end()) continue;
            RoomMachine m;
            m.id = b.machine;
            m.type = &t->second;
            m.zone = b.zone;
            m.spot = b.spot;
            m.free = t->second.size;
            room_.add(std::move(m));
        }
        for (const auto& [name, team] : *in.teams) used_[name] = in.ledger->team_use(name);
    }

    std::map<Pool, std::uint32_t> run() {
        std::set<std::string> teams;
        for (const auto& [name, team] : *in_.teams) teams.insert(name);
        const auto queue = queue_order(*in_.ledger, teams, *in_.objectives, in_.wall);
        // Tasks that never end, and gangs, need room of their own now.
        for (const JobEntry* e : queue) {
            if (e->job.kind != JobKind::array) place_all(*e);
        }
        // Arrays share room over time: so much as empties their backlog in the wanted time. What their running
        // tasks will leave within that time is room for the queue too.
        lend_running();
        for (const JobEntry* e : queue) {
            if (e->job.kind == JobKind::array) place_share(*e);
        }
        return std::move(rent_);
    }

  private:
    bool within_limit(const Job& j) const {
        const auto& t = in_.teams->at(j.team);
        const Amount& u = used_.at(j.team);
        return u.cpus + j.need.cpus <= t.cpus_max + kSlack && u.gpus + j.need.gpus <= t.gpus_max + kSlack;
    }

    bool take(const JobEntry& e, ZoneUse& zones, std::size_t i) {
        const RoomMachine& m = room_.machines()[i];
        if (!m.usable || m.draining || !e.job.need.fits_in(m.free) || !may_run_on(e.job, m) ||
            !zones.allows(e.job, m.zone)) {
            return false;
        }
        room_.take(i, e.job.need);
        zones.add(m.zone);
        used_[e.job.team] += e.job.need;
        return true;
    }

    // One more task: in the room there is, or on a machine to rent. False when neither is to be had.
    bool one(const JobEntry& e, ZoneUse& zones, double cpus_wanted) {
        if (!within_limit(e.job)) return false;
        for (std::size_t i = 0; i < room_.machines().size(); ++i) {
            if (take(e, zones, i)) return true;
        }
        const auto pool = choose(e, zones, cpus_wanted);
        if (!pool || total_ >= s_.most_per_round) return false;
        ++rent_[*pool];
        ++total_;
        RoomMachine m;
        m.id = "planned-" + std::to_string(total_);
        m.type = &in_.catalog->at(pool->type);
        m.zone = pool->zone;
        m.spot = pool->spot;
        m.free = m.type->size;
        const auto i = room_.add(std::move(m));
        return take(e, zones, i);
    }

    std::optional<Pool> choose(const JobEntry& e, const ZoneUse& zones, double cpus_wanted) const {
        std::optional<Pool> best;
        std::tuple<double, std::size_t> best_cost;
        for (const auto& [name, t] : *in_.catalog) {
            if (!e.job.allows_type(name) || !e.job.need.fits_in(t.size)) continue;
            for (const auto& zone : t.zones) {
                if ((e.job.zone && *e.job.zone != zone) || !zones.allows(e.job, zone)) continue;
                for (const bool spot : {true, false}) {
                    if (spot && !e.job.spot) continue;
                    const Pool pool{name, zone, spot};
                    const auto r = in_.refused_until.find(pool);
                    if (r != in_.refused_until.end() && r->second > in_.now) continue;
                    // Money for the room that the queue would really use on it.
                    const double price = spot ? t.spot_price : t.price;
                    const double used = std::min(t.size.cpus, std::max(cpus_wanted, e.job.need.cpus));
                    const std::tuple<double, std::size_t> cost{price / std::max(used, 1e-3), machines_in(zone)};
                    if (!best || cost < best_cost) {
                        best = pool;
                        best_cost = cost;
                    }
                }
            }
        }
        return best;
    }

    bool has_home(const Job& j) const {
        return std::any_of(room_.machines().begin(), room_.machines().end(), [&](const RoomMachine& m) {
            return m.usable && !m.draining && may_run_on(j, m) && j.need.fits_in(m.type->size);
        });
    }

    std::size_t machines_in(const std::string& zone) const {
        return static_cast<std::size_t>(std::count_if(room_.machines().begin(), room_.machines().end(),
                                                      [&](const auto& m) { return m.zone == zone; }));
    }

    void place_all(const JobEntry& e) {
        ZoneUse zones = ZoneUse::of(e, room_);
        const std::uint32_t n = e.unstarted();
        for (std::uint32_t k = 0; k < n; ++k) {
            if (!one(e, zones, (n - k) * e.job.need.cpus)) return;
        }
    }

    // The part of the wanted time for which a task of this job needs its place.
    double time_share(const Job& j, double run) const {
        const double left = static_cast<double>((due_time(j, *in_.objectives, in_.wall) - in_.wall).count()) / 1e6 - run;
        return std::min(1.0, run / std::max(left * s_.slack_share, s_.least_queue_s));
    }

    void lend_running() {
        for (std::size_t i = 0; i < room_.machines().size(); ++i) {
            const RoomMachine& m = room_.machines()[i];
            if (m.view == nullptr || !m.usable || m.draining) continue;
            for (const auto& ref : in_.ledger->on_machine(m.id)) {
                const JobEntry* e = in_.ledger->find(ref.job);
                if (e->job.kind != JobKind::array) continue;
                // Half of its run is still to come, as far as anyone knows.
                room_.give(i, e->job.need * (1 - time_share(e->job, task_seconds(e->job) / 2)));
            }
        }
    }

    void place_share(const JobEntry& e) {
        // A task that runs longer than the wanted time needs a place of its own at once; short ones queue.
        const double share = time_share(e.job, std::max(task_seconds(e.job), 1.0));
        ZoneUse zones = ZoneUse::of(e, room_);
        if (!has_home(e.job)) {
            // However short the queue: without any machine that could take it, it would wait for ever.
            one(e, zones, e.job.need.cpus);
            return;
        }
        owed_ += share * e.unstarted();
        while (owed_ >= 1.0) {
            if (!one(e, zones, owed_ * e.job.need.cpus)) {
                owed_ = std::min(owed_, 1.0);
                return;
            }
            owed_ -= 1.0;
        }
    }

    const FleetSettings& s_;
    const FleetInput& in_;
    Room& room_;
    std::map<Pool, std::uint32_t> rent_;
    std::map<std::string, Amount> used_;
    double owed_ = 0;
    std::size_t total_ = 0;
};

}  // namespace

std::map<Pool, std::uint32_t> plan_rentals(const FleetSettings& s, const FleetInput& in, Room room) {
    return Planner{s, in, room}.run();
}

}  // namespace hatchwind::core
