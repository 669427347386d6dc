#include "emulator/play.hpp"

#include <fmt/format.h>

namespace hatchwind::emulator {

namespace {

constexpr std::uint16_t kWorkerPort = 9000;
constexpr std::uint16_t kCloudPort = 9100;
constexpr std::uint32_t kFirstMachineIp = (10U << 24U) + (1U << 16U);
constexpr Micros kTick{1'000'000};
constexpr Micros kProgressEvery{10'000'000};
// After the last fault, before rules that hold only when troubles are over: time for its ends to show.
constexpr Micros kSettling{10'000'000};
constexpr std::int64_t kMostDriftPpm = 500;

io::Micros from_ms(double ms) { return from_seconds(ms / 1000); }

WorldOptions world_options(const Scenario& scenario, const PlayOptions& options) {
    const auto latency = [](double ms) { return Latency{from_ms(ms * 0.7), from_ms(ms * 0.6)}; };
    WorldOptions world;
    world.seed = scenario.seed;
    world.trace_packets = options.trace_packets;
    world.log_level = options.log_level;
    world.network.same_zone = latency(scenario.network.same_zone_ms);
    world.network.between_zones = latency(scenario.network.between_zones_ms);
    world.network.region = latency(scenario.network.between_zones_ms);
    return world;
}

controller::Settings settings_of(const Scenario& scenario) {
    controller::Settings settings;
    settings.zones = scenario.zones();
    for (const TeamSpec& team : scenario.teams) {
        settings.teams[team.name] = {team.name, team.cores, team.limit.cores, team.accelerators,
                                     team.limit.accelerators};
    }
    for (const ObjectiveSpec& aim : scenario.objectives)
        settings.objectives.push_back({aim.kind, aim.job_class, aim.within_s, aim.share, aim.times});
    settings.report_s = scenario.workers.report_s;
    settings.lease_s = scenario.workers.lease_s;
    settings.gang_wait_s = scenario.workers.gang_wait_s;
    settings.gang_peer_s = scenario.workers.gang_peer_s;
    settings.cancel_s = scenario.workers.cancel_s;
    settings.state_rps = scenario.state.requests_per_s;
    settings.state_write_rps = scenario.state.writes_per_s;
    settings.value_kb = scenario.state.value_kb;
    settings.txn_ops = scenario.state.transaction_writes;
    settings.cloud_rps = scenario.cloud.requests_per_s;
    settings.list_lag_s = scenario.cloud.list_lag_s;
    settings.memory_mb = 256;
    settings.max_connections = 1000;
    settings.skew_ms = scenario.controllers.clock_skew_ms;
    return settings;
}

HostOptions users_host() {
    HostOptions options;
    options.role = HostRole::users;
    return options;
}

StateLatency state_latency(const Scenario& scenario) {
    StateLatency latency;
    latency.least = from_ms(scenario.state.latency_ms * 0.25);
    latency.most = from_ms(scenario.state.latency_ms * 1.75);
    latency.slow_share = 0.002;  // occasionally a few hundred milliseconds
    latency.slow_least = from_ms(100);
    latency.slow_most = from_ms(400);
    return latency;
}

DeploymentOptions deployment_options(const Scenario& scenario, io::Address cloud) {
    DeploymentOptions options;
    options.nodes = scenario.controllers.count;
    options.node_zones = scenario.controllers.zones;
    options.settings = settings_of(scenario);
    options.settings.cloud = cloud;
    return options;
}

}  // namespace

Play::Play(Scenario scenario, PlayOptions options)
    : scenario_(std::move(scenario)),
      options_(std::move(options)),
      world_(world_options(scenario_, options_)),
      trace_writer_(world_),
      checker_(checker_rules(scenario_)),
      recorder_([this] { return world_.now(); }),
      board_(recorder_),
      gangs_(board_, gang_times(scenario_), scenario_.seed),
      cloud_host_(world_.add_host("cloud")),
      deployment_(world_, deployment_options(scenario_, cloud_host_.address(kCloudPort))),
      users_host_(world_.add_host("users", users_host())),
      workers_{board_, gangs_, recorder_, controllers(), worker_times(scenario_), scenario_.seed},
      random_(scenario_.seed, "play") {
    recorder_.add(trace_writer_);
    recorder_.add(checker_);
    recorder_.add(figures_);
    make_actors();
}

Play::~Play() {
    service_faults_.reset();
    model_faults_.reset();
    users_.reset();
    while (!fleet_.empty()) remove(fleet_.begin()->first);
    cloud_.reset();
}

std::vector<NodeAddress> Play::controllers() const {
    std::vector<NodeAddress> nodes;
    for (std::size_t node = 0; node < deployment_.size(); ++node)
        nodes.push_back({deployment_.label(node), deployment_.api(node)});
    return nodes;
}

void Play::make_actors() {
    CloudConfig config = cloud_config(scenario_);
    config.address_of = [](std::uint32_t number) {
        return io::Address{kFirstMachineIp + number, kWorkerPort};
    };
    CloudHooks hooks;
    hooks.boot = [this](const MachineIdentity& machine, io::Address address) { boot(machine, address); };
    hooks.remove = [this](const std::string& machine) { remove(machine); };
    hooks.notice = [this](const std::string& machine, Micros taken_at) {
        const auto worker = fleet_.find(machine);
        if (worker != fleet_.end()) worker->second->give_notice(taken_at);
    };
    world_.run_as(cloud_host_, [&] {
        cloud_ = std::make_unique<Cloud>(cloud_host_.loop(), std::move(config), std::move(hooks), recorder_,
                                         cloud_host_.address(kCloudPort));
    });
    UsersHooks user_hooks;
    user_hooks.hang_machine = [this](const std::string& machine, Micros for_time) {
        model_faults_->hang_for(machine, for_time);
    };
    world_.run_as(users_host_, [&] {
        users_ = std::make_unique<Users>(users_host_.loop(), users_config(scenario_), std::move(user_hooks),
                                         controllers(), board_, recorder_);
        model_faults_ =
            std::make_unique<ModelFaults>(users_host_.loop(), fleet_, *cloud_, *users_, scenario_.seed);
    });
    service_faults_ = std::make_unique<ServiceFaults>(
        world_, deployment_, state_latency(scenario_),
        [this](const MachineChoice& choice) { return choose_machines(fleet_, choice, random_); });
    world_.run_as(cloud_host_, [&] {
        for (const InitialMachines& initial : scenario_.machines)
            cloud_->start_with(initial.type, initial.zone, initial.spot, initial.count);
    });
}

void Play::boot(const MachineIdentity& machine, io::Address address) {
    HostOptions options;
    options.zone = machine.zone;
    options.role = HostRole::machine;
    options.ip = address.ip;
    options.drift_ppm = static_cast<std::int64_t>(random_.below(2 * kMostDriftPpm + 1)) - kMostDriftPpm;
    Host& host = world_.add_host(machine.id, std::move(options));
    host.start([&] {
        auto worker = std::make_shared<Worker>(host.loop(), workers_, machine, address);
        fleet_[machine.id] = worker.get();
        return worker;
    });
    model_faults_->join(*fleet_.at(machine.id));
}

// By value: the name may be the key that is erased.
// NOLINTNEXTLINE(performance-unnecessary-value-param)
void Play::remove(std::string machine) {
    if (fleet_.erase(machine) != 0) world_.host(machine).kill(KillMode::silent);
}

void Play::schedule(const Fault& fault) {
    world_.at(fault.at, [this, &fault] { begin(fault); });
    world_.at(fault.at + fault.lasts, [this, &fault] { end(fault); });
}

void Play::begin(const Fault& fault) {
    world_.note("world", fmt::format("event=fault kind={}", fault_name(fault.kind)));
    if (service_faults_->begin(fault)) return;
    world_.run_as(users_host_, [&] { model_faults_->begin(fault); });
}

void Play::end(const Fault& fault) {
    if (fault.lasts.count() > 0)
        world_.note("world", fmt::format("event=fault_over kind={}", fault_name(fault.kind)));
    if (service_faults_->end(fault)) return;
    world_.run_as(users_host_, [&] { model_faults_->end(fault); });
}

void Play::heartbeat_sequence() {
    checker_.advance(world_.now());
    const std::string leader = deployment_.leader();
    if (leader != last_leader_) {
        world_.note("world", "event=leader node=" + leader);
        std::vector<io::Address> nodes;
        for (const NodeAddress& node : controllers()) nodes.push_back(node.address);
        if (!last_leader_.empty())
            world_.run_as(users_host_, [&] { model_faults_->leader_has_begun(nodes); });
        last_leader_ = leader;
    }
    if (options_.progress && world_.now() % kProgressEvery < kTick) options_.progress(world_.now());
    world_.after(kTick, [this] { heartbeat_sequence(); });
}

void Play::run() {
    deployment_.start_all();
    for (const Fault& fault : scenario_.faults) schedule(fault);
    world_.at(scenario_.troubles_over_at() + kSettling, [this] { recorder_.record(TroublesOver{}); });
    world_.after(kTick, [this] { heartbeat_sequence(); });
    world_.run_until(from_seconds(scenario_.duration_s));
    checker_.finish(world_.now());
}

}  // namespace hatchwind::emulator
