// One placement pass of the shard owner: gathers its input, announces reservations to the other nodes, stages
// starts and sends stops.
#pragma once

#include <map>

#include "cluster/node.hpp"
#include "scheduling/command_dispatcher.hpp"
#include "scheduling/failure_backoff.hpp"
#include "scheduling/staged_records.hpp"

namespace hatchwind::controller {

class PlacementRound {
  public:
    PlacementRound(Node& node, CommandDispatcher& dispatch, const FailureBackoff& failures)
        : node_(node), dispatch_(dispatch), failure_backoff_(failures) {}

    // `most_records`: store records that the starts may touch. Returns how many jobs were left for another
    // pass.
    std::size_t run(StagedRecords& staged, std::size_t most_records);
    void start_epoch() { reservations_.clear(); }

  private:
    core::PlacementInput gather_input(std::size_t most_records) const;
    bool anything_to_start(const core::PlacementInput& input) const;
    void add_peer_reservations(core::PlacementInput& input);
    core::FreeCapacity free_capacity(io::Micros now);
    void announce(const std::map<core::TaskRef, core::Reservation>& reservations, io::Micros now);
    void send_stops(const std::vector<core::Stop>& stops, io::Micros now);

    Node& node_;
    CommandDispatcher& dispatch_;
    const FailureBackoff& failure_backoff_;
    std::map<core::TaskRef, core::Reservation> reservations_;
    std::map<core::TaskRef, io::Micros> announced_;  // until when the others know of a reservation
    std::map<core::TaskRef, io::Micros> stopping_;   // until when a stop for free capacity may take
};

}  // namespace hatchwind::controller
