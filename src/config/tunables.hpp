/// What operators may tune by properties, with its defaults. docs/operations.md lists the properties.
#pragma once

#include "config/properties.hpp"
#include "config/settings.hpp"
#include "core/drain_planner.hpp"
#include "core/scale_out_planner.hpp"
#include "core/time.hpp"

namespace hatchwind::controller {

/// Read once at the start, and constant from then on.
struct Tunables {
    core::Micros store_lease_ttl{2'500'000};
    core::Micros store_lease_renewal_interval{600'000};  ///< at most half of the time to live
    core::Micros lease_extension_ttl{1'500'000};  ///< how long a vote to extend a leadership lease lasts
    core::Micros pass_gap{25'000};                ///< pause between two placement passes, at least
    core::Micros watch_gap{100'000};              ///< between two watches of the store, at least
    /// How long a machine with tasks may be unresponsive before it is released. The default depends on the
    /// heartbeat interval; parse_tunables() sets it.
    core::Micros silent_release{0};
    core::Micros drain_loop{5'000'000};  ///< pause between two rounds of the drain planner
    core::Micros drain_bound{50'000};    ///< longest time that the drain planner takes in a round
    core::DrainSettings drain;
    core::ScaleOutSettings fleet;
    /// @name Shares of the fleet
    /// Caps that grow with the number of machines; the counts in the planners' settings are their minimum.
    /// @{
    double drain_share = 0.15;       ///< machines that may be draining at a time
    double drain_busy_share = 0.04;  ///< of these, machines with tasks
    double rent_share = 0.25;        ///< instances requested in one round
    /// @}
};

/// Throws SettingsError for an unknown property, and for a value that is not allowed.
Tunables parse_tunables(const Properties& properties, const Settings& settings);

}  // namespace hatchwind::controller
