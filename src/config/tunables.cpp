#include "config/tunables.hpp"

#include <charconv>
#include <string>
#include <system_error>
#include <utility>

#include "config/settings_error.hpp"

namespace hatchwind::controller {

namespace {

using core::from_seconds;

// A worker that loses one heartbeat and then changes to another controller is late by up to 4 s and 1 s. The
// time after which a machine counts as unresponsive is longer than that.
constexpr double kSilentHeartbeats = 2;
constexpr double kSilentMarginSeconds = 8;

// Reads properties one by one into the variables that they set. An absent property leaves the default.
class PropertyReader {
  public:
    explicit PropertyReader(Properties properties) : unread_(std::move(properties)) {}

    void number(const char* key, double least, double most, double& into) {
        const auto property = unread_.find(key);
        if (property == unread_.end()) return;
        into = parse_number(key, property->second, least, most);
        unread_.erase(property);
    }
    void seconds(const char* key, double least, double most, core::Micros& into) {
        if (!unread_.contains(key)) return;
        double seconds = 0;
        number(key, least, most, seconds);
        into = from_seconds(seconds);
    }
    // Rounds down.
    void count(const char* key, double least, double most, std::size_t& into) {
        if (!unread_.contains(key)) return;
        double count = 0;
        number(key, least, most, count);
        into = static_cast<std::size_t>(count);
    }
    // Throws if a property is left that no call has read.
    void refuse_unknown() const {
        if (unread_.empty()) return;
        throw SettingsError(unread_.begin()->first, "an unknown key", "a key that docs/operations.md lists");
    }

  private:
    static double parse_number(const char* key, const std::string& text, double least, double most) {
        double number = 0;
        const char* text_end = text.data() + text.size();
        const auto [parsed_end, error] = std::from_chars(text.data(), text_end, number);
        const bool is_number = error == std::errc{} && parsed_end == text_end;
        // False for NaN, too.
        const bool in_range = number >= least && number <= most;
        if (!is_number || !in_range)
            throw SettingsError(key, text.empty() ? "nothing" : text, number_range(least, most));
        return number;
    }

    Properties unread_;
};

void read_intervals(PropertyReader& reader, Tunables& tunables) {
    reader.seconds("mandate.grant_seconds", 0.5, 60, tunables.store_lease_ttl);
    reader.seconds("mandate.renew_seconds", 0.1, 30, tunables.store_lease_renewal_interval);
    reader.seconds("mandate.promise_seconds", 0.5, 30, tunables.lease_extension_ttl);
    reader.seconds("placement.gap_seconds", 0.001, 5, tunables.pass_gap);
    reader.seconds("state.watch_gap_seconds", 0, 5, tunables.watch_gap);
}

void read_scale_out(PropertyReader& reader, Tunables& tunables) {
    reader.seconds("fleet.silent_release_seconds", 2, 3600, tunables.silent_release);
    reader.number("fleet.slack_share", 0.01, 10, tunables.fleet.slack_share);
    reader.number("fleet.least_queue_seconds", 1, 3600, tunables.fleet.min_queue_s);
    reader.number("fleet.release_ahead_seconds", 0, 3600, tunables.fleet.release_ahead_s);
    reader.count("fleet.rent_per_round", 1, 50, tunables.fleet.max_instances_per_round);
    reader.count("fleet.minimum", 0, 100000, tunables.drain.fleet_minimum);
}

void read_drain(PropertyReader& reader, Tunables& tunables) {
    reader.seconds("drain.loop_seconds", 0.1, 600, tunables.drain_loop);
    reader.seconds("drain.bound_seconds", 0.001, 5, tunables.drain_bound);
    reader.seconds("drain.unneeded_seconds", 0, 86400, tunables.drain.unneeded);
    reader.seconds("drain.recent_stop_seconds", 0, 3600, tunables.drain.recent_stop);
    reader.number("drain.use_threshold", 0, 1, tunables.drain.use_threshold);
    reader.count("drain.total_cap", 1, 100, tunables.drain.total_cap);
    reader.count("drain.busy_cap", 0, 100, tunables.drain.busy_cap);
}

void read_fleet_shares(PropertyReader& reader, Tunables& tunables) {
    reader.number("fleet.rent_share", 0, 1, tunables.rent_share);
    reader.number("drain.total_share", 0, 1, tunables.drain_share);
    reader.number("drain.busy_share", 0, 1, tunables.drain_busy_share);
}

}  // namespace

Tunables parse_tunables(const Properties& properties, const Settings& settings) {
    Tunables tunables;
    tunables.silent_release = from_seconds(settings.report_s * kSilentHeartbeats + kSilentMarginSeconds);
    PropertyReader reader{properties};
    // The order decides which of several errors is reported.
    read_intervals(reader, tunables);
    read_scale_out(reader, tunables);
    read_drain(reader, tunables);
    read_fleet_shares(reader, tunables);
    reader.refuse_unknown();
    if (tunables.store_lease_renewal_interval * 2 > tunables.store_lease_ttl)
        throw SettingsError("mandate.renew_seconds", "too long", "at most half of mandate.grant_seconds");
    return tunables;
}

}  // namespace hatchwind::controller
