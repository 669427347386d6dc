/// Runs complete controllers against fakes of the state service, the cloud and workers, in one event loop on
/// loopback.
#pragma once

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdlib>

#include "controller/controller.hpp"
#include "fake_services.hpp"

namespace hatchwind::test {

using io::Micros;
using io::Task;

// Times after which leases expire that are not renewed.
struct Leases {
    Micros store{1'200'000};
    double worker_s = 3;
};

constexpr int kNoRelayedNode = -1;

class TestDeployment {
  public:
    // `relayed_node`: index of a node that reaches the store and its peers only through relays, so that
    // isolate() can partition it.
    explicit TestDeployment(int nodes, int relayed_node = kNoRelayedNode, Leases leases = {})
        : state(loop), cloud(loop, [this](std::string id, std::string zone) {
              return std::make_unique<FakeWorker>(loop, workload, std::move(id), std::move(zone), addresses_,
                                                  labels_);
          }) {
        spdlog::set_level(std::getenv("TEST_LOG") != nullptr ? spdlog::level::debug : spdlog::level::off);
        for (int i = 0; i < nodes; ++i) {
            labels_.push_back("n" + std::to_string(i));
            addresses_.push_back(loopback_address(free_port()));
            peer_mesh_.push_back(loopback_address(free_port()));
        }
        if (relayed_node >= 0) {
            relayed_node_ = static_cast<std::size_t>(relayed_node);
            state_relay_ = std::make_unique<Relay>(loop, state.address);
            for (int i = 0; i < nodes; ++i)
                peer_relays_.push_back(
                    std::make_unique<Relay>(loop, peer_mesh_[static_cast<std::size_t>(i)]));
        }
        workload.lease_s = leases.worker_s;
        store_lease_ttl_ = leases.store;
        controllers_.resize(static_cast<std::size_t>(nodes));
        for (int i = 0; i < nodes; ++i) start(static_cast<std::size_t>(i));
    }
    void start(std::size_t node) {
        controller::Settings settings;
        settings.label = labels_[node];
        settings.zone = "a";
        settings.api = addresses_[node];
        settings.mesh = peer_mesh_[node];
        for (std::size_t peer = 0; peer < labels_.size(); ++peer) {
            if (peer != node) {
                settings.peers.push_back({labels_[peer], "a",
                                          node == relayed_node_ || peer == relayed_node_
                                              ? peer_relays_[peer]->address
                                              : peer_mesh_[peer]});
            }
        }
        settings.cloud = cloud.address;
        settings.state = node == relayed_node_ ? state_relay_->address : state.address;
        for (const char* team : {"x", "y", "z"}) settings.teams[team] = {team, 8, 16, 0, 0};
        settings.report_s = 0.1;
        settings.lease_s = workload.lease_s;
        settings.cancel_s = cancel_s;
        settings.state_rps = 2000;
        settings.state_write_rps = 500;
        settings.value_kb = 16;
        settings.txn_ops = 6;
        settings.cloud_rps = 50;
        settings.list_lag_s = 0.2;
        settings.memory_mb = 256;
        settings.max_connections = 1000;
        settings.skew_ms = 5;
        if (adjust_settings) adjust_settings(settings);
        controller::Tunables tunables = controller::parse_tunables({}, settings);
        tunables.store_lease_ttl = store_lease_ttl_;
        tunables.store_lease_renewal_interval = Micros{250'000};
        tunables.lease_extension_ttl = Micros{700'000};
        tunables.silent_release = silent_release;
        controllers_[node] = std::make_unique<controller::Controller>(loop, settings, tunables);
        controllers_[node]->start();
    }
    void kill(std::size_t node) { controllers_[node].reset(); }
    // Partitions the relayed node from the store, or ends the partition.
    void block_store(bool on) { state_relay_->blocked = on; }
    // Partitions the relayed node from the store and the other nodes, but not from the workers, or ends the
    // partition.
    void isolate(bool on) {
        state_relay_->blocked = on;
        for (auto& relay : peer_relays_) relay->blocked = on;
    }
    std::unique_ptr<FakeWorker> worker(std::string id) {
        return std::make_unique<FakeWorker>(loop, workload, std::move(id), "a", addresses_, labels_);
    }
    const std::vector<std::string>& labels() const { return labels_; }
    bool up(std::size_t node) const { return controllers_[node] != nullptr; }
    io::Address mesh_address(std::size_t node) const { return peer_mesh_[node]; }
    io::Address api_address(std::size_t node) const { return addresses_[node]; }

    Task<std::pair<int, Json>> call(std::size_t node, std::string method, std::string target, Json body) {
        auto sending =
            client.send(addresses_[node], std::move(method), std::move(target),
                        body.is_null() ? "" : wire::encode(body), io::steady_now() + Micros{5'000'000});
        const auto response = co_await std::move(sending);
        co_return std::pair{response.status_or(0), wire::decode(body_of(response)).value_or(Json::object())};
    }
    // Retries a call, as users do, on the live nodes in turn until the response has one of the wanted status
    // codes. Returns the body.
    Task<Json> retry_until(std::string method, std::string target, Json body, std::set<int> wanted) {
        for (std::size_t attempt = 0;; ++attempt) {
            const std::size_t node = attempt % controllers_.size();
            if (controllers_[node]) {
                auto calling = call(node, method, target, body);
                auto response = co_await std::move(calling);
                if (wanted.contains(response.first)) co_return response.second;
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
        const Json body = submission(id, team, form, tasks);
        auto submitting = retry_until("POST", "/api/jobs", body, {200, 201});
        co_await std::move(submitting);
    }
    // Submits a job and waits until all its tasks run. Requires that no other task runs.
    Task<void> run(std::string id, std::string team, std::string form, int tasks) {
        auto submitting = submit(std::move(id), std::move(team), std::move(form), tasks);
        co_await std::move(submitting);
        const std::function<bool()> all_run = [&] {
            return workload.running.size() == static_cast<std::size_t>(tasks);
        };
        auto waiting = until(all_run);
        co_await std::move(waiting);
    }
    Task<void> until_status(std::string id, std::string wanted) {
        while (true) {
            auto polling = retry_until("GET", "/api/jobs/" + id, nullptr, {200});
            const Json job = co_await std::move(polling);
            if (job["status"] == wanted) co_return;
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
    // Returns the number of command requests that the workers hold; see FakeWorker::hold_commands.
    std::size_t held_command_requests() const {
        std::size_t count = 0;
        for (const auto& [id, worker] : cloud.workers) count += worker->held_requests.size();
        return count;
    }
    // Delivers each held command request, late or once more.
    void deliver_held_commands() {
        for (auto& [id, worker] : cloud.workers) {
            for (const auto& request : worker->held_requests) (void)worker->deliver_late_commands(request);
        }
    }
    // Delivers each command request that was carried out and answered once more; returns how many copies
    // the workers accepted.
    std::size_t deliver_answered_commands() {
        std::size_t accepted = 0;
        for (auto& [id, worker] : cloud.workers) {
            for (const auto& request : worker->answered_requests) {
                if (worker->deliver_late_commands(request)) ++accepted;
            }
        }
        return accepted;
    }
    // Waits until the condition is true.
    Task<void> until(std::function<bool()> condition) {
        while (!condition()) co_await loop.sleep(Micros{20'000});
    }
    std::string leader() const {
        const auto epoch_record = state.items.find("h/epoch");
        return epoch_record == state.items.end() ? ""
                                                 : epoch_record->second.value["leader"].get<std::string>();
    }
    std::size_t index(const std::string& label) const {
        return static_cast<std::size_t>(std::find(labels_.begin(), labels_.end(), label) - labels_.begin());
    }
    std::uint64_t epoch() const {
        return state.items.contains("h/epoch")
                   ? state.items.at("h/epoch").value["number"].get<std::uint64_t>()
                   : 0;
    }

    // Writes the next epoch with the same members and shard owners.
    void write_next_epoch() {
        Json epoch_record = state.items.at("h/epoch").value;
        epoch_record["number"] = epoch_record["number"].get<std::uint64_t>() + 1;
        const Json write{{"write", "h/epoch"}, {"v", epoch_record}};
        state.deliver_late_commit({{"when", Json::array()}, {"writes", Json::array({write})}});
    }
    // Waits until every worker has received the fencing token of the current epoch.
    Task<void> until_workers_know_epoch() {
        const std::function<bool()> all_know = [this] {
            return std::all_of(cloud.workers.begin(), cloud.workers.end(), [this](const auto& worker) {
                return worker.second->fencing_token() == epoch();
            });
        };
        auto waiting = until(all_know);
        co_await std::move(waiting);
    }

    // Runs the scenario; fails the test if the scenario does not finish within 90 s or a worker reports a
    // violation. The time limit only guards against a hanging test.
    void play(std::function<Task<void>(TestDeployment&)> scenario) {
        io::Scope scope;
        bool finished = false;
        const auto run_scenario = [](TestDeployment& site, std::function<Task<void>(TestDeployment&)> steps,
                                     bool& done) -> Task<void> {
            auto running = steps(site);
            co_await std::move(running);
            done = true;
            site.loop.stop();
        };
        const auto stop_at_time_limit = [](TestDeployment& site) -> Task<void> {
            co_await site.loop.sleep(Micros{90'000'000});
            site.loop.stop();
        };
        scope.spawn(stop_at_time_limit(*this));
        scope.spawn(run_scenario(*this, std::move(scenario), finished));
        loop.run();
        EXPECT_TRUE(finished) << "the scenario did not finish within the time limit";
        EXPECT_TRUE(workload.violations.empty()) << workload.violations.front();
        scope.cancel();
        controllers_.clear();
        cloud.workers.clear();
    }

    std::function<void(controller::Settings&)>
        adjust_settings;  // changes the settings of nodes before they start
    double cancel_s = 10;
    // So long that the tasks of an unresponsive worker end by lease expiry, not by release of its machine.
    Micros silent_release{60'000'000};
    io::Loop loop;
    FakeWorker::Workload workload;
    FakeStore state;
    FakeCloud cloud;
    io::HttpClient client{loop};

  private:
    Micros store_lease_ttl_{};
    std::vector<std::string> labels_;
    std::vector<io::Address> addresses_;
    std::vector<io::Address> peer_mesh_;
    std::size_t relayed_node_ = SIZE_MAX;  // SIZE_MAX: none
    std::unique_ptr<Relay> state_relay_;
    std::vector<std::unique_ptr<Relay>> peer_relays_;  // one for each node's mesh address
    std::vector<std::unique_ptr<controller::Controller>> controllers_;
};

}  // namespace hatchwind::test
