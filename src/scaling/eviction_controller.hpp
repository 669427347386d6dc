// Drains: finds machines that can be given back together, by trial repacking, and marks them.
#pragma once

#include <set>

#include "cluster/node.hpp"
#include "core/drain_planner.hpp"
#include "scaling/cordon_record.hpp"

namespace hatchwind::controller {

class EvictionController {
  public:
    EvictionController(Node& node, CordonRecord& marks) : node_(node), cordons_(marks) {}

    // Plans once, and marks what is chosen.
    io::Task<void> round();
    // This node has begun to lead.
    void start_term() { state_ = {}; }
    // No rounds are held for now: what was open is not known any more.
    void pause() { was_open_.clear(); }

  private:
    void record_stops(io::Micros now);
    core::DrainInput drain_input(io::Micros now) const;
    core::DrainSettings drain_settings() const;
    core::DrainResult plan(const core::DrainInput& input);

    Node& node_;
    CordonRecord& cordons_;
    core::DrainState state_;
    std::set<core::TaskRef> was_open_;  // in the last round
};

}  // namespace hatchwind::controller
