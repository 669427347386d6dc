/// Whether this controller can serve workers, as it reports to its peers.
#pragma once

#include "core/model.hpp"

namespace hatchwind::controller {

/// Written by the workers' modules. A controller that is partitioned from the workers says so, and its shards
/// move.
struct LocalHealth {
    bool healthy = true;
    core::Micros last_worker_contact{0};  ///< monotonic clock: a heartbeat, or an answered command
};

}  // namespace hatchwind::controller
