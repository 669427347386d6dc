/// Keeps this controller's replica of the store up to date by one watch, and waits for it to be recent
/// enough.
///
/// Writes `ReplicatedState` and the cache of final states; everything else reads them.
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

/// The only writer of ReplicatedState. Deadlines are monotonic times.
class Replica {
  public:
    Replica(io::Loop& loop, const Settings& settings, const Tunables& tunables, StoreClient& store,
            ReplicatedState& replicated, ChangeSignals& signals);

    /// Reads the store whole, then follows its changes. Runs for as long as the controller lives.
    io::Task<void> run();
    /// A read index: true once the replica holds all that was committed before the call, false when that
    /// could not be had before the deadline.
    io::Task<bool> wait_for_read_index(io::Micros deadline);
    /// True once the replica has reached the revision.
    io::Task<bool> wait_for_revision(core::Revision revision, io::Micros deadline);
    /// After a conflict: waits until the replica holds what the conflict was found in. If the replica then
    /// still says what the store has refuted, it has diverged, and the store is read anew.
    io::Task<bool> wait_for_conflict(std::vector<wire::Condition> conditions, CommitResult conflict,
                                     io::Micros deadline);
    /// Applies what this controller has committed itself, before the watch brings it.
    void apply_own_commit(const wire::StoreItem& item);
    /// The same for all writes of one transaction.
    void apply_own_commit(std::vector<wire::StoreItem>& items, core::Revision revision);
    /// Applies what a peer knows to be committed; what the replica already has changes nothing.
    void apply_cancellations(const std::vector<wire::CancellationNotice>& cancellations);
    /// False while the replica, read anew, may lack what this controller has committed itself meanwhile.
    bool has_own_commits() const { return replicated_.revision() >= own_commit_at_load_; }
    /// How jobs ended that this controller has seen end.
    FinalStateCache& final_states() { return final_states_; }

  private:
    struct StoreSnapshot {
        std::vector<wire::StoreItem> items;
        core::Revision revision = 0;
    };

    /// Caches how a job ended, before the deletion of its record is applied. The watch brings all changes in
    /// order, and the end is conditional on the record as it stood: so the replica's record, which is the
    /// last before the end, says how the job ended.
    void record_end(const std::string& id, core::Revision deleted);
    io::Task<bool> load();
    io::Task<std::optional<StoreSnapshot>> read_store();
    void apply_changes(const wire::StorePage& page);
    /// One shared read of the store's revision; its result is in read_ok_ and read_revision_.
    io::Task<void> read_revision(io::Micros deadline);
    /// The record that a conflict was about still stands in the replica as the condition had it.
    bool is_refuted(const std::string& key, const std::vector<wire::Condition>& conditions) const;

    io::Loop& loop_;
    const Settings& settings_;
    const Tunables& tunables_;
    StoreClient& store_;
    ReplicatedState& replicated_;
    ChangeSignals& signals_;
    FinalStateCache final_states_;
    io::Signal read_requested_;              // a caller waits for the replica to advance
    core::Revision latest_own_commit_ = 0;   // of this controller
    core::Revision own_commit_at_load_ = 0;  // as it was when the store was last read whole
    io::Signal read_done_;
    bool reading_ = false;    // a read of the revision is under way, or waits for its turn
    bool read_sent_ = false;  // it has been sent: it proves nothing for calls that come now
    std::uint64_t reads_ = 0;
    io::Micros last_read_at_{0};  // monotonic
    core::Revision read_revision_ = 0;
    bool read_ok_ = false;
    bool loading_ = false;
    std::vector<wire::StoreItem> committed_while_loading_;  // by this controller
    bool diverged_ = false;                                 // as a conflict has shown
    io::Micros diverged_at_{0};                             // monotonic
};

}  // namespace hatchwind::controller
