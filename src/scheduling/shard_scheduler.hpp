// The duty of a team's owner: settles attempts, places tasks, records both ahead of every order. This is the
// loop; the steps are modules of their own.
#pragma once

#include <optional>

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

/// What the scheduling of a shard reads, and what it changes.
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
    core::FreeCapacityCache& free_capacity_cache;
    ChangeSignals& signals;
};

class ShardScheduler {
  public:
    explicit ShardScheduler(const SchedulingContext& context);
    io::Task<void> run();

  private:
    // Writes that the store's budget bears now.
    struct WriteBudget {
        double spare = 0;  // unused so far
        double bear = 0;   // within half a second
        double limit(WriteRank rank) const;
    };
    struct PassWrites {
        std::vector<WriteUnit> units;
        double planned = 0;
        double left_out = 0;       // for want of budget
        std::size_t deferred = 0;  // jobs left for another pass
        double spare = 0;
    };
    void start_epoch();
    io::Task<void> pass();
    io::Task<void> erase_unused_pages();
    WriteBudget write_budget();
    // Places, and picks the units that the budget bears.
    PassWrites plan_writes(StagedRecords& staged);

    const SchedulingContext context_;
    CommandDispatcher dispatch_;
    FailureBackoff failure_backoff_;
    AttemptReconciler reconciler_;
    PlacementRound placement_;
    AttemptPageWriter pages_;
    GroupCommit commit_;
    io::Micros last_pass_{0};  // how long it took
    std::uint64_t epoch_seen_ = 0;
    io::Micros last_erased_{0};  // steady
};

}  // namespace hatchwind::controller
