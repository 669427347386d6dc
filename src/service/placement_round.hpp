// One placement pass of the owner: gathers its input, announces reservations to the other nodes, stages
// starts and sends stops.
#pragma once

#include <map>

#include "service/failure_records.hpp"
#include "service/node.hpp"
#include "service/order_dispatch.hpp"
#include "service/staged_records.hpp"

namespace hatchwind::service {

class PlacementRound {
  public:
    PlacementRound(Node& node, OrderDispatch& dispatch, const FailureRecords& failures)
        : node_(node), dispatch_(dispatch), failures_(failures) {}

    // `most_records`: store records that the starts may touch. Returns how many jobs were left for another
    // pass.
    std::size_t run(StagedRecords& staged, std::size_t most_records);
    void start_epoch() { reservations_.clear(); }

  private:
    core::PlacementInput gather_input(std::size_t most_records) const;
    bool anything_to_start(const core::PlacementInput& input) const;
    void add_holds(core::PlacementInput& input);
    core::FreeCapacity free_capacity(io::Micros now);
    void announce(const std::map<core::TaskRef, core::Reservation>& reservations, io::Micros now);
    void send_stops(const std::vector<core::Stop>& stops, io::Micros now);

    Node& node_;
    OrderDispatch& dispatch_;
    const FailureRecords& failures_;
    std::map<core::TaskRef, core::Reservation> reservations_;
    std::map<core::TaskRef, io::Micros> announced_;  // until when the others know of a reservation
    std::map<core::TaskRef, io::Micros> stopping_;   // until when a stop for free capacity may take
};

}  // namespace hatchwind::service
