#include "config/settings.hpp"

#include <charconv>
#include <cmath>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <sstream>

namespace hatchwind::controller {

namespace {

using Json = nlohmann::json;

[[noreturn]] void fail(const std::string& field, const std::string& found, const std::string& allowed) {
    throw SettingsError(field + ": found " + found + ", allowed is " + allowed);
}

std::string shown(const Json& v) {
    std::string s = v.dump(-1, ' ', false, Json::error_handler_t::replace);
    if (s.size() > 60) s = s.substr(0, 57) + "...";
    return s;
}

// A value inside the file, with the path that leads to it, for messages.
class Node {
  public:
    Node(const Json& v, std::string path) : value_(v), path_(std::move(path)) {}

    Node at(const char* key) const {
        if (!value_.is_object()) fail(path_.empty() ? "file" : path_, shown(value_), "an object");
        const auto it = value_.find(key);
        if (it == value_.end()) fail(join(key), "nothing", "required");
        return Node{*it, join(key)};
    }
    std::string text() const {
        if (!value_.is_string() || value_.get_ref<const std::string&>().empty())
            fail(path_, shown(value_), "text that is not empty");
        return value_.get<std::string>();
    }
    double number(double least, double most) const {
        if (!value_.is_number() || !std::isfinite(value_.get<double>()) || value_.get<double>() < least ||
            value_.get<double>() > most) {
            std::ostringstream allowed;
            allowed << "a number from " << least << " to " << most;
            fail(path_, shown(value_), allowed.str());
        }
        return value_.get<double>();
    }
    std::size_t whole(std::size_t least, std::size_t most) const {
        const double d = number(static_cast<double>(least), static_cast<double>(most));
        if (d != std::floor(d)) fail(path_, shown(value_), "a whole number");
        return static_cast<std::size_t>(d);
    }
    io::Address address() const {
        const auto a = io::parse_address(text());
        if (!a) fail(path_, shown(value_), "an IPv4 address and port, such as 10.0.0.1:8080");
        return *a;
    }
    void each(const std::function<void(const Node&)>& f) const {
        if (!value_.is_array()) fail(path_, shown(value_), "a list");
        std::size_t i = 0;
        for (const auto& e : value_) f(Node{e, path_ + "[" + std::to_string(i++) + "]"});
    }
    bool has(const char* key) const {
        return value_.is_object() && value_.contains(key) && !value_[key].is_null();
    }

  private:
    std::string join(const char* key) const { return path_.empty() ? key : path_ + "." + key; }
    const Json& value_;
    std::string path_;
};

constexpr double kBig = 1e9;

// The end of a job takes two writes in one transaction.
constexpr std::size_t kLeastTransaction = 2;

void lower_limits(Settings& settings, const Node& next) {
    const auto lower = [&](const char* key, double& limit, double least) {
        if (next.has(key)) limit = std::min(limit, next.at(key).number(least, kBig));
    };
    lower("rps", settings.state_rps, 1);
    lower("write_rps", settings.state_write_rps, 1);
    lower("value_kb", settings.value_kb, 1);
    if (next.has("txn_ops")) {
        settings.txn_ops = std::min(settings.txn_ops, next.at("txn_ops").whole(kLeastTransaction, 100000));
    }
}

std::string trim(std::string_view s) {
    const auto from = s.find_first_not_of(" \t\f\r");
    if (from == std::string_view::npos) return {};
    return std::string{s.substr(from, s.find_last_not_of(" \t\f\r") - from + 1)};
}

}  // namespace

std::string read_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) throw SettingsError("file: found nothing readable at " + path + ", allowed is a readable file");
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

