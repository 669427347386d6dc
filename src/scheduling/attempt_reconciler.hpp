/// Reconciliation of attempts: compares what is recorded as open with what the workers list, closes what has
/// ended, repeats what has not arrived and stops what must not go on. Owns what each machine looked like in
/// the last pass.
#pragma once

#include <string>
#include <vector>

#include "cluster/leadership.hpp"
#include "config/settings.hpp"
#include "scheduling/command_dispatcher.hpp"
#include "scheduling/failure_backoff.hpp"
#include "scheduling/open_attempt.hpp"
#include "scheduling/staged_records.hpp"
#include "store/replicated_state.hpp"
#include "workers/worker_leases.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

/// Reads the replica and the workers' status; changes commands, failure backoff and the incarnations that
/// worker leases remember.
class AttemptReconciler {
  public:
    AttemptReconciler(const Settings& settings, const ReplicatedState& replicated,
                      const Leadership& leadership, const WorkerStatus& workers, WorkerLeases& leases,
                      CommandDispatcher& dispatcher, FailureBackoff& failure_backoff)
        : settings_(settings),
          replicated_(replicated),
          leadership_(leadership),
          workers_(workers),
          leases_(leases),
          dispatcher_(dispatcher),
          failure_backoff_(failure_backoff) {}

    /// Stages the ends of the attempts of this controller's shard, and the jobs that are over with them.
    void reconcile(StagedRecords& staged);
    /// Looks at every attempt anew.
    void start_epoch() { reconciled_.clear(); }

  private:
    /// What is the same for all attempts on one machine.
    struct MachineState {
        const core::MachineView* view = nullptr;  // null: not in the cluster view
        bool unresponsive = false;                // for so long that its lease may have expired
        io::Micros monotonic_now{0};
    };
    /// When an attempt or a machine has to be looked at again.
    enum class Revisit : std::uint8_t {
        on_change,  // of its machine, its record or its job
        next_pass,
    };
    /// A machine with recorded attempts, as the last pass left it.
    struct ReconciledMachine {
        std::string machine;
        std::uint64_t incarnation = 0;
        std::uint64_t content_sequence = 0;
        std::uint64_t version = 0;  // of its recorded attempts
        Revisit revisit = Revisit::next_pass;
    };

    MachineState state_of(const core::MachineView* view, io::Micros monotonic_now) const;
    bool owns_any_shard() const;
    /// The cloud takes the machine away, or it is cordoned.
    bool is_leaving(const core::MachineView& view, const std::string& machine) const;

    void reconcile_machines(StagedRecords& staged);
    /// `previous`: null when the machine had no attempts in the last pass.
    ReconciledMachine reconcile_machine(StagedRecords& staged, const std::string& machine,
                                        const core::MachineTasks& recorded, const MachineState& state,
                                        const ReconciledMachine* previous);
    bool is_unchanged(const ReconciledMachine* previous, const ReconciledMachine& current,
                      const MachineState& state) const;
    Revisit reconcile_attempts(StagedRecords& staged, const std::string& machine,
                               const core::RecordedAttempts& tasks, const MachineState& state);
    void reconcile_cancelled(StagedRecords& staged);
    void find_finished_jobs(StagedRecords& staged) const;

    Revisit reconcile_attempt(StagedRecords& staged, const OpenAttempt& open, const MachineState& state);
    void reconcile_exited(StagedRecords& staged, const OpenAttempt& open, core::ExitCause cause);
    void reconcile_unlisted(StagedRecords& staged, const OpenAttempt& open, const MachineState& state);
    Revisit reconcile_live(const OpenAttempt& open, const MachineState& state, core::TaskState task);
    /// The cloud takes the machine: save at the last moment that surely suffices; what cannot save runs on.
    void save_before_notice(const OpenAttempt& open, io::Micros time_left, core::TaskState task);
    /// The machine is cordoned: what saves is moved, services are moved, plain tasks run to their end.
    void evict_gracefully(const OpenAttempt& open, core::TaskState task);

    const Settings& settings_;
    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    const WorkerStatus& workers_;
    WorkerLeases& leases_;
    CommandDispatcher& dispatcher_;
    FailureBackoff& failure_backoff_;
    // In the order of the machines' ids. Most are as they were, and looking at every attempt in every pass
    // took half of a controller's time.
    std::vector<ReconciledMachine> reconciled_;
    std::vector<ReconciledMachine> spare_reconciled_;  // its memory serves the next pass
};

}  // namespace hatchwind::controller
