// Whole controllers against stand-ins of state service, cloud and workers, in one loop on loopback.
#pragma once

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdlib>

#include "controller/controller.hpp"
#include "stand_ins.hpp"

namespace hatchwind::test {

using io::Micros;
using io::Task;

class Site {
  public:
    // The node that is behind relays sees store and peers only through them; see cut_off().
    explicit Site(int nodes, int relayed = -1)
        : state(loop), cloud(loop, [this](std::string id, std::string zone) {
              return std::make_unique<WorkerStandIn>(loop, world, std::move(id), std::move(zone), addresses_,
                                                     labels_);
          }) {
        spdlog::set_level(std::getenv("TEST_LOG") != nullptr ? spdlog::level::debug : spdlog::level::off);
        for (int i = 0; i < nodes; ++i) {
            labels_.push_back("n" + std::to_string(i));
            addresses_.push_back(local(free_port()));
            peer_mesh_.push_back(local(free_port()));
        }
        if (relayed >= 0) {
            relayed_ = static_cast<std::size_t>(relayed);
            state_relay_ = std::make_unique<Relay>(loop, state.address);
            for (int i = 0; i < nodes; ++i)
                relays_.push_back(std::make_unique<Relay>(loop, peer_mesh_[static_cast<std::size_t>(i)]));
        }
        services_.resize(static_cast<std::size_t>(nodes));
        for (int i = 0; i < nodes; ++i) start(static_cast<std::size_t>(i));
    }
    void start(std::size_t i) {
        controller::Settings s;
        s.label = labels_[i];
        s.zone = "a";
        s.api = addresses_[i];
        s.mesh = peer_mesh_[i];
        for (std::size_t k = 0; k < labels_.size(); ++k) {
            if (k != i)
                s.peers.push_back(
                    {labels_[k], "a", i == relayed_ || k == relayed_ ? relays_[k]->address : peer_mesh_[k]});
        }
        s.cloud = cloud.address;
        s.state = i == relayed_ ? state_relay_->address : state.address;
        for (const char* t : {"x", "y", "z"}) s.teams[t] = {t, 8, 16, 0, 0};
        s.report_s = 0.1;
        s.lease_s = world.lease_s;
        s.cancel_s = cancel_s;
        s.state_rps = 2000;
        s.state_write_rps = 500;
        s.value_kb = 16;
        s.txn_ops = 6;
        s.cloud_rps = 50;
        s.list_lag_s = 0.2;
        s.memory_mb = 256;
        s.max_connections = 1000;
        s.skew_ms = 5;
        if (adjust) adjust(s);
        controller::Tunables t = controller::parse_tunables({}, s);
        t.store_lease_ttl = Micros{1'200'000};
        t.store_lease_renewal_interval = Micros{250'000};
        t.lease_extension_ttl = Micros{700'000};
        t.silent_release = silent_release;
        services_[i] = std::make_unique<controller::Controller>(loop, s, t);
        services_[i]->start();
    }
    void kill(std::size_t i) { services_[i].reset(); }
    // From the store and the other nodes, but not from its workers.
    void cut_store(bool on) { state_relay_->cut = on; }
    void cut_off(bool on) {
        state_relay_->cut = on;
        for (auto& r : relays_) r->cut = on;
    }
    std::unique_ptr<WorkerStandIn> worker(std::string id) {
        return std::make_unique<WorkerStandIn>(loop, world, std::move(id), "a", addresses_, labels_);
    }
    const std::vector<std::string>& labels() const { return labels_; }
    bool up(std::size_t i) const { return services_[i] != nullptr; }
    io::Address mesh_address(std::size_t i) const { return peer_mesh_[i]; }

    Task<std::pair<int, Json>> call(std::size_t node, std::string method, std::string target, Json body) {
        auto task =
            client.send(addresses_[node], std::move(method), std::move(target),
                        body.is_null() ? "" : wire::encode(body), io::steady_now() + Micros{5'000'000});
        const auto r = co_await std::move(task);
        co_return std::pair{r.status_or(0), wire::decode(body_of(r)).value_or(Json::object())};
    }
    // Repeats a call on any live node until it gets the wanted status code, as users do.
    Task<Json> insist(std::string method, std::string target, Json body, std::set<int> wanted) {
        for (std::size_t turn = 0;; ++turn) {
            const std::size_t node = turn % services_.size();
            if (services_[node]) {
                auto task = call(node, method, target, body);
                auto r = co_await std::move(task);
                if (wanted.contains(r.first)) co_return r.second;
            }
            co_await loop.sleep(Micros{100'000});
        }
    }
    static Json submission(const std::string& id, const std::string& team, const std::string& form,
                           int tasks) {
        return {{"id", id},         {"flock", "c"},      {"crew", team},   {"form", form},
                {"rank", "normal"}, {"legs", tasks},     {"cores", 1.0},   {"accelerators", 0.0},
                {"memGb", 1.0},     {"plate", "img"},    {"sizeGb", 0.1},  {"oneZone", false},
                {"spread", false},  {"borrowed", false}, {"expectS", 1.0}, {"markS", 0.0},
                {"stashS", 0.0}};
    }
    Task<void> submit(std::string id, std::string team, std::string form, int tasks) {
        const Json j = submission(id, team, form, tasks);
        auto task = insist("POST", "/api/jobs", j, {200, 201});
        co_await std::move(task);
    }
    // Submits a job and waits until all its tasks run, and nothing else.
    Task<void> run(std::string id, std::string team, std::string form, int tasks) {
        auto step = submit(std::move(id), std::move(team), std::move(form), tasks);
        co_await std::move(step);
        const std::function<bool()> reached = [&] {
            return world.running.size() == static_cast<std::size_t>(tasks);
        };
        auto waiting = until(reached);
        co_await std::move(waiting);
    }
    Task<void> until_status(std::string id, std::string wanted) {
        while (true) {
            auto task = insist("GET", "/api/jobs/" + id, nullptr, {200});
            const Json v = co_await std::move(task);
            if (v["status"] == wanted) co_return;
            co_await loop.sleep(Micros{100'000});
        }
    }
    // Submits a job and waits until it is done.
    Task<void> run_until_done(std::string id, std::string team, std::string form, int tasks) {
        auto submitting = submit(id, std::move(team), std::move(form), tasks);
        co_await std::move(submitting);
        auto waiting = until_status(std::move(id), "done");
        co_await std::move(waiting);
    }
    // Requests with commands that the workers have received and kept; see WorkerStandIn::hold_orders.
    std::size_t held_orders() const {
        std::size_t count = 0;
        for (const auto& [id, worker] : cloud.workers) count += worker->recorded_attempts.size();
        return count;
    }
    // Each of them arrives once more, or late.
    void deliver_held_orders() {
        for (auto& [id, worker] : cloud.workers) {
            for (const auto& request : worker->recorded_attempts) (void)worker->late_orders(request);
        }
    }
    Task<void> until(std::function<bool()> f) {
        while (!f()) co_await loop.sleep(Micros{20'000});
    }
    std::string leader() const {
        const auto it = state.items.find("h/epoch");
        return it == state.items.end() ? "" : it->second.value["leader"].get<std::string>();
    }
    std::size_t index(const std::string& label) const {
        return static_cast<std::size_t>(std::find(labels_.begin(), labels_.end(), label) - labels_.begin());
    }
    std::uint64_t epoch() const {
        return state.items.contains("h/epoch")
                   ? state.items.at("h/epoch").value["number"].get<std::uint64_t>()
                   : 0;
    }

    // The story, or a failure if it does not end in time. The bound is a backstop, not a measurement.
    void play(std::function<Task<void>(Site&)> story) {
        io::Scope scope;
        bool ended = false;
        const auto wrap = [](Site& s, std::function<Task<void>(Site&)> f, bool& done) -> Task<void> {
            auto task = f(s);
            co_await std::move(task);
            done = true;
            s.loop.stop();
        };
        const auto guard = [](Site& s) -> Task<void> {
            co_await s.loop.sleep(Micros{90'000'000});
            s.loop.stop();
        };
        scope.spawn(guard(*this));
        scope.spawn(wrap(*this, std::move(story), ended));
        loop.run();
        EXPECT_TRUE(ended) << "the story did not end";
        EXPECT_TRUE(world.broken_rules.empty()) << world.broken_rules.front();
        scope.cancel();
        services_.clear();
        cloud.workers.clear();
    }

    std::function<void(controller::Settings&)> adjust;  // the settings of nodes that start from now on
    double cancel_s = 10;
    Micros silent_release{60'000'000};  // leases, not releases, end what is silent here
    io::Loop loop;
    WorkerStandIn::World world;
    StateStandIn state;
    CloudStandIn cloud;
    io::HttpClient client{loop};

  private:
    std::vector<std::string> labels_;
    std::vector<io::Address> addresses_;
    std::vector<io::Address> peer_mesh_;
    std::size_t relayed_ = SIZE_MAX;
    std::unique_ptr<Relay> state_relay_;
    std::vector<std::unique_ptr<Relay>> relays_;
    std::vector<std::unique_ptr<controller::Controller>> services_;
};

}  // namespace hatchwind::test
