/// Ends the waiting of jobs: releases those whose dependencies are done, and ends those that depend on a
/// cancelled job. A reconcile loop: each pass compares what the replica and the final states say with what is
/// written, so the next shard owner of a team carries on, and every write may be repeated. Owns no state
/// beside its own pace.
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

/// Every write is conditional on the epoch and on the job's record as the plan has seen it.
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
    /// Runs for as long as the controller lives.
    io::Task<void> run();

  private:
    /// The release or the end of one waiting job. What is written together or not at all.
    struct Resolution {
        std::string job;
        core::Revision mod_revision = 0;        // of the job's record, which must be unchanged
        wire::StoreItem record;                 // part of the replica once it is committed; no value: deleted
        std::optional<FinalState> final_state;  // of a job that ends
        std::size_t estimated_bytes = 0;        // of the JSON form

        std::size_t write_count() const { return final_state ? 2 : 1; }
    };
    /// As many resolutions as go into one transaction.
    struct Group {
        wire::Transaction transaction;
        std::size_t resolutions = 0;
    };
    /// A pipeline's deadline runs while a release waits for its write; users see a cancellation before
    /// it is written.
    enum class Urgency : std::uint8_t { release, cancel };
    enum class CommitsOutcome : std::uint8_t { all_committed, stopped };

    /// This controller acts for the team that the job will belong to; the leader for what has no such team.
    bool acts_for(const core::Job& job) const;
    core::DependencyPlan plan_resolutions();
    /// One pass. True when it has learned something that another pass may act on.
    io::Task<bool> reconcile();
    /// How many transactions of cancellations the write budget bears in one pass.
    std::size_t affordable_cancel_groups();
    /// Reads at most so many as one pass may. False when not all reads were answered.
    io::Task<bool> read_final_states(std::vector<std::string> jobs);
    bool is_any_known(const std::vector<std::string>& jobs) const;

    static Resolution release(const core::JobEntry& entry);
    static Resolution cancel(const core::JobEntry& entry);
    Group next_group(std::span<const Resolution> resolutions) const;
    void apply_committed(Resolution& resolution, core::Revision revision);
    /// Group commits, at most `max_groups` of them, until one is not committed.
    io::Task<CommitsOutcome> commit(std::vector<Resolution> resolutions, std::size_t max_groups,
                                    Urgency urgency);

    /// Removes the dependency lists of jobs that wait no more. Cluster leader only.
    io::Task<void> remove_lists();
    std::vector<std::string> jobs_with_old_lists() const;
    /// Deletions of the lists' parts that are known to have served, as many as one transaction takes.
    std::vector<wire::StoreItem> deletions_of_old_lists() const;

    io::Loop& loop_;
    const Settings& settings_;
    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    StoreClient& store_;
    Replica& replica_;
    ChangeSignals& signals_;
    FinalStateReader& final_states_;
    io::Micros planning_took_{0};  // in the last pass
    io::Micros last_removal_{0};   // monotonic clock
};

}  // namespace hatchwind::controller
