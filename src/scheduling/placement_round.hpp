/// One placement pass of a shard: gathers the input of placement, announces capacity reservations to the
/// peers, stages starts and sends preemptions. Keeps the reservations of this controller. The placement
/// decisions are made in `core/placement`.
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

/// Dependencies of PlacementRound: read only if `const`, otherwise changed by it.
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

/// Starts are only staged; they are sent after they have been committed. Preemptions are sent immediately.
class PlacementRound {
  public:
    explicit PlacementRound(const PlacementContext& context) : context_(context) {}

    /// Places tasks that wait to be started. The catalog must be known. The starts change at most
    /// `max_records` records of the store. Returns the number of jobs that were left to another pass.
    std::size_t run(StagedRecords& staged, std::size_t max_records);
    /// Drops the reservations made in an earlier epoch.
    void start_epoch() { reservations_.clear(); }

  private:
    core::PlacementInput gather_input(std::size_t max_records) const;
    bool anything_to_start(const core::PlacementInput& input) const;
    /// Returns for each job that failed recently, or whose starts are held, the time until which it is not
    /// started; monotonic clock.
    std::map<std::string, io::Micros> job_backoff() const;
    void add_reservations(core::PlacementInput& input);
    core::FreeCapacity free_capacity(io::Micros monotonic_now);
    void apply(core::PlacementResult& result, StagedRecords& staged, io::Micros monotonic_now);
    void announce(const std::map<core::TaskRef, core::Reservation>& reservations, io::Micros monotonic_now);
    void send_stops(const std::vector<core::Stop>& stops, io::Micros monotonic_now);

    const PlacementContext context_;
    std::map<core::TaskRef, core::Reservation> reservations_;
    // Monotonic clock, both.
    std::map<core::TaskRef, io::Micros>
        announced_until_;  // expiry of a reservation as announced to the peers
    std::map<core::TaskRef, io::Micros>
        preempting_until_;  // time by which a preempted task should have stopped
};

}  // namespace hatchwind::controller
