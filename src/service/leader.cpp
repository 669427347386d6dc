#include "service/leader.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "core/silence.hpp"

namespace hatchwind::service {

using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr Micros kCall{3'000'000};
Micros seconds(double s) { return Micros{static_cast<std::int64_t>(s * 1e6)}; }
}  // namespace

Task<io::HttpReply> Leader::cloud(std::string method, std::string target, std::string body) {
    while (true) {
        const Micros wait = budget_.wait(1, steady_now());
        if (wait.count() == 0) break;
        co_await n_.loop.sleep(wait);
    }
    budget_.spend(1, steady_now());
    auto task = n_.cloud_http.send(n_.settings.cloud, std::move(method), std::move(target), std::move(body),
                                   steady_now() + kCall);
    io::HttpReply reply = co_await std::move(task);
    co_return reply;
}

Task<void> Leader::keep_catalog() {
    while (true) {
        auto task = cloud("GET", "/catalog", "");
        const io::HttpReply r = co_await std::move(task);
        if (r.status == 200) {
            const auto v = wire::decode(r.body);
            auto c = v ? wire::parse_catalog(*v) : std::nullopt;
            if (c && !c->empty()) {
                n_.catalog = std::move(c);
                n_.work.notify_all();
                n_.fleet_work.notify_all();
            } else {
                spdlog::warn("event=malformed_answer from=cloud call=catalog count={}", ++malformed_);
            }
        }
        // Types hardly change and prices move slowly; without a first answer nothing can be decided.
        co_await n_.loop.sleep(n_.catalog ? seconds(n_.leads() ? 60 : 600) : seconds(0.5));
    }
}

void Leader::new_reign() {
    if (reign_ == n_.epoch.number) return;
    if (reign_ == 0 || steady_now() - reign_began_ > seconds(3600)) reign_began_ = steady_now();
    reign_ = n_.epoch.number;
}

Task<void> Leader::keep_list() {
    bool led = false;
    while (true) {
        if (!n_.leads()) {
            led = false;
            list_fresh_ = false;
            co_await n_.loop.sleep(seconds(0.3));
            continue;
        }
        if (!led) {
            led = true;
            known_.clear();
            drain_ = {};
            reign_began_ = steady_now();
        }
        new_reign();
        std::string after;
        std::map<std::string, core::Rental> listed;
        bool whole = true;
        while (true) {
            std::string target = "/rentals?most=500";
            if (!after.empty()) target += "&after=" + after;
            auto task = cloud("GET", std::move(target), "");
            const io::HttpReply r = co_await std::move(task);
            const auto v = r.status == 200 ? wire::decode(r.body) : std::nullopt;
            const auto page = v ? wire::parse_rentals(*v) : std::nullopt;
            if (!page) {
                if (r.status == 200)
                    spdlog::warn("event=malformed_answer from=cloud call=list count={}", ++malformed_);
                whole = false;
                break;
            }
            for (const auto& i : page->rentals) listed.emplace(i.machine, i);
            if (!page->more || page->rentals.empty()) break;
            after = page->rentals.back().machine;
        }
        if (whole) {
            const Micros now = steady_now();
            for (auto& [id, rental] : listed) {
                if (n_.picture.released(id)) continue;
                Known& k = known_[id];
                if (k.rented.count() == 0) k.rented = now - seconds(rental.age_s + n_.settings.list_lag_s);
                k.rental = rental;
                k.seen = now;
                k.listed = true;
            }
            // A list may be older than the one before, but once it has shown a machine it shows it until it
            // is gone. A new one of ours is missing from it for a while.
            std::erase_if(known_, [&](const auto& k) {
                if (n_.picture.released(k.first)) return true;
                if (listed.contains(k.first)) return false;
                return k.second.listed ? now - k.second.seen > seconds(n_.settings.list_lag_s * 2 + 2)
                                       : now - k.second.rented > seconds(n_.settings.list_lag_s * 4 + 10);
            });
            // Spot machines that the cloud took: shown before, not shown now, and silent.
            std::vector<std::string> vanished;
            for (const auto& [id, m] : n_.picture.machines()) {
                if (!known_.contains(id) && now - m.changed > seconds(n_.settings.list_lag_s * 2 + 5) &&
                    now - reign_began_ > seconds(n_.settings.list_lag_s * 2 + 5)) {
                    vanished.push_back(id);
                }
            }
            if (!vanished.empty()) {
                // The cloud ignores names it does not know, and its answer makes their end certain.
                if (vanished.size() > 100) vanished.resize(100);
                auto task = release(std::move(vanished));
                co_await std::move(task);
            }
            list_fresh_ = true;
            n_.fleet_work.notify_all();
        }
        // A long list takes several calls, and its reading a while.
        co_await n_.loop.sleep(seconds(1.5) + seconds(0.5 * static_cast<double>(1 + listed.size() / 500)));
    }
}

