// The duty that ends the waiting of jobs: releases those whose needs are done, and ends those that need a
// cancelled job. A reconcile loop: each pass compares what the replica and the final states say with what is
// written, so whoever owns a team next carries on, and every step may be repeated.
#pragma once

#include "cluster/leadership.hpp"
#include "config/settings.hpp"
#include "io/loop.hpp"
#include "store/change_signals.hpp"
#include "store/final_state_reader.hpp"
#include "store/replica.hpp"
#include "store/replicated_state.hpp"
#include "store/store_client.hpp"
#include "wire/store_api.hpp"

namespace hatchwind::controller {

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
    io::Task<void> run();

  private:
    // What is written together or not at all.
    struct Step {
        std::string job;
        core::Revision mod_revision = 0;        // of the job's record, which must be unchanged
        std::vector<wire::StoreItem> effects;   // written, and then part of the replica
        std::optional<FinalState> final_state;  // written
        std::size_t bytes = 0;
    };
    // This node acts for the team that the job will belong to; the leader for what has no such team.
    bool acts_for(const core::Job& job) const;
    // True when it has learned something that another pass may act on.
    io::Task<bool> reconcile();
    io::Task<bool> read_terminal_states(std::vector<std::string> jobs);
    Step release(const core::JobEntry& entry) const;
    static Step cancel(const core::JobEntry& entry);
    // The next group commit of as many steps as it takes.
    wire::Transaction next_group(const std::vector<Step>& steps, std::size_t& next) const;
    void carried_out(Step& step, core::Revision revision);
    // A pipeline's deadline runs while a release waits for its write; users are told of a cancellation before
    // it is written.
    enum class Urgency : std::uint8_t { release, cancel };
    // Group commits, at most `groups` of them. False when one was not carried out.
    io::Task<bool> commit(std::vector<Step> steps, std::size_t groups, Urgency urgency);
    // Lists of jobs that do not wait any more. Leader only.
    io::Task<void> remove_lists();
    std::vector<std::string> jobs_with_old_lists() const;

    io::Loop& loop_;
    const Settings& settings_;
    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    StoreClient& store_;
    Replica& replica_;
    ChangeSignals& signals_;
    FinalStateReader& final_states_;
    io::Micros planning_took_{0};  // in the last pass
    io::Micros last_removal_{0};
};

}  // namespace hatchwind::controller
