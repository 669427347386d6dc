/// Keeps this controller's replica of the store up to date through a single watch, and lets callers wait
/// until the replica has reached a revision.
///
/// Writes `ReplicatedState` and the cache of final states; all other components only read them.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "config/settings.hpp"
#include "config/tunables.hpp"
#include "io/loop.hpp"
#include "io/task.hpp"
#include "store/change_signals.hpp"
#include "store/final_state_cache.hpp"
#include "store/replicated_state.hpp"
#include "store/store_client.hpp"
#include "wire/store_api.hpp"

namespace hatchwind::controller {

/// The only writer of ReplicatedState. All deadlines are monotonic times.
class Replica {
  public:
    Replica(io::Loop& loop, const Settings& settings, const Tunables& tunables, StoreClient& store,
            ReplicatedState& replicated, ChangeSignals& signals);

    /// Reads a snapshot of the store, then applies its changes. Runs for the lifetime of the controller.
    io::Task<void> run();
    /// Read-index barrier: returns true once the replica contains everything committed before the call, false
    /// if that was not achieved before the deadline.
    io::Task<bool> wait_for_read_index(io::Micros deadline);
    /// Returns true once the replica has reached the revision, false at the deadline.
    io::Task<bool> wait_for_revision(core::Revision revision, io::Micros deadline);
    /// Waits, after a commit conflict, until the replica has reached the revision at which the store found
    /// the conflict. If the replica then still has a mod revision that the store rejected, it has diverged
    /// from the store and is reloaded. Returns false at the deadline.
    io::Task<bool> wait_for_conflict(std::vector<wire::Condition> conditions, CommitResult conflict,
                                     io::Micros deadline);
    /// Applies a change that this controller has committed, before the watch delivers it.
    void apply_own_commit(const wire::StoreItem& item);
    /// Applies all writes of a transaction that was committed at `revision`.
    void apply_own_commit(std::vector<wire::StoreItem>& items, core::Revision revision);
    /// Applies cancellations that a peer reports as committed. Those already in the replica are ignored.
    void apply_cancellations(const std::vector<wire::CancellationNotice>& cancellations);
    /// Returns false while the replica, after a reload, may lack commits that this controller made during the
    /// reload.
    bool has_own_commits() const { return replicated_.revision() >= own_commit_at_load_; }
    /// Final states of jobs whose end this controller has observed.
    FinalStateCache& final_states() { return final_states_; }

  private:
    struct StoreSnapshot {
        std::vector<wire::StoreItem> items;
        core::Revision revision = 0;
    };

    /// Caches the final state of a job; to be called before the deletion of its record, at revision
    /// `deleted`, is applied. The watch delivers all changes in order, and the transaction that ends a job is
    /// conditional on the job's current record. The replica therefore has the last record before the
    /// deletion, from which the final state follows.
    void cache_final_state(const std::string& id, core::Revision deleted);
    io::Task<bool> load();
    io::Task<std::optional<StoreSnapshot>> read_store();
    void apply_changes(const wire::StorePage& page);
    /// Reads the store's revision on behalf of all waiting callers, into read_ok_ and read_revision_.
    io::Task<void> read_revision(io::Micros deadline);
    /// Returns true if the replica still has the mod revision of `key` that the store rejected in a conflict.
    bool has_rejected_revision(const std::string& key, const std::vector<wire::Condition>& conditions) const;

    io::Loop& loop_;
    const Settings& settings_;
    const Tunables& tunables_;
    StoreClient& store_;
    ReplicatedState& replicated_;
    ChangeSignals& signals_;
    FinalStateCache final_states_;
    io::Signal read_requested_;              // a caller waits for the replica to advance
    core::Revision latest_own_commit_ = 0;   // latest commit of this controller
    core::Revision own_commit_at_load_ = 0;  // latest_own_commit_ when the last load finished
    io::Signal read_done_;
    bool reading_ = false;  // a read of the store's revision is scheduled or in flight
    bool read_sent_ =
        false;  // the read is in flight: it proves nothing about calls that arrive after it was sent
    std::uint64_t completed_reads_ = 0;
    io::Micros last_read_at_{0};  // monotonic
    core::Revision read_revision_ = 0;
    bool read_ok_ = false;
    bool loading_ = false;
    std::vector<wire::StoreItem> committed_while_loading_;  // by this controller
    bool diverged_ = false;      // detected by wait_for_conflict; triggers a reload
    io::Micros diverged_at_{0};  // monotonic
};

}  // namespace hatchwind::controller