Settings parse_settings(std::string_view text) {
    const Json doc = Json::parse(text, nullptr, false);
    if (doc.is_discarded()) fail("file", "text that is not JSON", "a JSON object");
    const Node root{doc, ""};
    Settings s;
    s.label = root.at("label").text();
    s.zone = root.at("location").text();
    s.api = root.at("api_addr").address();
    s.mesh = root.at("mesh_addr").address();
    root.at("members").each([&](const Node& m) {
        Peer p{m.at("label").text(), m.at("location").text(), m.at("peer_addr").address()};
        if (p.label != s.label) s.peers.push_back(std::move(p));
    });
    s.cloud = root.at("endpoints").at("cloud").address();
    s.state = root.at("endpoints").at("state").address();
    const Node d = root.at("deployment");
    d.at("zones").each([&](const Node& z) { s.zones.push_back(z.text()); });
    d.at("teams").each([&](const Node& t) {
        core::Team team;
        team.name = t.at("name").text();
        team.cpus = t.at("cpus").number(0, kBig);
        team.cpus_max = t.at("cpus_max").number(0, kBig);
        team.gpus = t.at("gpus").number(0, kBig);
        team.gpus_max = t.at("gpus_max").number(0, kBig);
        s.teams[team.name] = team;
    });
    d.at("objectives").each([&](const Node& o) {
        core::Objective out;
        out.kind = o.at("kind").text();
        if (o.has("class")) out.job_class = o.at("class").text();
        if (o.has("within_s")) out.within_s = o.at("within_s").number(0, kBig);
        if (o.has("share")) out.share = o.at("share").number(0, 1);
        if (o.has("times")) out.times = o.at("times").number(0, kBig);
        s.objectives.push_back(std::move(out));
    });
    const Node w = d.at("workers");
    s.report_s = w.at("report_s").number(0.01, 3600);
    s.lease_s = w.at("lease_s").number(0.1, 86400);
    s.gang_wait_s = w.at("gang_wait_s").number(0, 86400);
    s.gang_peer_s = w.at("gang_peer_s").number(0, 86400);
    s.cancel_s = w.at("cancel_s").number(0.1, 86400);
    const Node st = d.at("state");
    s.state_rps = st.at("rps").number(1, kBig);
    s.state_write_rps = st.at("write_rps").number(1, kBig);
    s.value_kb = st.at("value_kb").number(4, 1e6);
    s.txn_ops = st.at("txn_ops").whole(4, 100000);
    if (st.has("next")) lower_limits(s, st.at("next"));
    const Node c = d.at("cloud");
    s.cloud_rps = c.at("rps").number(0.1, kBig);
    s.list_lag_s = c.at("list_lag_s").number(0, 3600);
    const Node m = d.at("machine_limits");
    s.cpu_share = m.at("cpu_share").number(0.001, 1024);
    s.memory_mb = m.at("memory_mb").number(8, kBig);
    s.max_connections = m.at("max_connections").whole(32, 10'000'000);
    s.skew_ms = d.at("skew_ms").number(0, 60000);
    return s;
}

// One state machine over the characters of a line.
// NOLINTNEXTLINE(readability-function-cognitive-complexity)
Properties parse_properties(std::string_view text) {
    Properties out;
    std::size_t line_no = 0;
    std::string joined;
    while (!text.empty() || !joined.empty()) {
        const auto nl = text.find('\n');
        std::string line = trim(text.substr(0, nl));
        text = nl == std::string_view::npos ? std::string_view{} : text.substr(nl + 1);
        ++line_no;
        // A line that begins with # or ! is a comment; one that ends in an odd backslash goes on below.
        if (joined.empty() && (line.empty() || line[0] == '#' || line[0] == '!')) continue;
        const auto slashes = line.size() - (line.find_last_not_of('\\') + 1);
        const bool goes_on = slashes % 2 == 1 && !text.empty();
        if (slashes % 2 == 1) line.pop_back();
        joined += line;
        if (goes_on) continue;
        std::string key;
        std::string value;
        bool in_key = true;
        bool gap = false;
        for (std::size_t i = 0; i < joined.size(); ++i) {
            char ch = joined[i];
            if (ch == '\\' && i + 1 < joined.size()) {
                ch = joined[++i];
                if (ch == 't') ch = '\t';
                if (ch == 'n') ch = '\n';
                if (ch == 'r') ch = '\r';
                (in_key ? key : value) += ch;
                continue;
            }
            if (in_key && (ch == '=' || ch == ':')) {
                in_key = false;
                gap = true;
            } else if (in_key && (ch == ' ' || ch == '\t')) {
                // Blanks end a key; an = or : may still follow.
                const auto next = joined.find_first_not_of(" \t", i);
                if (next != std::string::npos && (joined[next] == '=' || joined[next] == ':')) i = next;
                in_key = false;
                gap = true;
            } else if (in_key) {
                key += ch;
            } else if (!(gap && (ch == ' ' || ch == '\t'))) {
                gap = false;
                value += ch;
            }
        }
        joined.clear();
        if (key.empty()) fail("line " + std::to_string(line_no), "no key", "key = value");
        if (!out.emplace(key, value).second) fail(key, "two values", "one");
    }
    return out;
}

