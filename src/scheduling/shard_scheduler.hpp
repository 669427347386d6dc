/// The scheduling loop of a shard owner for its teams: reconciles attempts, places tasks, and records both
/// before any command is sent. Each step is a separate module; this one controls their order and timing.
#pragma once

#include <optional>
#include <vector>

#include "cluster/epoch_renewal.hpp"
#include "cluster/leadership.hpp"
#include "cluster/peer_links.hpp"
#include "cluster/peer_reservations.hpp"
#include "config/settings.hpp"
#include "config/tunables.hpp"
#include "scheduling/attempt_page_writer.hpp"
#include "scheduling/attempt_reconciler.hpp"
#include "scheduling/command_dispatcher.hpp"
#include "scheduling/exit_acknowledger.hpp"
#include "scheduling/failure_backoff.hpp"
#include "scheduling/fencing_token_monitor.hpp"
#include "scheduling/group_commit.hpp"
#include "scheduling/orphan_reconciler.hpp"
#include "scheduling/placement_round.hpp"
#include "store/replica.hpp"
#include "store/replicated_state.hpp"
#include "workers/command_sender.hpp"

namespace hatchwind::controller {

/// Dependencies of ShardScheduler: read only if `const`, otherwise changed by it. All must outlive it.
struct SchedulingContext {
    io::Loop& loop;
    const Settings& settings;
    const Tunables& tunables;
    const std::optional<core::Catalog>& catalog;
    const ReplicatedState& replicated;
    const Leadership& leadership;
    const WorkerStatus& workers;
    WorkerLeases& leases;
    StoreClient& store;
    Replica& replica;
    PeerReservations& reservations;
    PeerLinks& links;
    CommandSender& commands;
    const StartHolds& holds;
    core::FreeCapacityCache& free_capacity_cache;
    ChangeSignals& signals;
    EpochRenewal& epoch_renewal;
};

/// Acts only while this controller holds its leadership lease. Resets its state at the start of each epoch.
class ShardScheduler {
  public:
    explicit ShardScheduler(const SchedulingContext& context);
    /// Runs until the controller shuts down.
    io::Task<void> run();

  private:
    /// Number of writes available in the store's write budget.
    struct WriteBudget {
        double unused = 0;      // currently unused
        double affordable = 0;  // unused, plus the budget of the next half second
        /// Returns the maximum number of writes in a pass, up to and including a unit of `rank`.
        double limit(WriteRank rank) const;
    };
    struct PlannedWrites {
        std::vector<WriteUnit> units;
        double count = 0;
        double left_out = 0;            // writes that exceed the budget
        std::size_t deferred_jobs = 0;  // jobs left to another pass
        double unused = 0;              // same as in WriteBudget
    };

    void start_epoch();
    /// Runs one scheduling pass: reconciles attempts, places tasks and commits the results.
    io::Task<void> pass();
    /// Returns false in an outage of the store, and while the replica may lack this controller's own records.
    bool may_place() const;
    io::Task<void> retry_in_doubt();
    WriteBudget write_budget();
    /// Places tasks, and selects the write units that fit into the budget.
    PlannedWrites plan_writes(StagedRecords& staged);
    static void keep_affordable(PlannedWrites& writes, const WriteBudget& budget);
    io::Task<void> erase_unused_pages();

    const SchedulingContext context_;
    CommandDispatcher dispatcher_;
    ExitAcknowledger acknowledger_;
    OrphanReconciler orphans_;
    FencingTokenMonitor token_monitor_;
    FailureBackoff failure_backoff_;
    AttemptReconciler reconciler_;
    PlacementRound placement_;
    AttemptPageWriter page_writer_;
    GroupCommit commit_;
    io::Micros last_pass_duration_{0};
    std::uint64_t last_seen_epoch_ = 0;
    io::Micros last_erasure_{0};  // monotonic clock
};

}  // namespace hatchwind::controller
