// The duty of a team's owner: settles attempts, places tasks, records both ahead of every order. This is the
// loop; the steps are modules of their own.
#pragma once

#include "service/attempt_page_writer.hpp"
#include "service/attempt_settlement.hpp"
#include "service/failure_records.hpp"
#include "service/group_commit.hpp"
#include "service/node.hpp"
#include "service/order_dispatch.hpp"
#include "service/placement_round.hpp"
#include "service/replica.hpp"
#include "service/workers.hpp"

namespace hatchwind::service {

class Owner {
  public:
    Owner(Node& node, Replica& replica, Workers& workers)
        : node_(node),
          replica_(replica),
          dispatch_(node, workers),
          failures_(node),
          settlement_(node, dispatch_, failures_),
          placement_(node, dispatch_, failures_),
          pages_(node),
          commit_(node, replica, pages_, dispatch_) {}
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

    Node& node_;
    Replica& replica_;
    OrderDispatch dispatch_;
    FailureRecords failures_;
    AttemptSettlement settlement_;
    PlacementRound placement_;
    AttemptPageWriter pages_;
    GroupCommit commit_;
    io::Micros last_pass_{0};  // how long it took
    std::uint64_t epoch_seen_ = 0;
    io::Micros last_erased_{0};  // steady
};

}  // namespace hatchwind::service
