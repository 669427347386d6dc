/// What a shard owner does for its teams: reconciles attempts, places tasks, and records both ahead of every
/// command. This is the loop; it owns the pace and the steps, which are modules of their own.
#pragma once

#include <optional>
#include <vector>

#include "cluster/leadership.hpp"
#include "cluster/peer_links.hpp"
#include "cluster/peer_reservations.hpp"
#include "config/settings.hpp"
#include "config/tunables.hpp"
#include "scheduling/attempt_page_writer.hpp"
#include "scheduling/attempt_reconciler.hpp"
#include "scheduling/command_dispatcher.hpp"
#include "scheduling/failure_backoff.hpp"
#include "scheduling/group_commit.hpp"
#include "scheduling/placement_round.hpp"
#include "store/replica.hpp"
#include "store/replicated_state.hpp"
#include "workers/command_sender.hpp"

namespace hatchwind::controller {

/// What the scheduling of a shard reads (`const`), and what it changes. All of it outlives the scheduler.
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
};

/// Acts only while this controller holds its leadership lease, and anew in each epoch.
class ShardScheduler {
  public:
    explicit ShardScheduler(const SchedulingContext& context);
    /// Runs for as long as the controller lives.
    io::Task<void> run();

  private:
    /// Writes that the store's budget bears now.
    struct WriteBudget {
        double spare = 0;       // unused so far
        double affordable = 0;  // within half a second
        /// How many writes a pass may plan up to and including a unit of that rank.
        double limit(WriteRank rank) const;
    };
    struct PlannedWrites {
        std::vector<WriteUnit> units;
        double count = 0;
        double left_out = 0;            // writes, for want of budget
        std::size_t deferred_jobs = 0;  // left for another pass
        double spare = 0;               // as in the budget
    };

    void start_epoch();
    /// Reconciles, places and commits.
    io::Task<void> pass();
    /// False in an outage, and while the replica may lack this controller's own records.
    bool may_place() const;
    io::Task<void> retry_in_doubt();
    WriteBudget write_budget();
    /// Places, and picks the units that the budget bears.
    PlannedWrites plan_writes(StagedRecords& staged);
    static void keep_affordable(PlannedWrites& writes, const WriteBudget& budget);
    io::Task<void> erase_unused_pages();

    const SchedulingContext context_;
    CommandDispatcher dispatcher_;
    FailureBackoff failure_backoff_;
    AttemptReconciler reconciler_;
    PlacementRound placement_;
    AttemptPageWriter page_writer_;
    GroupCommit commit_;
    io::Micros last_pass_took_{0};
    std::uint64_t epoch_seen_ = 0;
    io::Micros last_erasure_{0};  // monotonic clock
};

}  // namespace hatchwind::controller
