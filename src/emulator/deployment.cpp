#include "emulator/deployment.hpp"

#include "store/store_keys.hpp"
#include "wire/cbor.hpp"

namespace hatchwind::emulator {

namespace {

std::int64_t draw_drift(std::mt19937_64& random, std::int64_t most_ppm) {
    if (most_ppm == 0) return 0;
    return static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(2 * most_ppm + 1)) - most_ppm;
}

StateLimits limits_of(const controller::Settings& settings) {
    StateLimits limits;
    limits.requests_per_s = settings.state_rps;
    limits.writes_per_s = settings.state_write_rps;
    limits.store.writes = settings.txn_ops;
    limits.store.value_kb = settings.value_kb;
    return limits;
}

}  // namespace

Deployment::Deployment(World& world, DeploymentOptions options)
    : world_(world), options_(std::move(options)), state_host_(&world.add_host("state")) {
    std::mt19937_64 random = world.random("deployment");
    state_ = std::make_unique<StateService>(world, *state_host_, limits_of(options_.settings));
    for (std::size_t i = 0; i < options_.nodes; ++i) {
        HostOptions host;
        host.role = HostRole::controller;
        const auto& zones = options_.node_zones.empty() ? options_.settings.zones : options_.node_zones;
        host.zone = zones.empty() ? "a" : zones[i % zones.size()];
        host.drift_ppm = draw_drift(random, options_.most_drift_ppm);
        const auto skew_us = static_cast<std::int64_t>(options_.settings.skew_ms * 1000);
        // Nothing may depend on where another's steady clock stands.
        host.steady_start = io::Micros{static_cast<std::int64_t>(i + 1) * 1'000'000'000};
        host.wall_skew = io::Micros{draw_drift(random, skew_us)};
        nodes_.push_back(&world.add_host("node" + std::to_string(i), host));
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        controller::Settings settings = options_.settings;
        settings.label = label(i);
        settings.zone = nodes_[i]->zone();
        settings.api = api(i);
        settings.mesh = nodes_[i]->address(kMeshPort);
        settings.state = state_->address_for(label(i));
        for (const Host* peer : nodes_) {
            if (peer != nodes_[i])
                settings.peers.push_back({peer->name(), peer->zone(), peer->address(kMeshPort)});
        }
        settings_.push_back(std::move(settings));
    }
}

void Deployment::start(std::size_t index) {
    Host& host = node(index);
    host.start([&]() -> std::shared_ptr<void> {
        const controller::Settings& settings = settings_.at(index);
        controller::Tunables tunables = controller::parse_tunables({}, settings);
        if (options_.adjust) options_.adjust(tunables);
        auto made = std::make_shared<controller::Controller>(host.loop(), settings, tunables);
        made->start();
        return made;
    });
}

void Deployment::start_all() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) start(i);
}

void Deployment::restart(std::size_t index, io::Micros pause, KillMode mode) {
    kill(index, mode);
    world_.after(pause, [this, index] { start(index); });
}

std::string Deployment::leader() const {
    const auto found = state_->store().items().find(controller::keys::kEpoch);
    if (found == state_->store().items().end()) return "";
    return wire::text(found->second.value, "leader").value_or("");
}

std::uint64_t Deployment::epoch() const {
    const auto found = state_->store().items().find(controller::keys::kEpoch);
    if (found == state_->store().items().end()) return 0;
    return wire::whole(found->second.value, "number").value_or(0);
}

std::size_t Deployment::leader_index() const {
    const std::string name = leader();
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        if (label(i) == name) return i;
    return nodes_.size();
}

}  // namespace hatchwind::emulator
