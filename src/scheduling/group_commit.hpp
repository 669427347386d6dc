/// Group commit: combines write units into as few transactions as the store's limits allow, and applies the
/// effects of committed units. Keeps the in-doubt transaction and the units that the store refused recently.
#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "cluster/leadership.hpp"
#include "config/settings.hpp"
#include "io/loop.hpp"
#include "scheduling/attempt_page_writer.hpp"
#include "scheduling/command_dispatcher.hpp"
#include "scheduling/exit_acknowledger.hpp"
#include "scheduling/write_unit.hpp"
#include "store/change_signals.hpp"
#include "store/replica.hpp"
#include "store/replicated_state.hpp"
#include "store/store_client.hpp"
#include "wire/store_api.hpp"

namespace hatchwind::controller {

/// Dependencies of GroupCommit: read only if `const`, otherwise changed by it.
struct GroupCommitContext {
    io::Loop& loop;
    const Settings& settings;
    const ReplicatedState& replicated;
    const Leadership& leadership;
    StoreClient& store;
    Replica& replica;
    ChangeSignals& signals;
    AttemptPageWriter& page_writer;
    CommandDispatcher& dispatcher;
    ExitAcknowledger& acknowledger;
};

/// Every transaction is conditional on the epoch, so a transaction of an earlier epoch can't be committed.
class GroupCommit {
  public:
    explicit GroupCommit(const GroupCommitContext& context) : context_(context) {}

    /// Commits the units in their order. Returns false if a transaction was not committed; the caller then
    /// has to plan a new pass.
    io::Task<bool> write(std::vector<WriteUnit> units);
    /// Returns true while the outcome of a transaction of this epoch is unknown: it may be committed at any
    /// later time. Nothing else may be planned until the outcome is known. A plan that ignores the
    /// transaction could start its tasks a second time, or exceed a team's limit with other tasks.
    bool in_doubt();
    /// Sends the in-doubt transaction again. Precondition: in_doubt().
    io::Task<void> retry_in_doubt();
    /// Deletes a few pages whose chunks all belong to finished jobs.
    io::Task<void> erase_unused_pages();

  private:
    /// A transaction and the units that it writes.
    struct Group {
        wire::Transaction transaction;
        std::vector<WriteUnit> units;
        core::Revision epoch() const { return transaction.conditions.front().mod_revision; }
        /// Number of writes that are not restricted to the unused part of the write budget.
        double urgent_writes() const;
    };
    /// Whether a transaction is sent for the first time, or again because its outcome is unknown.
    enum class Sending : std::uint8_t { first, retry };

    /// Returns how many of the first units fit into one transaction; at least one.
    std::size_t count_for_one_transaction(std::span<const WriteUnit> units) const;
    wire::Transaction transaction_of(std::span<const WriteUnit> units) const;
    io::Task<bool> send(Group group);

    void handle_committed(Group& group, core::Revision revision);
    void apply_committed(WriteUnit& unit, core::Revision revision);
    void dispatch_starts(const WriteUnit& unit, core::Revision epoch);
    /// Handles a transaction that exceeds a limit of the store which is lower than the known one. Sends units
    /// one by one for some time and pauses a unit that is refused alone, so that one unit that is too large
    /// does not delay the others.
    void handle_refused(const Group& group);
    io::Task<void> handle_conflict(const Group& group, CommitResult result, Sending sending);
    io::Task<void> handle_no_commit(Group group, CommitOutcome outcome, Sending sending);

    /// Acknowledges exits whose ends were recorded by an earlier copy of an in-doubt transaction.
    void acknowledge_recorded_exits(const Group& group);
    void log_end(const std::string& job) const;
    bool is_unused(const core::AttemptPage& page) const;

    const GroupCommitContext context_;
    std::optional<Group> in_doubt_;
    // Time until which a unit that the store refused is not sent, by the unit's first key; monotonic clock.
    std::map<std::string, io::Micros> refused_until_;
    // Time until which each unit is sent in a transaction of its own; monotonic clock.
    io::Micros single_units_until_{0};
};

}  // namespace hatchwind::controller
