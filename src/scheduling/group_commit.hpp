/// Group commit: writes units in as few transactions as the store's limits allow, and acts on what is
/// committed. Owns the transaction that is in doubt, and what the store has refused of late.
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
#include "scheduling/write_unit.hpp"
#include "store/change_signals.hpp"
#include "store/replica.hpp"
#include "store/replicated_state.hpp"
#include "store/store_client.hpp"
#include "wire/store_api.hpp"

namespace hatchwind::controller {

/// What group commits read, and what they change.
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
};

/// Every transaction is conditional on the epoch: one of an earlier epoch can no longer be committed.
class GroupCommit {
  public:
    explicit GroupCommit(const GroupCommitContext& context) : context_(context) {}

    /// Writes the units in their order. False when a transaction was not committed: the pass must begin anew.
    io::Task<bool> write(std::vector<WriteUnit> units);
    /// True while a transaction of this epoch got no answer: it may be committed at any later time. Until it
    /// is, or is refuted, nothing else may be planned: a plan without it could start its tasks a second time,
    /// or others beyond a team's limit.
    bool in_doubt();
    /// Sends that transaction again. There must be one.
    io::Task<void> retry_in_doubt();
    /// Erases a few pages whose chunks all belong to jobs that are over.
    io::Task<void> erase_unused_pages();

  private:
    /// A group commit as it was sent.
    struct Group {
        wire::Transaction transaction;
        std::vector<WriteUnit> units;
        core::Revision epoch() const { return transaction.conditions.front().mod_revision; }
        /// Its writes that do not only take what is unused.
        double pressing_writes() const;
    };
    /// Whether a transaction without an answer, of which this is a copy, was sent before.
    enum class Sending : std::uint8_t { first, retry };

    /// How many units from the front go into one transaction; at least one.
    std::size_t count_for_one_transaction(std::span<const WriteUnit> units) const;
    wire::Transaction transaction_of(std::span<const WriteUnit> units) const;
    io::Task<bool> send(Group group);

    void handle_committed(Group& group, core::Revision revision);
    void apply_committed(WriteUnit& unit, core::Revision revision);
    void dispatch_starts(const WriteUnit& unit, core::Revision epoch);
    /// The store refuses what is over a limit that is lower than known. One unit too large must not delay
    /// the others.
    void handle_refused(const Group& group);
    io::Task<void> handle_conflict(const Group& group, CommitResult result, Sending sending);
    io::Task<void> handle_no_commit(Group group, CommitOutcome outcome, Sending sending);

    /// The ends of attempts may have been recorded by a copy of a transaction that got no answer.
    void acknowledge_recorded_exits(const Group& group);
    void log_end(const std::string& job) const;
    bool is_unused(const core::AttemptPage& page) const;

    const GroupCommitContext context_;
    std::optional<Group> in_doubt_;
    // Monotonic clock: until when units that the store refused by themselves are left out, by first key.
    std::map<std::string, io::Micros> refused_until_;
    io::Micros single_units_until_{0};  // monotonic clock: until then each unit is sent by itself
};

}  // namespace hatchwind::controller
