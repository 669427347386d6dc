#include "emulator/faults.hpp"

#include <algorithm>
#include <array>

namespace hatchwind::emulator {

namespace {
constexpr std::array kind_names{
    "controller_crash", "controller_rolling", "controller_freeze",  "controller_cut", "leader_changes",
    "state_outage",     "state_slow",         "late_writes",        "zone_cut",       "machine_cut",
    "machine_hang",     "machine_slow",       "machine_death",      "machine_mute",   "machine_deaf",
    "late_reports",     "late_commands",      "duplicate_commands", "spot_taken",     "boot_trouble",
    "cloud_outage",     "late_rentals",       "job_burst",          "cancel_now",     "cancel_at_end",
    "odd_requests",     "close_looks"};
constexpr double usual_pause_s = 3;
constexpr double usual_latest_s = 30;
constexpr double usual_soonest_duplicate_s = 0.3;
constexpr double usual_latest_duplicate_s = 120;

Micros time_of(TableReader& reader, const char* key, double otherwise = 0) {
    return from_seconds(reader.seconds_or(key, otherwise));
}

void read_duration(TableReader& reader, Fault& fault) { fault.lasts = from_seconds(reader.seconds("for_s")); }

void read_controllers(TableReader& reader, Fault& fault) {
    fault.count = reader.count_or("count", 1);
    fault.busiest = reader.flag_or("busiest", false);
    if (fault.count == 0) reader.fail("count", "must be at least 1");
}

void read_mode(TableReader& reader, Fault& fault) {
    fault.mode = static_cast<CutBehaviour>(reader.one_of("mode", {"hold", "lose", "refuse"}, 0));
}

void read_share(TableReader& reader, Fault& fault) {
    if (!reader.has("share")) reader.fail("share", "is missing");
    fault.share = reader.share_or("share", 0);
}

void read_machines(TableReader& reader, Fault& fault) {
    if (!reader.has("count") && !reader.has("share") && !reader.has("zone"))
        reader.fail("count", "is missing, and so are share and zone");
    fault.machines.count = reader.count_or("count", 0);
    fault.machines.share = reader.share_or("share", 1);
    if (reader.has("zone")) fault.machines.zone = reader.text("zone");
}

void read_cut(TableReader& reader, Fault& fault) {
    read_controllers(reader, fault);
    read_duration(reader, fault);
    read_mode(reader, fault);
    const std::vector<std::string> from = reader.texts_or_none("from");
    for (const std::string& name : from) {
        if (name != "state" && name != "peers" && name != "workers" && name != "users")
            reader.fail("from", "holds \"" + name + "\", may hold state, peers, workers, users");
    }
    const auto named = [&](const char* name) {
        return from.empty() || std::find(from.begin(), from.end(), name) != from.end();
    };
    fault.from = {named("state"), named("peers"), named("workers"), named("users")};
}

void read_controller_fault(TableReader& reader, Fault& fault) {
    switch (fault.kind) {
        case FaultKind::controller_crash:
            read_controllers(reader, fault);
            fault.silent = reader.flag_or("silent", false);
            fault.pause = time_of(reader, "pause_s", usual_pause_s);
            break;
        case FaultKind::controller_rolling:
            fault.every = from_seconds(reader.seconds("every_s"));
            fault.pause = time_of(reader, "pause_s", usual_pause_s);
            break;
        case FaultKind::leader_changes:
            fault.count = reader.count_or("count", 1);
            fault.every = from_seconds(reader.seconds("every_s"));
            fault.pause = time_of(reader, "pause_s", usual_pause_s);
            break;
        case FaultKind::controller_freeze:
            read_controllers(reader, fault);
            read_duration(reader, fault);
            break;
        default:
            read_cut(reader, fault);
    }
}

void read_machine_fault(TableReader& reader, Fault& fault) {
    read_machines(reader, fault);
    if (fault.kind != FaultKind::machine_death) read_duration(reader, fault);
    if (fault.kind == FaultKind::machine_cut) read_mode(reader, fault);
    if (fault.kind == FaultKind::machine_slow) fault.factor = reader.number("factor");
}

void read_cloud_fault(TableReader& reader, Fault& fault) {
    switch (fault.kind) {
        case FaultKind::spot_taken:
            read_machines(reader, fault);
            fault.notice = time_of(reader, "notice_s");
            fault.over = time_of(reader, "over_s");
            break;
        case FaultKind::boot_trouble:
            read_duration(reader, fault);
            fault.fail_share = reader.share_or("fail_share", 0);
            fault.factor = reader.number_or("factor", 1);
            fault.instant = reader.flag_or("instant", false);
            break;
        case FaultKind::late_rentals:
            read_share(reader, fault);
            read_duration(reader, fault);
            break;
        default:
            read_duration(reader, fault);
    }
}

void read_user_fault(TableReader& reader, Fault& fault) {
    if (fault.kind == FaultKind::cancel_now) {
        fault.count = reader.count_or("count", 1);
        fault.hang = time_of(reader, "hang_s");
        return;
    }
    read_duration(reader, fault);
    if (fault.kind == FaultKind::cancel_at_end) read_share(reader, fault);
    if (fault.kind != FaultKind::job_burst) return;
    fault.job_class = reader.text("job_class");
    fault.factor = reader.number("factor");
}

void read_message_fault(TableReader& reader, Fault& fault) {
    read_duration(reader, fault);
    if (fault.kind == FaultKind::zone_cut) {
        fault.zones = reader.texts_or_none("zones");
        if (fault.zones.empty()) reader.fail("zones", "must name at least one zone");
        return read_mode(reader, fault);
    }
    if (fault.kind == FaultKind::state_outage) return;
    if (fault.kind == FaultKind::state_slow) {
        fault.factor = reader.number("factor");
        return;
    }
    read_share(reader, fault);
    if (fault.kind == FaultKind::late_writes) fault.at_once = reader.flag_or("at_once", false);
    if (fault.kind == FaultKind::duplicate_commands) {
        fault.soonest = time_of(reader, "soonest_s", usual_soonest_duplicate_s);
        fault.latest = time_of(reader, "latest_s", usual_latest_duplicate_s);
        if (fault.latest < fault.soonest) reader.fail("latest_s", "must not be before soonest_s");
    }
    if (fault.kind != FaultKind::late_reports) return;
    fault.latest = time_of(reader, "latest_s", usual_latest_s);
    fault.for_next_leader = reader.flag_or("for_next_leader", false);
}
}  // namespace

const char* fault_name(FaultKind kind) { return kind_names.at(static_cast<std::size_t>(kind)); }

Micros Fault::ends_at() const {
    if (kind == FaultKind::leader_changes) return at + every * static_cast<std::int64_t>(count) + pause;
    const Micros commands_held = kind == FaultKind::late_commands ? from_seconds(16) : Micros{0};
    return at + std::max({lasts + latest + commands_held, pause, over + notice + notice / 2, hang});
}

Fault read_fault(TableReader& reader) {
    Fault fault;
    reader.text("kind");
    fault.kind = static_cast<FaultKind>(reader.one_of("kind", {kind_names.begin(), kind_names.end()}, 0));
    fault.at = from_seconds(reader.seconds("at_s"));
    switch (fault.kind) {
        case FaultKind::controller_crash:
        case FaultKind::controller_rolling:
        case FaultKind::controller_freeze:
        case FaultKind::controller_cut:
        case FaultKind::leader_changes:
            read_controller_fault(reader, fault);
            break;
        case FaultKind::machine_cut:
        case FaultKind::machine_hang:
        case FaultKind::machine_slow:
        case FaultKind::machine_death:
        case FaultKind::machine_mute:
        case FaultKind::machine_deaf:
            read_machine_fault(reader, fault);
            break;
        case FaultKind::spot_taken:
        case FaultKind::boot_trouble:
        case FaultKind::cloud_outage:
        case FaultKind::late_rentals:
            read_cloud_fault(reader, fault);
            break;
        case FaultKind::job_burst:
        case FaultKind::cancel_now:
        case FaultKind::cancel_at_end:
        case FaultKind::odd_requests:
        case FaultKind::close_looks:
            read_user_fault(reader, fault);
            break;
        case FaultKind::state_outage:
        case FaultKind::state_slow:
        case FaultKind::late_writes:
        case FaultKind::zone_cut:
        case FaultKind::late_reports:
        case FaultKind::late_commands:
        case FaultKind::duplicate_commands:
            read_message_fault(reader, fault);
            break;
    }
    return fault;
}

}  // namespace hatchwind::emulator
