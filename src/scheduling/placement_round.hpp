/// One placement pass of a shard: gathers its input, announces capacity reservations to the peers, stages
/// starts and sends preemptions. Owns the reservations of this controller; the decisions are
/// `core/placement`'s.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

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
#include "workers/start_holds.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

/// What placement reads, and what it changes.
struct PlacementContext {
    const Settings& settings;
    const std::optional<core::Catalog>& catalog;
    const ReplicatedState& replicated;
    const Leadership& leadership;
    const WorkerStatus& workers;
    const FailureBackoff& failure_backoff;
    core::FreeCapacityCache& free_capacity_cache;
    PeerReservations& peer_reservations;
    PeerLinks& links;
    CommandDispatcher& dispatcher;
    const StartHolds& holds;
};

/// Starts are staged only: they are sent after their commit. Preemptions are sent at once.
class PlacementRound {
  public:
    explicit PlacementRound(const PlacementContext& context) : context_(context) {}

    /// Places what waits. The catalog must be known. `max_records`: store records that the starts may touch.
    /// Returns how many jobs were left for another pass.
    std::size_t run(StagedRecords& staged, std::size_t max_records);
    /// Drops the reservations that an earlier epoch made.
    void start_epoch() { reservations_.clear(); }

  private:
    core::PlacementInput gather_input(std::size_t max_records) const;
    bool anything_to_start(const core::PlacementInput& input) const;
    /// Jobs that failed lately, or whose starts are held.
    std::map<std::string, io::Micros> job_backoff() const;
    void add_reservations(core::PlacementInput& input);
    core::FreeCapacity free_capacity(io::Micros monotonic_now);
    void apply(core::PlacementResult& result, StagedRecords& staged, io::Micros monotonic_now);
    void announce(const std::map<core::TaskRef, core::Reservation>& reservations, io::Micros monotonic_now);
    void send_stops(const std::vector<core::Stop>& stops, io::Micros monotonic_now);

    const PlacementContext context_;
    std::map<core::TaskRef, core::Reservation> reservations_;
    // Both monotonic clock.
    std::map<core::TaskRef, io::Micros> announced_until_;   // until when the peers know of a reservation
    std::map<core::TaskRef, io::Micros> preempting_until_;  // until when a preempted task may take to stop
};

}  // namespace hatchwind::controller