bool Leader::overdue(const Known& k, Micros now) const {
    const auto t = n_.catalog->find(k.rental.type);
    const Micros boot = t == n_.catalog->end() ? seconds(30) : t->second.boot;
    return now - k.rented > boot * 3 + seconds(n_.settings.report_s + 5);
}

Task<void> Leader::rent() {
    Micros last_plan{0};
    while (true) {
        co_await n_.fleet_work.wait(steady_now() + seconds(1));
        // Planning is a twentieth of a node's time at the most: machines take much longer to boot.
        co_await n_.loop.sleep(std::max(seconds(0.25), 20 * last_plan));
        // Without a list of this reign, what an earlier leader rented would be rented again.
        if (!n_.leads() || !n_.catalog || !list_fresh_) continue;
        const Micros now = steady_now();
        core::FleetInput in;
        in.ledger = &n_.ledger;
        in.picture = &n_.picture;
        in.catalog = &*n_.catalog;
        in.teams = &n_.settings.teams;
        in.objectives = &n_.settings.objectives;
        in.now = now;
        in.wall = io::wall_now();
        in.refused_until = refused_;
        for (const auto& [id, k] : known_) {
            if (n_.picture.find(id) != nullptr || k.rental.state == core::RentalState::failed ||
                overdue(k, now))
                continue;
            in.booting.push_back(k.rental);
        }
        core::FleetSettings settings = n_.tunables.fleet;
        // As many as can be asked for in some seconds.
        settings.most_per_round =
            std::max<std::size_t>(settings.most_per_round,
                                  static_cast<std::size_t>(static_cast<double>(n_.picture.machines().size()) *
                                                           n_.tunables.rent_share));
        const auto wanted = core::plan_rentals(
            settings, in,
            core::Room::build(n_.picture, n_.ledger, *n_.catalog, n_.availability(), &n_.room_memory));
        last_plan = std::min(steady_now() - now, seconds(0.1));
        for (const auto& [pool, number] : wanted) {
            if (!n_.leads()) break;
            // Never used twice, by any life of any node: the grant names this life.
            const std::string name = "hw-" + std::to_string(n_.epoch.number) + "-" +
                                     std::to_string(n_.self.grant) + "-" + std::to_string(++request_);
            const auto body = wire::encode(
                wire::rent_request(name, pool.type, pool.zone, pool.spot, std::min(number, 50U)));
            for (int attempt = 0; attempt < 3; ++attempt) {
                auto task = cloud("POST", "/rentals", body);
                const io::HttpReply r = co_await std::move(task);
                if (r.status == 0) continue;  // the same name again rents nothing twice
                const auto v = r.status == 200 ? wire::decode(r.body) : std::nullopt;
                const auto names = v ? wire::parse_rented(*v) : std::nullopt;
                if (names) {
                    for (const auto& id : *names) {
                        Known& k = known_[id];
                        k.rented = steady_now();
                        k.rental.machine = id;
                        k.rental.type = pool.type;
                        k.rental.zone = pool.zone;
                        k.rental.spot = pool.spot;
                    }
                    spdlog::info("event=rented type={} zone={} spot={} wanted={} got={}", pool.type,
                                 pool.zone, pool.spot, number, names->size());
                }
                if (names && names->size() >= std::min(number, 50U)) {
                    refusals_.erase(pool);
                } else {
                    // Nothing left there, or an outage: asked again ever more seldom, but so often that all
                    // pools together take a tenth of the cloud's calls. After many machines were lost,
                    // back-offs of 40 s kept the fleet small for a minute.
                    double pools = 0;
                    for (const auto& [type, t] : *n_.catalog)
                        pools += 2 * static_cast<double>(t.zones.size());
                    const int n = std::min(++refusals_[pool], 4);
                    refused_[pool] =
                        steady_now() +
                        seconds(std::min(2.5 * (1 << n), std::max(10.0, 10 * pools / n_.settings.cloud_rps)));
                    if (r.status == 200 && !names)
                        spdlog::warn("event=malformed_answer from=cloud call=rent count={}", ++malformed_);
                }
                break;
            }
        }
    }
}

