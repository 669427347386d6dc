#include "emulator/scenario.hpp"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace hatchwind::emulator {

namespace {
void read_controllers(TableReader& reader, ControllersSpec& controllers) {
    constexpr std::uint64_t most = 9;
    controllers.count = reader.count_or("count", controllers.count);
    if (controllers.count == 0 || controllers.count > most) reader.fail("count", "must be from 1 to 9");
    controllers.zones = reader.texts_or_none("zones");
    controllers.restart_s = reader.seconds_or("restart_s", controllers.restart_s);
    controllers.clock_skew_ms = reader.number_or("clock_skew_ms", controllers.clock_skew_ms);
}

void read_state(TableReader& reader, StateSpec& state) {
    state.requests_per_s = reader.number_or("requests_per_s", state.requests_per_s);
    state.writes_per_s = reader.number_or("writes_per_s", state.writes_per_s);
    state.value_kb = reader.number_or("value_kb", state.value_kb);
    state.transaction_writes = reader.count_or("transaction_writes", state.transaction_writes);
    state.latency_ms = reader.number_or("latency_ms", state.latency_ms);
}

void read_workers(TableReader& reader, WorkersSpec& workers) {
    workers.report_s = reader.seconds_or("report_s", workers.report_s);
    workers.lease_s = reader.seconds_or("lease_s", workers.lease_s);
    workers.gang_wait_s = reader.seconds_or("gang_wait_s", workers.gang_wait_s);
    workers.gang_peer_s = reader.seconds_or("gang_peer_s", workers.gang_peer_s);
    workers.cancel_s = reader.seconds_or("cancel_s", workers.cancel_s);
    if (workers.report_s <= 0) reader.fail("report_s", "must be positive");
    if (workers.lease_s <= workers.report_s) reader.fail("lease_s", "must be longer than report_s");
}

void read_cloud(TableReader& reader, CloudSpec& cloud) {
    cloud.requests_per_s = reader.number_or("requests_per_s", cloud.requests_per_s);
    cloud.list_lag_s = reader.seconds_or("list_lag_s", cloud.list_lag_s);
    cloud.latency_ms = reader.number_or("latency_ms", cloud.latency_ms);
    cloud.never_up_share = reader.share_or("never_up_share", 0);
    cloud.faulty_share = reader.share_or("faulty_share", 0);
    cloud.spot.taken_per_hour = reader.number_or("spot_taken_per_hour", 0);
    cloud.spot.notice_s = reader.seconds_or("spot_notice_s", 0);
    cloud.spot.silent_share = reader.share_or("spot_silent_share", 0);
}

MachineType read_machine_type(TableReader& reader) {
    MachineType type;
    type.name = reader.text("name");
    type.size.cores = reader.number("cores");
    type.size.accelerators = reader.number_or("accelerators", 0);
    type.size.memory_gb = reader.number("memory_gb");
    type.cache_gb = reader.number_or("cache_gb", 50);
    type.fetch_gb_per_s = reader.number_or("fetch_gb_per_s", 1);
    type.price = reader.number("price");
    type.spot_price = reader.number_or("spot_price", type.price / 3);
    type.boot_s = reader.seconds_or("boot_s", 30);
    type.zones = reader.texts_or_none("zones");
    if (type.zones.empty()) reader.fail("zones", "must name at least one zone");
    if (type.fetch_gb_per_s <= 0) reader.fail("fetch_gb_per_s", "must be positive");
    return type;
}

LogNormal read_distribution(TableReader& reader, const char* key, LogNormal otherwise) {
    if (!reader.has(key)) return otherwise;
    LogNormal distribution;
    reader.table(key, [&](TableReader& values) {
        distribution.median = values.number("median");
        distribution.p95 = values.number_or("p95", distribution.median);
        distribution.max = values.number_or("max", std::max(distribution.p95, distribution.median));
        if (distribution.median <= 0) values.fail("median", "must be positive");
        if (distribution.p95 < distribution.median) values.fail("p95", "must not be below median");
    });
    return distribution;
}

TaskCounts read_tasks(TableReader& reader) {
    TaskCounts counts;
    reader.table("tasks", [&](TableReader& values) {
        for (const double size : values.numbers_or_none("sizes")) {
            if (size < 1) values.fail("sizes", "must be at least 1");
            counts.sizes.push_back(static_cast<std::uint32_t>(size));
        }
        counts.weights = values.numbers_or_none("weights");
        if (counts.weights.empty()) counts.weights.assign(counts.sizes.size(), 1);
        if (counts.weights.size() != counts.sizes.size()) values.fail("weights", "must be as many as sizes");
        if (!counts.sizes.empty()) return;
        counts.distribution.median = values.number_or("median", 1);
        counts.distribution.p95 = values.number_or("p95", counts.distribution.median);
        counts.distribution.max = values.number_or("max", counts.distribution.p95);
    });
    return counts;
}

ImagePool read_images(TableReader& reader) {
    ImagePool images;
    reader.table("images", [&](TableReader& values) {
        images.count = static_cast<std::uint32_t>(values.count_or("count", 1));
        if (images.count == 0) values.fail("count", "must be at least 1");
        images.gb = read_distribution(values, "gb", {1, 1, 1});
        images.zipf = values.number_or("zipf", 1);
    });
    return images;
}

JobClass read_job_class(TableReader& reader) {
    JobClass drawn;
    drawn.name = reader.text("name");
    drawn.form = static_cast<JobForm>(reader.one_of("form", {"array", "gang", "service"}, 0));
    drawn.priority =
        static_cast<Priority>(reader.one_of("priority", {"production", "high", "normal", "best_effort"}, 2));
    if (reader.has("team")) drawn.team = reader.text("team");
    drawn.per_task.cores = reader.number("cores");
    drawn.per_task.accelerators = reader.number_or("accelerators", 0);
    drawn.per_task.memory_gb = reader.number_or("memory_gb", 1);
    drawn.tasks = read_tasks(reader);
    if (!reader.has("run_s")) reader.fail("run_s", "is missing");
    drawn.run_s = read_distribution(reader, "run_s", {});
    drawn.variation = reader.share_or("variation", 0);
    drawn.arrivals_per_s = reader.number_or("arrivals_per_s", 0);
    drawn.initial = static_cast<std::uint32_t>(reader.count_or("initial", 0));
    drawn.images = read_images(reader);
    drawn.estimate_error = reader.number_or("estimate_error", 0);
    drawn.spot = reader.flag_or("spot", true);
    drawn.one_zone = reader.flag_or("one_zone", false);
    drawn.spread = reader.flag_or("spread", false);
    drawn.checkpoint_s = reader.seconds_or("checkpoint_s", 0);
    drawn.save_s = reader.seconds_or("save_s", 0);
    if (reader.has("zone")) drawn.zone = reader.text("zone");
    drawn.machine_types = reader.texts_or_none("machine_types");
    drawn.cancelled_share = reader.share_or("cancelled_share", 0);
    drawn.mistaken_share = reader.share_or("mistaken_share", 0);
    if (reader.has("deadline_factor")) drawn.deadline_factor = reader.number("deadline_factor");
    return drawn;
}

TeamSpec read_team(TableReader& reader) {
    TeamSpec team;
    team.name = reader.text("name");
    team.weight = reader.number_or("weight", 1);
    team.cores = reader.number("cores");
    team.limit.cores = reader.number("cores_max");
    team.accelerators = reader.number_or("accelerators", 0);
    team.limit.accelerators = reader.number_or("accelerators_max", team.accelerators);
    if (team.limit.cores < team.cores) reader.fail("cores_max", "must not be below cores");
    return team;
}

ObjectiveSpec read_objective(TableReader& reader) {
    ObjectiveSpec objective;
    objective.kind = reader.text("kind");
    objective.job_class = reader.text_or("job_class", "");
    objective.within_s = reader.seconds_or("within_s", 0);
    objective.share = reader.share_or("share", 0);
    objective.times = reader.number_or("times", 1);
    return objective;
}

// Names that refer to others.
void check_references(const Scenario& scenario) {
    std::set<std::string> types;
    for (const MachineType& type : scenario.machine_types) types.insert(type.name);
    std::set<std::string> classes;
    for (const JobClass& drawn : scenario.job_classes) classes.insert(drawn.name);
    const auto require_type = [&](const std::string& field, const std::string& type) {
        if (!types.contains(type))
            throw ScenarioError(field + ": machine type \"" + type + "\" is not known");
    };
    for (const Capacity& capacity : scenario.capacity) require_type("capacity.type", capacity.type);
    for (const InitialMachines& machines : scenario.machines) require_type("machine.type", machines.type);
    for (const JobClass& drawn : scenario.job_classes) {
        for (const std::string& type : drawn.machine_types) require_type("job_class.machine_types", type);
        const auto holds = [&](const MachineType& type) { return drawn.per_task.fits(type.size); };
        if (std::none_of(scenario.machine_types.begin(), scenario.machine_types.end(), holds))
            throw ScenarioError("job_class.cores: a task of \"" + drawn.name + "\" fits no machine type");
        const auto named = [&](const TeamSpec& team) { return team.name == drawn.team; };
        if (drawn.team && std::none_of(scenario.teams.begin(), scenario.teams.end(), named))
            throw ScenarioError("job_class.team: team \"" + *drawn.team + "\" is not known");
    }
    for (const Fault& fault : scenario.faults) {
        if (fault.kind == FaultKind::job_burst && !classes.contains(fault.job_class))
            throw ScenarioError("fault.job_class: job class \"" + fault.job_class + "\" is not known");
    }
}

Scenario read(TableReader& reader) {
    Scenario scenario;
    scenario.name = reader.text("name");
    scenario.seed = reader.count_or("seed", 1);
    scenario.duration_s = reader.seconds("duration_s");
    reader.table("controllers", [&](TableReader& values) { read_controllers(values, scenario.controllers); });
    reader.table("network", [&](TableReader& values) {
        scenario.network.same_zone_ms = values.number_or("same_zone_ms", scenario.network.same_zone_ms);
        scenario.network.between_zones_ms =
            values.number_or("between_zones_ms", scenario.network.between_zones_ms);
    });
    reader.table("state", [&](TableReader& values) { read_state(values, scenario.state); });
    reader.table("workers", [&](TableReader& values) { read_workers(values, scenario.workers); });
    reader.table("cloud", [&](TableReader& values) { read_cloud(values, scenario.cloud); });
    reader.tables("machine_type",
                  [&](TableReader& values) { scenario.machine_types.push_back(read_machine_type(values)); });
    reader.tables("capacity", [&](TableReader& values) {
        scenario.capacity.push_back({values.text("type"), values.text("zone"),
                                     static_cast<std::uint32_t>(values.count_or("ordinary", 0)),
                                     static_cast<std::uint32_t>(values.count_or("spot", 0))});
    });
    reader.tables("machine", [&](TableReader& values) {
        scenario.machines.push_back({values.text("type"), values.text("zone"), values.flag_or("spot", false),
                                     static_cast<std::uint32_t>(values.count_or("count", 1))});
    });
    reader.tables("team", [&](TableReader& values) { scenario.teams.push_back(read_team(values)); });
    reader.tables("objective",
                  [&](TableReader& values) { scenario.objectives.push_back(read_objective(values)); });
    reader.tables("job_class",
                  [&](TableReader& values) { scenario.job_classes.push_back(read_job_class(values)); });
    reader.tables("fault", [&](TableReader& values) { scenario.faults.push_back(read_fault(values)); });
    reader.finish();
    return scenario;
}
}  // namespace

