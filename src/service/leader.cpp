#include "service/leader.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "core/failure_detection.hpp"

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
        co_await node_.loop.sleep(wait);
    }
    budget_.spend(1, steady_now());
    auto task = node_.cloud_http.send(node_.settings.cloud, std::move(method), std::move(target),
                                      std::move(body), steady_now() + kCall);
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
                node_.catalog = std::move(c);
                node_.work.notify_all();
                node_.fleet_work.notify_all();
            } else {
                spdlog::warn("event=malformed_answer from=cloud call=catalog count={}", ++malformed_);
            }
        }
        // Types hardly change and prices move slowly; without a first answer nothing can be decided.
        co_await node_.loop.sleep(node_.catalog ? seconds(node_.leads() ? 60 : 600) : seconds(0.5));
    }
}

void Leader::new_reign() {
    if (reign_ == node_.epoch.number) return;
    if (reign_ == 0 || steady_now() - reign_began_ > seconds(3600)) reign_began_ = steady_now();
    reign_ = node_.epoch.number;
}

Task<void> Leader::keep_list() {
    bool led = false;
    while (true) {
        if (!node_.leads()) {
            led = false;
            list_fresh_ = false;
            co_await node_.loop.sleep(seconds(0.3));
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
                if (node_.picture.released(id)) continue;
                Known& k = known_[id];
                if (k.rented.count() == 0) k.rented = now - seconds(rental.age_s + node_.settings.list_lag_s);
                k.rental = rental;
                k.seen = now;
                k.listed = true;
            }
            // A list may be older than the one before, but once it has shown a machine it shows it until it
            // is gone. A new one of ours is missing from it for a while.
            std::erase_if(known_, [&](const auto& k) {
                if (node_.picture.released(k.first)) return true;
                if (listed.contains(k.first)) return false;
                return k.second.listed ? now - k.second.seen > seconds(node_.settings.list_lag_s * 2 + 2)
                                       : now - k.second.rented > seconds(node_.settings.list_lag_s * 4 + 10);
            });
            // Spot machines that the cloud took: shown before, not shown now, and silent.
            std::vector<std::string> vanished;
            for (const auto& [id, m] : node_.picture.machines()) {
                if (!known_.contains(id) && now - m.changed > seconds(node_.settings.list_lag_s * 2 + 5) &&
                    now - reign_began_ > seconds(node_.settings.list_lag_s * 2 + 5)) {
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
            node_.fleet_work.notify_all();
        }
        // A long list takes several calls, and its reading a while.
        co_await node_.loop.sleep(seconds(1.5) + seconds(0.5 * static_cast<double>(1 + listed.size() / 500)));
    }
}

bool Leader::overdue(const Known& k, Micros now) const {
    const auto t = node_.catalog->find(k.rental.type);
    const Micros boot = t == node_.catalog->end() ? seconds(30) : t->second.boot;
    return now - k.rented > boot * 3 + seconds(node_.settings.report_s + 5);
}

Task<void> Leader::rent() {
    Micros last_plan{0};
    while (true) {
        co_await node_.fleet_work.wait(steady_now() + seconds(1));
        // Planning is a twentieth of a node's time at the most: machines take much longer to boot.
        co_await node_.loop.sleep(std::max(seconds(0.25), 20 * last_plan));
        // Without a list of this reign, what an earlier leader rented would be rented again.
        if (!node_.leads() || !node_.catalog || !list_fresh_) continue;
        const Micros now = steady_now();
        core::FleetInput in;
        in.ledger = &node_.ledger;
        in.picture = &node_.picture;
        in.catalog = &*node_.catalog;
        in.teams = &node_.settings.teams;
        in.objectives = &node_.settings.objectives;
        in.now = now;
        in.wall = io::wall_now();
        in.refused_until = refused_;
        for (const auto& [id, k] : known_) {
            if (node_.picture.find(id) != nullptr || k.rental.state == core::RentalState::failed ||
                overdue(k, now))
                continue;
            in.booting.push_back(k.rental);
        }
        core::FleetSettings settings = node_.tunables.fleet;
        // As many as can be asked for in some seconds.
        settings.most_per_round = std::max<std::size_t>(
            settings.most_per_round,
            static_cast<std::size_t>(static_cast<double>(node_.picture.machines().size()) *
                                     node_.tunables.rent_share));
        const auto wanted =
            core::plan_rentals(settings, in,
                               core::FreeCapacity::build(node_.picture, node_.ledger, *node_.catalog,
                                                         node_.availability(), &node_.free_capacity_cache));
        last_plan = std::min(steady_now() - now, seconds(0.1));
        for (const auto& [pool, number] : wanted) {
            if (!node_.leads()) break;
            // Never used twice, by any life of any node: the grant names this life.
            const std::string name = "hw-" + std::to_string(node_.epoch.number) + "-" +
                                     std::to_string(node_.self.grant) + "-" + std::to_string(++request_);
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
                    for (const auto& [type, t] : *node_.catalog)
                        pools += 2 * static_cast<double>(t.zones.size());
                    const int n = std::min(++refusals_[pool], 4);
                    refused_[pool] = steady_now() +
                                     seconds(std::min(2.5 * (1 << n),
                                                      std::max(10.0, 10 * pools / node_.settings.cloud_rps)));
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
        node_.note_released(m);
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
    // Written under larger limits there may be more marks than fit now. Those of machines that are gone leave
    // first; a machine without its mark is used again.
    std::size_t bytes = wire::names_record(machines).dump().size();
    for (const bool standing : {false, true}) {
        for (auto it = machines.begin(); it != machines.end() && bytes > node_.settings.value_limit();) {
            if ((node_.picture.find(*it) != nullptr) != standing) {
                ++it;
                continue;
            }
            bytes -= it->size() + 3;
            it = machines.erase(it);
        }
    }
    wire::Transaction t;
    t.conditions.emplace_back(keys::kEpoch, node_.epoch.stamp);
    t.conditions.emplace_back(keys::kDraining, node_.draining_stamp);
    const wire::Json record = wire::names_record(machines);
    t.writes.push_back({keys::kDraining, record, 0});
    auto task = node_.state.commit(std::move(t), steady_now() + seconds(2));
    const CommitResult r = co_await std::move(task);
    if (r.outcome != Commit::done) co_return false;
    replica_.committed({keys::kDraining, record, r.revision});
    co_return true;
}

Task<void> Leader::drain() {
    while (true) {
        co_await node_.loop.sleep(node_.tunables.drain_loop);
        if (!node_.leads() || !node_.catalog || !node_.state.reachable(steady_now())) {
            was_open_.clear();
            continue;
        }
        core::DrainInput in;
        in.ledger = &node_.ledger;
        in.picture = &node_.picture;
        in.now = steady_now();
        for (const auto& id : node_.draining) {
            if (node_.picture.find(id) != nullptr) in.draining.insert(id);
        }
        // Stops that have no replacement yet: attempts that were open in the last round. A new leader does
        // not know the stops before its time; the jobs' unstarted tasks are the floor for those.
        std::set<core::TaskRef> open;
        for (const auto& [id, e] : node_.ledger.jobs()) {
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
        const Micros end = in.now + node_.tunables.drain_bound;
        in.out_of_time = [end] { return steady_now() >= end; };
        // Caps grow with the fleet: a handful at a time would take hours to give back what one burst needed.
        core::DrainSettings settings = node_.tunables.drain;
        const auto fleet = static_cast<double>(node_.picture.machines().size());
        // So many marks surely fit into one value of the store.
        const std::size_t marks_most = node_.settings.value_bytes() / (node_.picture.longest_name() + 4);
        settings.total_cap = std::min(
            marks_most,
            std::max(settings.total_cap, static_cast<std::size_t>(fleet * node_.tunables.drain_share)));
        settings.busy_cap =
            std::max(settings.busy_cap, static_cast<std::size_t>(fleet * node_.tunables.drain_busy_share));
        const auto plan =
            core::plan_drains(settings, in,
                              core::FreeCapacity::build(node_.picture, node_.ledger, *node_.catalog,
                                                        node_.availability(), &node_.free_capacity_cache),
                              drain_);
        node_.candidates.clear();
        for (const auto& [id, since] : drain_.candidate_since) node_.candidates.insert(id);
        std::vector<std::string> chosen = plan.empty;
        chosen.insert(chosen.end(), plan.busy.begin(), plan.busy.end());
        if (chosen.empty()) continue;
        std::set<std::string> marks = node_.draining;
        for (const auto& id : chosen) {
            spdlog::info("event=drain machine={} tasks={}", id, node_.ledger.on_machine(id).size());
            marks.insert(id);
        }
        auto task = mark(std::move(marks));
        co_await std::move(task);
        node_.work.notify_all();
    }
}

Task<void> Leader::give_back() {
    std::map<std::string, Micros> emptied;
    while (true) {
        co_await node_.loop.sleep(seconds(0.5));
        if (!node_.leads() || !node_.catalog) {
            emptied.clear();
            continue;
        }
        const Micros now = steady_now();
        std::vector<std::string> go;
        for (const auto& id : node_.draining) {
            if (node_.picture.released(id) || node_.picture.find(id) == nullptr) continue;
            if (!node_.ledger.on_machine(id).empty()) {
                emptied.erase(id);
                continue;
            }
            // A while for the mark to reach the others' pictures.
            const auto it = emptied.try_emplace(id, now).first;
            if (now - it->second >= seconds(0.5)) go.push_back(id);
        }
        // Machines that never came up, and those that the cloud calls failed.
        for (const auto& [id, k] : known_) {
            const bool in_picture = node_.picture.find(id) != nullptr;
            if (k.rental.state == core::RentalState::failed) go.push_back(id);
            if (in_picture || k.rental.state == core::RentalState::failed) continue;
            const auto t = node_.catalog->find(k.rental.type);
            const Micros boot = t == node_.catalog->end() ? seconds(30) : t->second.boot;
            if (now - k.rented > boot * 5 + seconds(20) && now - reign_began_ > seconds(10)) go.push_back(id);
        }
        // Not before this reign has had the time to hear them all.
        std::vector<core::SilentMachine> machines;
        for (const auto& [id, m] : node_.picture.machines()) {
            Micros quiet = now - m.changed;
            // One that only sends is as good as silent: nothing can be started or stopped on it.
            const auto s = node_.suspects.find(id);
            if (node_.fit && s != node_.suspects.end() && s->second.since.count() != 0)
                quiet = std::max(quiet, now - s->second.since);
            machines.push_back(
                {id, std::min(quiet, now - reign_began_), !node_.ledger.on_machine(id).empty()});
        }
        std::erase_if(silent_released_, [&](Micros t) { return now - t > seconds(60); });
        const auto silent =
            core::releasable(machines, node_.tunables.silent_release, silent_released_.size());
        if (!silent.empty()) {
            spdlog::info("event=silent_machines count={} standing={}", silent.size(), machines.size());
            go.insert(go.end(), silent.begin(), silent.end());
            silent_released_.insert(silent_released_.end(), silent.size(), now);
        }
        std::sort(go.begin(), go.end());
        go.erase(std::unique(go.begin(), go.end()), go.end());
        if (go.size() > 100) go.resize(100);
        if (!go.empty()) {
            auto task = release(go);
            co_await std::move(task);
        }
        // Marks of machines that are gone.
        std::set<std::string> marks = node_.draining;
        std::erase_if(marks, [&](const std::string& id) {
            return node_.picture.released(id) ||
                   (node_.picture.find(id) == nullptr && list_fresh_ && !known_.contains(id) &&
                    now - reign_began_ > seconds(node_.settings.list_lag_s * 2 + 10));
        });
        std::erase_if(emptied, [&](const auto& e) { return !marks.contains(e.first); });
        // They do no harm, so several go in one write.
        const bool worth = node_.draining.size() - marks.size() >= 20 || now - unmarked_ > seconds(10);
        if (marks.size() == node_.draining.size() || !worth || !node_.leads() ||
            !node_.state.reachable(steady_now()))
            continue;
        unmarked_ = now;
        auto task = mark(std::move(marks));
        co_await std::move(task);
    }
}

}  // namespace hatchwind::service
