#include "config/settings.hpp"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "config/settings_error.hpp"
#include "config/settings_value.hpp"

namespace hatchwind::controller {

namespace {

// What stands for "no limit" in the ranges of numbers.
constexpr double kUnlimited = 1e9;
constexpr int kMaxNestingDepth = 64;  // of lists and objects; the file itself needs 5
constexpr double kBytesPerKibibyte = 1024;
constexpr double kSurelyHeldPart = 0.9;
constexpr std::size_t kMostTransactionWrites = 100'000;
// The end of a job takes two writes in one transaction.
constexpr std::size_t kLeastAnnouncedTransactionWrites = 2;

// Reading is not recursive, but what shows a value in an error message is: the depth is bounded here for all
// (Settings.ValuesDeepInsideOneAnotherAreAnError).
nlohmann::json parse_json(std::string_view text) {
    bool too_deep = false;
    const auto keep = [&](int depth, nlohmann::json::parse_event_t /*event*/, nlohmann::json& /*value*/) {
        too_deep = too_deep || depth > kMaxNestingDepth;
        return !too_deep;
    };
    constexpr bool kThrows = false;
    nlohmann::json document = nlohmann::json::parse(text, keep, kThrows);
    if (too_deep) {
        throw SettingsError("file", "values nested too deeply",
                            "at most " + std::to_string(kMaxNestingDepth) + " lists and objects");
    }
    if (document.is_discarded()) throw SettingsError("file", "text that is not JSON", "a JSON object");
    return document;
}

Peer parse_peer(const SettingsValue& member) {
    return {.label = member.at("label").text(),
            .zone = member.at("location").text(),
            .address = member.at("peer_addr").address()};
}

void parse_controller(const SettingsValue& root, Settings& settings) {
    settings.label = root.at("label").text();
    settings.zone = root.at("location").text();
    settings.api = root.at("api_addr").address();
    settings.mesh = root.at("mesh_addr").address();
}

// The list of members may name this controller too.
void parse_peers(const SettingsValue& members, Settings& settings) {
    for (const auto& member : members.elements()) {
        Peer peer = parse_peer(member);
        if (peer.label != settings.label) settings.peers.push_back(std::move(peer));
    }
}

void parse_endpoints(const SettingsValue& endpoints, Settings& settings) {
    settings.cloud = endpoints.at("cloud").address();
    settings.state = endpoints.at("state").address();
}

core::Team parse_team(const SettingsValue& value) {
    core::Team team;
    team.name = value.at("name").text();
    team.cpus = value.at("cpus").number(0, kUnlimited);
    team.cpus_max = value.at("cpus_max").number(0, kUnlimited);
    team.gpus = value.at("gpus").number(0, kUnlimited);
    team.gpus_max = value.at("gpus_max").number(0, kUnlimited);
    return team;
}

core::Objective parse_objective(const SettingsValue& value) {
    core::Objective objective;
    objective.kind = value.at("kind").text();
    if (value.has("class")) objective.job_class = value.at("class").text();
    if (value.has("within_s")) objective.within_s = value.at("within_s").number(0, kUnlimited);
    if (value.has("share")) objective.share = value.at("share").number(0, 1);
    if (value.has("times")) objective.deadline_multiple = value.at("times").number(0, kUnlimited);
    return objective;
}

void parse_workers(const SettingsValue& workers, Settings& settings) {
    settings.report_s = workers.at("report_s").number(0.01, 3600);
    settings.lease_s = workers.at("lease_s").number(0.1, 86400);
    settings.gang_wait_s = workers.at("gang_wait_s").number(0, 86400);
    settings.gang_peer_s = workers.at("gang_peer_s").number(0, 86400);
    settings.cancel_s = workers.at("cancel_s").number(0.1, 86400);
}

void lower_to_announced(const SettingsValue& next, const char* key, double& limit) {
    if (next.has(key)) limit = std::min(limit, next.at(key).number(1, kUnlimited));
}

void lower_to_announced_limits(const SettingsValue& next, Settings& settings) {
    lower_to_announced(next, "rps", settings.state_rps);
    lower_to_announced(next, "write_rps", settings.state_write_rps);
    lower_to_announced(next, "value_kb", settings.value_kb);
    if (!next.has("txn_ops")) return;
    const std::size_t announced =
        next.at("txn_ops").whole_number(kLeastAnnouncedTransactionWrites, kMostTransactionWrites);
    settings.txn_ops = std::min(settings.txn_ops, announced);
}

void parse_store_limits(const SettingsValue& state, Settings& settings) {
    settings.state_rps = state.at("rps").number(1, kUnlimited);
    settings.state_write_rps = state.at("write_rps").number(1, kUnlimited);
    settings.value_kb = state.at("value_kb").number(4, 1e6);
    settings.txn_ops = state.at("txn_ops").whole_number(4, kMostTransactionWrites);
    if (state.has("next")) lower_to_announced_limits(state.at("next"), settings);
}

void parse_cloud_limits(const SettingsValue& cloud, Settings& settings) {
    settings.cloud_rps = cloud.at("rps").number(0.1, kUnlimited);
    settings.list_lag_s = cloud.at("list_lag_s").number(0, 3600);
}

void parse_machine_limits(const SettingsValue& limits, Settings& settings) {
    settings.cpu_share = limits.at("cpu_share").number(0.001, 1024);
    settings.memory_mb = limits.at("memory_mb").number(8, kUnlimited);
    settings.max_connections = limits.at("max_connections").whole_number(32, 10'000'000);
}

void parse_deployment(const SettingsValue& deployment, Settings& settings) {
    for (const auto& zone : deployment.at("zones").elements()) settings.zones.push_back(zone.text());
    for (const auto& value : deployment.at("teams").elements()) {
        const core::Team team = parse_team(value);
        settings.teams[team.name] = team;
    }
    for (const auto& value : deployment.at("objectives").elements())
        settings.objectives.push_back(parse_objective(value));
    parse_workers(deployment.at("workers"), settings);
    parse_store_limits(deployment.at("state"), settings);
    parse_cloud_limits(deployment.at("cloud"), settings);
    parse_machine_limits(deployment.at("machine_limits"), settings);
    settings.skew_ms = deployment.at("skew_ms").number(0, 60000);
}

}  // namespace

std::size_t Settings::value_limit() const { return static_cast<std::size_t>(value_kb * kBytesPerKibibyte); }

std::size_t Settings::value_bytes() const {
    return static_cast<std::size_t>(value_kb * kBytesPerKibibyte * kSurelyHeldPart);
}

std::string read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) throw SettingsError("file", "nothing readable at " + path, "a readable file");
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

Settings parse_settings(std::string_view text) {
    const nlohmann::json document = parse_json(text);
    const SettingsValue root{document};
    Settings settings;
    // In this order: of several errors the operator sees the first.
    parse_controller(root, settings);
    parse_peers(root.at("members"), settings);
    parse_endpoints(root.at("endpoints"), settings);
    parse_deployment(root.at("deployment"), settings);
    return settings;
}

}  // namespace hatchwind::controller