Scenario parse_scenario(std::string_view text) {
    toml::table table;
    try {
        table = toml::parse(text);
    } catch (const toml::parse_error& error) {
        throw ScenarioError("not TOML: " + std::string{error.description()} + " (line " +
                            std::to_string(error.source().begin.line) + ")");
    }
    TableReader reader(table, "");
    Scenario scenario = read(reader);
    check_references(scenario);
    std::stable_sort(scenario.faults.begin(), scenario.faults.end(),
                     [](const Fault& a, const Fault& b) { return a.at < b.at; });
    return scenario;
}

Scenario read_scenario(const std::string& path) {
    std::ifstream file(path);
    if (!file) throw ScenarioError(path + ": can't be read");
    std::ostringstream text;
    text << file.rdbuf();
    return parse_scenario(text.str());
}

std::vector<std::string> Scenario::zones() const {
    std::set<std::string> zones;
    for (const MachineType& type : machine_types) zones.insert(type.zones.begin(), type.zones.end());
    return {zones.begin(), zones.end()};
}

Micros Scenario::troubles_over_at() const {
    Micros over{};
    for (const Fault& fault : faults) {
        Micros end = fault.ends_at();
        if (fault.kind == FaultKind::controller_rolling)
            end = fault.at + fault.every * static_cast<std::int64_t>(controllers.count) + fault.pause;
        over = std::max(over, end);
    }
    return over;
}

