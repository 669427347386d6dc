// Drains: finds machines that can be given back together, by trial repacking, and marks them.
#pragma once

#include <set>

#include "core/drain_planner.hpp"
#include "service/drain_marks.hpp"
#include "service/node.hpp"

namespace hatchwind::service {

class Draining {
  public:
    Draining(Node& node, DrainMarks& marks) : node_(node), marks_(marks) {}

    // Plans once, and marks what is chosen.
    io::Task<void> round();
    // This node has begun to lead.
    void start_term() { state_ = {}; }
    // No rounds are held for now: what was open is not known any more.
    void pause() { was_open_.clear(); }

  private:
    void note_stops(io::Micros now);
    core::DrainInput drain_input(io::Micros now) const;
    core::DrainSettings drain_settings() const;
    core::DrainResult plan(const core::DrainInput& input);

    Node& node_;
    DrainMarks& marks_;
    core::DrainState state_;
    std::set<core::TaskRef> was_open_;  // in the last round
};

}  // namespace hatchwind::service