Task<bool> Leader::release(std::vector<std::string> machines) {
    if (machines.empty()) co_return true;
    auto task = cloud("POST", "/rentals/release", wire::encode(wire::release_request(machines)));
    const io::HttpReply r = co_await std::move(task);
    if (r.status != 200) co_return false;
    for (const auto& m : machines) {
        spdlog::info("event=released machine={}", m);
        n_.note_released(m);
        const auto k = known_.find(m);
        if (k == known_.end()) continue;
        // Where one was given back there is room for one.
        const core::Pool pool{k->second.rental.type, k->second.rental.zone, k->second.rental.spot};
        refused_.erase(pool);
        refusals_.erase(pool);
        known_.erase(k);
    }
    co_return true;
}

Task<bool> Leader::mark(std::set<std::string> machines) {
    // One record for all marks: with one for each machine, giving back hundreds would use up the store's
    // writes.
    wire::Transaction t;
    t.conditions.emplace_back(keys::kEpoch, n_.epoch.stamp);
    t.conditions.emplace_back(keys::kDraining, n_.draining_stamp);
    const wire::Json record = wire::names_record(machines);
    t.writes.push_back({keys::kDraining, record, 0});
    auto task = n_.state.commit(std::move(t), steady_now() + seconds(2));
    const CommitResult r = co_await std::move(task);
    if (r.outcome != Commit::done) co_return false;
    replica_.committed({keys::kDraining, record, r.revision});
    co_return true;
}

Task<void> Leader::drain() {
    while (true) {
        co_await n_.loop.sleep(n_.tunables.drain_loop);
        if (!n_.leads() || !n_.catalog || !n_.state.reachable(steady_now())) {
            was_open_.clear();
            continue;
        }
        core::DrainInput in;
        in.ledger = &n_.ledger;
        in.picture = &n_.picture;
        in.now = steady_now();
        for (const auto& id : n_.draining) {
            if (n_.picture.find(id) != nullptr) in.draining.insert(id);
        }
        // Stops that have no replacement yet: attempts that were open in the last round. A new leader does
        // not know the stops before its time; the jobs' unstarted tasks are the floor for those.
        std::set<core::TaskRef> open;
        for (const auto& [id, e] : n_.ledger.jobs()) {
            for (const auto& [i, c] : e.chunks) {
                for (const auto& [task, a] : c.open) open.insert({id, task});
            }
            if (was_open_.empty() && e.job.kind == core::JobKind::service && !e.job.cancelled) {
                for (const auto task : core::unstarted_tasks(e, 16)) drain_.recent_stops[{id, task}] = in.now;
            }
        }
        for (const auto& ref : was_open_) {
            if (!open.contains(ref)) drain_.recent_stops[ref] = in.now;
        }
        was_open_ = std::move(open);
        const Micros end = in.now + n_.tunables.drain_bound;
        in.out_of_time = [end] { return steady_now() >= end; };
        // Caps grow with the fleet: a handful at a time would take hours to give back what one burst needed.
        core::DrainSettings settings = n_.tunables.drain;
        const auto fleet = static_cast<double>(n_.picture.machines().size());
        // So many marks surely fit into one value of the store.
        const std::size_t marks_most = n_.settings.value_bytes() / (n_.picture.longest_name() + 4);
        settings.total_cap =
            std::min(marks_most,
                     std::max(settings.total_cap, static_cast<std::size_t>(fleet * n_.tunables.drain_share)));
        settings.busy_cap =
            std::max(settings.busy_cap, static_cast<std::size_t>(fleet * n_.tunables.drain_busy_share));
        const auto plan = core::plan_drains(
            settings, in,
            core::Room::build(n_.picture, n_.ledger, *n_.catalog, n_.availability(), &n_.room_memory),
            drain_);
        n_.candidates.clear();
        for (const auto& [id, since] : drain_.candidate_since) n_.candidates.insert(id);
        std::vector<std::string> chosen = plan.empty;
        chosen.insert(chosen.end(), plan.busy.begin(), plan.busy.end());
        if (chosen.empty()) continue;
        std::set<std::string> marks = n_.draining;
        for (const auto& id : chosen) {
            spdlog::info("event=drain machine={} tasks={}", id, n_.ledger.on_machine(id).size());
            marks.insert(id);
        }
        auto task = mark(std::move(marks));
        co_await std::move(task);
        n_.work.notify_all();
    }
}

