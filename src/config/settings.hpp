// The platform's settings file and the operators' own properties.
#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "core/drain_planner.hpp"
#include "core/model.hpp"
#include "core/scale_out_planner.hpp"
#include "io/socket.hpp"

namespace hatchwind::controller {

// One line: the field, what was found, what is allowed.
struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Peer {
    std::string label;
    std::string zone;
    io::Address address;
};

struct Settings {
    std::string label;
    std::string zone;
    io::Address api;
    io::Address mesh;
    std::vector<Peer> peers;
    io::Address cloud;
    io::Address state;
    std::map<std::string, core::Team> teams;
    std::vector<std::string> zones;
    std::vector<core::Objective> objectives;
    double report_s = 0, lease_s = 0, gang_wait_s = 0, gang_peer_s = 0, cancel_s = 0;
    // The store's limits: of those that hold now and those announced for some later moment
    // (`state.next`), the smaller ones. The later ones come into force without notice.
    double state_rps = 0, state_write_rps = 0, value_kb = 0;
    // The most that one value may take in JSON form.
    std::size_t value_limit() const { return static_cast<std::size_t>(value_kb * 1024); }
    // What one value of the store surely holds.
    std::size_t value_bytes() const { return static_cast<std::size_t>(value_kb * 1024 * 0.9); }
    std::size_t txn_ops = 0;
    double cloud_rps = 0, list_lag_s = 0;
    double cpu_share = 1, memory_mb = 0;
    std::size_t max_connections = 0;
    double skew_ms = 0;
};

Settings parse_settings(std::string_view text);

// Operators' properties. Every key has a default; an unknown key is an error.
struct Tunables {
    core::Micros store_lease_ttl{2'500'000};
    core::Micros store_lease_renewal_interval{600'000};
    core::Micros lease_extension_ttl{1'500'000};
    core::Micros pass_gap{25'000};
    core::Micros watch_gap{100'000};
    core::Micros silent_release{0};  // 0: from the workers' settings
    core::DrainSettings drain;
    core::Micros drain_loop{5'000'000};
    core::Micros drain_bound{50'000};
    core::ScaleOutSettings fleet;
    // Parts of the fleet; the counts in the planners' settings are the least.
    double drain_share = 0.15;
    double drain_busy_share = 0.04;
    double rent_share = 0.25;
};

using Properties = std::map<std::string, std::string>;
Properties parse_properties(std::string_view text);
Tunables tune(const Properties& p, const Settings& s);

std::string read_file(const std::string& path);

}  // namespace hatchwind::controller
