// One placement pass of the shard owner: gathers its input, announces reservations to the other nodes, stages
// starts and sends stops.
#pragma once

#include <map>
#include <optional>

#include "cluster/leadership.hpp"
#include "cluster/peer_links.hpp"
#include "cluster/peer_reservations.hpp"
#include "config/settings.hpp"
#include "core/free_capacity.hpp"
#include "core/model.hpp"
#include "scheduling/command_dispatcher.hpp"
#include "scheduling/failure_backoff.hpp"
#include "scheduling/staged_records.hpp"
#include "store/replicated_state.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

class PlacementRound {
  public:
    PlacementRound(const Settings& settings, const std::optional<core::Catalog>& catalog,
                   const ReplicatedState& replicated, const Leadership& leadership,
                   const WorkerStatus& workers, core::FreeCapacityCache& free_capacity_cache,
                   PeerReservations& peer_reservations, PeerLinks& links, CommandDispatcher& dispatch,
                   const FailureBackoff& failure_backoff)
        : settings_(settings),
          catalog_(catalog),
          replicated_(replicated),
          leadership_(leadership),
          workers_(workers),
          free_capacity_cache_(free_capacity_cache),
          peer_reservations_(peer_reservations),
          links_(links),
          dispatch_(dispatch),
          failure_backoff_(failure_backoff) {}

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

    const Settings& settings_;
    const std::optional<core::Catalog>& catalog_;
    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    const WorkerStatus& workers_;
    core::FreeCapacityCache& free_capacity_cache_;
    PeerReservations& peer_reservations_;
    PeerLinks& links_;
    CommandDispatcher& dispatch_;
    const FailureBackoff& failure_backoff_;
    std::map<core::TaskRef, core::Reservation> reservations_;
    std::map<core::TaskRef, io::Micros> announced_;  // until when the others know of a reservation
    std::map<core::TaskRef, io::Micros> stopping_;   // until when a stop for free capacity may take
};

}  // namespace hatchwind::controller