Task<void> Leader::give_back() {
    std::map<std::string, Micros> emptied;
    while (true) {
        co_await n_.loop.sleep(seconds(0.5));
        if (!n_.leads() || !n_.catalog) {
            emptied.clear();
            continue;
        }
        const Micros now = steady_now();
        std::vector<std::string> go;
        for (const auto& id : n_.draining) {
            if (n_.picture.released(id) || n_.picture.find(id) == nullptr) continue;
            if (!n_.ledger.on_machine(id).empty()) {
                emptied.erase(id);
                continue;
            }
            // A while for the mark to reach the others' pictures.
            const auto it = emptied.try_emplace(id, now).first;
            if (now - it->second >= seconds(0.5)) go.push_back(id);
        }
        // Machines that never came up, and those that the cloud calls failed.
        for (const auto& [id, k] : known_) {
            const bool in_picture = n_.picture.find(id) != nullptr;
            if (k.rental.state == core::RentalState::failed) go.push_back(id);
            if (in_picture || k.rental.state == core::RentalState::failed) continue;
            const auto t = n_.catalog->find(k.rental.type);
            const Micros boot = t == n_.catalog->end() ? seconds(30) : t->second.boot;
            if (now - k.rented > boot * 5 + seconds(20) && now - reign_began_ > seconds(10)) go.push_back(id);
        }
        // Not before this reign has had the time to hear them all.
        std::vector<core::SilentMachine> machines;
        for (const auto& [id, m] : n_.picture.machines()) {
            Micros quiet = now - m.changed;
            // One that only sends is as good as silent: nothing can be started or stopped on it.
            const auto s = n_.suspects.find(id);
            if (n_.fit && s != n_.suspects.end() && s->second.since.count() != 0)
                quiet = std::max(quiet, now - s->second.since);
            machines.push_back({id, std::min(quiet, now - reign_began_), !n_.ledger.on_machine(id).empty()});
        }
        std::erase_if(silent_released_, [&](Micros t) { return now - t > seconds(60); });
        const auto silent = core::releasable(machines, n_.tunables.silent_release, silent_released_.size());
        if (!silent.empty()) {
            spdlog::info("event=silent_machines count={} standing={}", silent.size(), machines.size());
            go.insert(go.end(), silent.begin(), silent.end());
            silent_released_.insert(silent_released_.end(), silent.size(), now);
        }
        // Cancelled tasks on machines that do not answer must be gone in time.
        const Micros wall = io::wall_now();
        for (const auto& [id, e] : n_.ledger.jobs()) {
            if (!e.job.cancelled || wall - e.job.cancelled_at < seconds(n_.settings.cancel_s * 0.5)) continue;
            for (const auto& [i, c] : e.chunks) {
                for (const auto& [task, a] : c.open) {
                    if (!n_.picture.released(a.machine)) go.push_back(a.machine);
                }
            }
        }
        std::sort(go.begin(), go.end());
        go.erase(std::unique(go.begin(), go.end()), go.end());
        if (go.size() > 100) go.resize(100);
        if (!go.empty()) {
            auto task = release(go);
            co_await std::move(task);
        }
        // Marks of machines that are gone.
        std::set<std::string> marks = n_.draining;
        std::erase_if(marks, [&](const std::string& id) {
            return n_.picture.released(id) ||
                   (n_.picture.find(id) == nullptr && list_fresh_ && !known_.contains(id) &&
                    now - reign_began_ > seconds(n_.settings.list_lag_s * 2 + 10));
        });
        std::erase_if(emptied, [&](const auto& e) { return !marks.contains(e.first); });
        // They do no harm, so several go in one write.
        const bool worth = n_.draining.size() - marks.size() >= 20 || now - unmarked_ > seconds(10);
        if (marks.size() == n_.draining.size() || !worth || !n_.leads() || !n_.state.reachable(steady_now()))
            continue;
        unmarked_ = now;
        auto task = mark(std::move(marks));
        co_await std::move(task);
    }
}

}  // namespace hatchwind::service
