// A scenario: a deployment, its job classes, and faults with times; written in TOML (tests/scenarios).
//
// How to use it: read_scenario() or parse_scenario(); then make the actors from the functions at the end. The
// scenario's seed is a default that a command may replace by setting `seed` before making them.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "emulator/checker.hpp"
#include "emulator/cloud.hpp"
#include "emulator/faults.hpp"
#include "emulator/users.hpp"

namespace hatchwind::emulator {

struct ControllersSpec {
    std::uint64_t count = 3;
    std::vector<std::string> zones;  // given to the controllers in turn
    double restart_s = 3;
    double clock_skew_ms = 5;
};

/// One-way delays.
struct DelaysSpec {
    double same_zone_ms = 0.2;
    double between_zones_ms = 1;
};

struct StateSpec {
    double requests_per_s = 100;
    double writes_per_s = 40;
    double value_kb = 16;
    std::uint64_t transaction_writes = 16;
    double latency_ms = 5;
};

struct WorkersSpec {
    double report_s = 2;
    double lease_s = 15;
    double gang_wait_s = 30;
    double gang_peer_s = 5;
    double cancel_s = 40;
};

struct CloudSpec {
    double requests_per_s = 10;
    double list_lag_s = 5;
    double latency_ms = 50;
    double never_up_share = 0;
    double faulty_share = 0;
    SpotHabits spot;
};

/// Machines that are up when the run begins.
struct InitialMachines {
    std::string type;
    std::string zone;
    bool spot = false;
    std::uint32_t count = 0;
};

struct TeamSpec {
    std::string name;
    double weight = 1;
    double cores = 0;  // guaranteed
    double accelerators = 0;
    TeamLimit limit;
};

/// An aim that the settings tell the controllers.
struct ObjectiveSpec {
    std::string kind;
    std::string job_class;
    double within_s = 0;
    double share = 0;
    double times = 1;
};

struct Scenario {
    std::string name;
    std::uint64_t seed = 1;
    double duration_s = 300;
    ControllersSpec controllers;
    DelaysSpec network;
    StateSpec state;
    WorkersSpec workers;
    CloudSpec cloud;
    std::vector<MachineType> machine_types;
    std::vector<Capacity> capacity;
    std::vector<InitialMachines> machines;
    std::vector<TeamSpec> teams;
    std::vector<ObjectiveSpec> objectives;
    std::vector<JobClass> job_classes;
    std::vector<Fault> faults;  // by time

    /// All zones of the catalog, in name order.
    std::vector<std::string> zones() const;
    /// When the last fault has ended.
    Micros troubles_over_at() const;
};

/// Both throw ScenarioError, which names the field.
Scenario parse_scenario(std::string_view text);
Scenario read_scenario(const std::string& path);

CheckerRules checker_rules(const Scenario& scenario);
/// Without `address_of`, which the world knows.
CloudConfig cloud_config(const Scenario& scenario);
UsersConfig users_config(const Scenario& scenario);
WorkerTimes worker_times(const Scenario& scenario);
GangTimes gang_times(const Scenario& scenario);

}  // namespace hatchwind::emulator