Tunables tune(const Properties& p, const Settings& s) {
    Tunables t;
    Properties left = p;
    const auto take = [&](const char* key, double least, double most,
                          const std::function<void(double)>& use) {
        const auto it = left.find(key);
        if (it == left.end()) return;
        double v = 0;
        const auto& text = it->second;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), v);
        if (ec != std::errc{} || end != text.data() + text.size() || !(v >= least && v <= most)) {
            std::ostringstream allowed;
            allowed << "a number from " << least << " to " << most;
            fail(key, text.empty() ? "nothing" : text, allowed.str());
        }
        use(v);
        left.erase(it);
    };
    const auto seconds = [&](const char* key, double least, double most, core::Micros& into) {
        take(key, least, most, [&](double v) { into = core::Micros{static_cast<std::int64_t>(v * 1e6)}; });
    };
    const auto count = [&](const char* key, double least, double most, std::size_t& into) {
        take(key, least, most, [&](double v) { into = static_cast<std::size_t>(v); });
    };
    // Silence that long means more than one lost report and one change of node (4 s and 1 s on the workers'
    // side).
    t.silent_release = core::Micros{static_cast<std::int64_t>((s.report_s * 2 + 8) * 1e6)};
    seconds("mandate.grant_seconds", 0.5, 60, t.store_lease_ttl);
    seconds("mandate.renew_seconds", 0.1, 30, t.store_lease_renewal_interval);
    seconds("mandate.promise_seconds", 0.5, 30, t.lease_extension_ttl);
    seconds("placement.gap_seconds", 0.001, 5, t.pass_gap);
    seconds("state.watch_gap_seconds", 0, 5, t.watch_gap);
    seconds("fleet.silent_release_seconds", 2, 3600, t.silent_release);
    take("fleet.slack_share", 0.01, 10, [&](double v) { t.fleet.slack_share = v; });
    take("fleet.least_queue_seconds", 1, 3600, [&](double v) { t.fleet.least_queue_s = v; });
    take("fleet.release_ahead_seconds", 0, 3600, [&](double v) { t.fleet.release_ahead_s = v; });
    count("fleet.rent_per_round", 1, 50, t.fleet.most_per_round);
    count("fleet.minimum", 0, 100000, t.drain.fleet_minimum);
    seconds("drain.loop_seconds", 0.1, 600, t.drain_loop);
    seconds("drain.bound_seconds", 0.001, 5, t.drain_bound);
    seconds("drain.unneeded_seconds", 0, 86400, t.drain.unneeded);
    seconds("drain.recent_stop_seconds", 0, 3600, t.drain.recent_stop);
    take("drain.use_threshold", 0, 1, [&](double v) { t.drain.use_threshold = v; });
    count("drain.total_cap", 1, 100, t.drain.total_cap);
    count("drain.busy_cap", 0, 100, t.drain.busy_cap);
    take("fleet.rent_share", 0, 1, [&](double v) { t.rent_share = v; });
    take("drain.total_share", 0, 1, [&](double v) { t.drain_share = v; });
    take("drain.busy_share", 0, 1, [&](double v) { t.drain_busy_share = v; });
    if (!left.empty()) fail(left.begin()->first, "an unknown key", "a key that docs/operations.md lists");
    if (t.store_lease_renewal_interval * 2 > t.store_lease_ttl)
        fail("mandate.renew_seconds", "too long", "at most half of mandate.grant_seconds");
    return t;
}

}  // namespace hatchwind::controller
