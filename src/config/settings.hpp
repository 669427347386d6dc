/// The platform's settings: what this controller is, whom it deals with, and the limits that the deployment
/// gives. Names of the keys are the platform's; the parser maps them to the names of this program.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/model.hpp"
#include "io/socket.hpp"

namespace hatchwind::controller {

/// Another controller of the cluster.
struct Peer {
    std::string label;
    std::string zone;
    io::Address address;  ///< of its mesh listener
};

/// Read once at the start, and constant from then on.
struct Settings {
    std::string label;  ///< of this controller
    std::string zone;   ///< of this controller
    /// @name Addresses
    /// @{
    io::Address api;    ///< where this controller listens for users and workers
    io::Address mesh;   ///< where it listens for its peers
    io::Address cloud;  ///< of the cloud's API
    io::Address state;  ///< of the state service: the store
    /// @}
    std::vector<Peer> peers;
    std::vector<std::string> zones;           ///< of the deployment
    std::map<std::string, core::Team> teams;  ///< by name
    std::vector<core::Objective> objectives;

    /// @name Workers
    /// Seconds.
    /// @{
    double report_s = 0;     ///< interval of a worker's heartbeats
    double lease_s = 0;      ///< how long a worker runs its tasks after its last answered heartbeat
    double gang_wait_s = 0;  ///< how long a gang's first task waits for the last one to start
    double gang_peer_s = 0;  ///< by which a gang's tasks have noticed that one of them is lost
    double cancel_s = 0;     ///< within which a cancelled job has to end
    /// @}

    /// @name Limits of the store
    /// For all controllers together. Of the limits that hold now and those announced for later (`state.next`)
    /// the smaller ones: the later ones come into force without notice.
    /// @{
    double state_rps = 0;        ///< requests a second
    double state_write_rps = 0;  ///< writes a second
    double value_kb = 0;         ///< kibibytes of one value in JSON form
    std::size_t txn_ops = 0;     ///< writes of one transaction
    /// Bytes that one value may take in JSON form.
    std::size_t value_limit() const;
    /// Bytes that one value surely holds, with room for what was not counted.
    std::size_t value_bytes() const;
    /// @}

    /// @name The cloud
    /// @{
    double cloud_rps = 0;   ///< calls a second, of all controllers together
    double list_lag_s = 0;  ///< seconds by which its list of instances may be out of date
    /// @}

    /// @name The machine that this controller runs on
    /// @{
    double cpu_share = 1;             ///< cores
    double memory_mb = 0;             ///< megabytes
    std::size_t max_connections = 0;  ///< open sockets
    double skew_ms = 0;               ///< milliseconds by which two machines' wall clocks may differ
    /// @}
};

/// Keys that this version does not know are ignored. Throws SettingsError.
Settings parse_settings(std::string_view text);

/// The whole file. Throws SettingsError when it can't be read.
std::string read_file(const std::string& path);

}  // namespace hatchwind::controller
