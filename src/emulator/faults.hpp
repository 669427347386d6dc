// The troubles that a scenario can name.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "emulator/random.hpp"
#include "emulator/toml_reader.hpp"

namespace hatchwind::emulator {

enum class FaultKind : std::uint8_t {
    controller_crash,    // count or busiest; silent: as if without power; pause_s until it is back
    controller_rolling,  // all in turn, every_s apart
    controller_freeze,   // count or busiest, for_s
    controller_cut,      // count or busiest, for_s, mode, from
    leader_changes,      // the leader crashes, count times, every_s apart
    state_outage,        // for_s
    state_slow,          // factor, for_s
    late_writes,         // share, for_s; at_once: only the answer is lost
    zone_cut,            // zones, for_s, mode
    machine_cut,         // count, share or zone; for_s, mode
    machine_hang,        // count, share or zone; for_s
    machine_slow,        // count, share or zone; factor, for_s
    machine_death,       // count, share or zone
    machine_mute,        // count, share or zone; for_s
    machine_deaf,        // count, share or zone; for_s
    late_reports,        // share, for_s, latest_s; for_next_leader: kept until one has begun
    late_commands,       // share, for_s
    duplicate_commands,  // share, for_s, soonest_s, latest_s
    spot_taken,          // share or zone, notice_s, over_s
    boot_trouble,        // fail_share, factor, instant, for_s
    cloud_outage,        // for_s
    late_rentals,        // share, for_s
    job_burst,           // job_class, factor, for_s
    cancel_now,          // count, hang_s
    cancel_at_end,       // share, for_s
    odd_requests,        // for_s
    close_looks,         // for_s
};
const char* fault_name(FaultKind kind);

/// What becomes of packets that meet a cut.
enum class CutBehaviour : std::uint8_t { hold, lose, refuse };

/// From whom a controller is cut off.
struct CutFrom {
    bool state = false;
    bool peers = false;
    bool workers = false;
    bool users = false;
};

/// Which machines: a number, or a share, of a zone or of all.
struct MachineChoice {
    std::uint64_t count = 0;  // 0: by share
    double share = 1;
    std::optional<std::string> zone;
};

/// One trouble with its times. Fields that its kind does not use keep their defaults.
struct Fault {
    FaultKind kind = FaultKind::state_outage;
    Micros at{};
    Micros lasts{};  // 0: happens at once
    std::uint64_t count = 1;
    bool busiest = false;  // the leader first
    bool silent = false;
    Micros pause{};
    Micros every{};
    CutBehaviour mode = CutBehaviour::hold;
    CutFrom from;
    std::vector<std::string> zones;
    MachineChoice machines;
    double share = 0;
    double factor = 1;
    bool at_once = false;
    bool for_next_leader = false;
    Micros soonest{};
    Micros latest{};
    Micros notice{};
    Micros over{};
    double fail_share = 0;
    bool instant = false;
    std::string job_class;
    Micros hang{};

    /// When all of it is over.
    Micros ends_at() const;
};

/// Reads one fault; fields that its kind does not use are refused by the reader's finish().
Fault read_fault(TableReader& reader);

}  // namespace hatchwind::emulator
