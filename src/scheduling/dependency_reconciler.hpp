/// Resolves jobs that wait for dependencies: releases jobs whose dependencies are all done, and cancels jobs
/// that depend on a cancelled job. This is a reconcile loop: each pass derives its writes from the replica
/// and the final states, so a new shard owner of a team continues the work, and every write may be repeated.
/// Keeps no state except for the timing of the loop.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "cluster/leadership.hpp"
#include "config/settings.hpp"
#include "core/dependency_graph.hpp"
#include "io/loop.hpp"
#include "store/change_signals.hpp"
#include "store/final_state_reader.hpp"
#include "store/replica.hpp"
#include "store/replicated_state.hpp"
#include "store/store_client.hpp"
#include "wire/store_api.hpp"

namespace hatchwind::controller {

/// Every write is conditional on the epoch, and on the version of the job's record that the plan was made
/// from.
class DependencyReconciler {
  public:
    DependencyReconciler(io::Loop& loop, const Settings& settings, const ReplicatedState& replicated,
                         const Leadership& leadership, StoreClient& store, Replica& replica,
                         ChangeSignals& signals, FinalStateReader& final_states)
        : loop_(loop),
          settings_(settings),
          replicated_(replicated),
          leadership_(leadership),
          store_(store),
          replica_(replica),
          signals_(signals),
          final_states_(final_states) {}
    /// Runs until the controller shuts down.
    io::Task<void> run();

  private:
    /// The release or the cancellation of one waiting job. Its writes are committed atomically.
    struct Resolution {
        std::string job;
        core::Revision mod_revision = 0;        // of the job's record, which must be unchanged
        wire::StoreItem record;                 // applied to the replica once committed; no value: deleted
        std::optional<FinalState> final_state;  // set if the job is cancelled
        std::size_t estimated_bytes = 0;        // in JSON form

        std::size_t write_count() const { return final_state ? 2 : 1; }
    };
    /// The resolutions of one transaction.
    struct Group {
        wire::Transaction transaction;
        std::size_t resolutions = 0;
    };
    /// Releases are more urgent: a pipeline's deadline runs until its release is written, whereas users see a
    /// cancellation before it is written.
    enum class Urgency : std::uint8_t { release, cancel };
    enum class CommitsOutcome : std::uint8_t { all_committed, stopped };

    /// Returns true if this controller resolves the job: it owns the shard of the team that the job will
    /// belong to, or it is the cluster leader and that team has no shard owner.
    bool acts_for(const core::Job& job) const;
    core::DependencyPlan plan_resolutions();
    /// Runs one pass. Returns true if it has read final states that another pass can act on.
    io::Task<bool> reconcile();
    /// Returns how many transactions of cancellations fit into the write budget of one pass.
    std::size_t affordable_cancel_groups();
    /// Reads the final states of `jobs`, up to the limit of one pass. Returns false if any read got no
    /// answer.
    io::Task<bool> read_final_states(std::vector<std::string> jobs);
    bool is_any_known(const std::vector<std::string>& jobs) const;

    static Resolution release(const core::JobEntry& entry);
    static Resolution cancel(const core::JobEntry& entry);
    Group next_group(std::span<const Resolution> resolutions) const;
    void apply_committed(Resolution& resolution, core::Revision revision);
    /// Commits the resolutions in at most `max_groups` transactions. Stops at the first that is not
    /// committed.
    io::Task<CommitsOutcome> commit(std::vector<Resolution> resolutions, std::size_t max_groups,
                                    Urgency urgency);

    /// Deletes the dependency lists of jobs that no longer wait. Cluster leader only.
    io::Task<void> remove_lists();
    std::vector<std::string> jobs_with_old_lists() const;
    /// Returns deletions of the parts of lists that are known to be obsolete, as many as fit into one
    /// transaction.
    std::vector<wire::StoreItem> deletions_of_old_lists() const;

    io::Loop& loop_;
    const Settings& settings_;
    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    StoreClient& store_;
    Replica& replica_;
    ChangeSignals& signals_;
    FinalStateReader& final_states_;
    io::Micros last_planning_duration_{0};
    io::Micros last_removal_{0};  // monotonic clock
};

}  // namespace hatchwind::controller