CheckerRules checker_rules(const Scenario& scenario) {
    CheckerRules rules;
    for (const TeamSpec& team : scenario.teams) rules.teams[team.name] = team.limit;
    rules.cancel_time = from_seconds(scenario.workers.cancel_s);
    return rules;
}

CloudConfig cloud_config(const Scenario& scenario) {
    CloudConfig config;
    config.types = scenario.machine_types;
    config.capacity = scenario.capacity;
    config.spot = scenario.cloud.spot;
    config.requests_per_s = scenario.cloud.requests_per_s;
    config.list_lag_s = scenario.cloud.list_lag_s;
    config.answer_s = scenario.cloud.latency_ms / 1000;
    config.never_up_share = scenario.cloud.never_up_share;
    config.faulty_share = scenario.cloud.faulty_share;
    config.seed = scenario.seed;
    return config;
}

UsersConfig users_config(const Scenario& scenario) {
    UsersConfig config;
    config.classes = scenario.job_classes;
    for (const TeamSpec& team : scenario.teams) config.teams[team.name] = {team.weight, team.limit};
    config.duration = from_seconds(scenario.duration_s);
    config.seed = scenario.seed;
    return config;
}

WorkerTimes worker_times(const Scenario& scenario) {
    return {from_seconds(scenario.workers.report_s), from_seconds(scenario.workers.lease_s)};
}

GangTimes gang_times(const Scenario& scenario) {
    return {from_seconds(scenario.workers.gang_wait_s), from_seconds(scenario.workers.gang_peer_s)};
}

}  // namespace hatchwind::emulator
