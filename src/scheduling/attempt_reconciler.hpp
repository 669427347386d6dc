/// Reconciles the attempts that are recorded as open with the tasks that the workers list: closes attempts
/// that have ended, resends start commands that have not arrived, and stops tasks that must not keep running.
/// Keeps the state of each machine as of the last pass, to skip machines that have not changed.
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

/// Reads the replica and the workers' status. Sends commands through the dispatcher and updates the failure
/// backoff and the incarnations that are tracked by the worker leases.
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

    /// Stages the ends of attempts of this controller's shard, and the jobs that are finished by them.
    void reconcile(StagedRecords& staged);
    /// Makes the next pass reconcile every attempt.
    void start_epoch() { reconciled_.clear(); }

  private:
    /// State of a machine that applies to all its attempts.
    struct MachineState {
        const core::MachineView* view = nullptr;  // null: not in the cluster view
        bool unresponsive = false;                // long enough that its lease may have expired
        io::Micros monotonic_now{0};
    };
    /// When an attempt or a machine has to be reconciled again.
    enum class Revisit : std::uint8_t {
        on_change,  // when its machine, its record or its job changes
        next_pass,
    };
    /// State of a machine with recorded attempts, as of the last pass.
    struct ReconciledMachine {
        std::string machine;
        std::uint64_t incarnation = 0;
        std::uint64_t content_sequence = 0;
        std::uint64_t version = 0;  // version of its recorded attempts
        Revisit revisit = Revisit::next_pass;
    };

    MachineState state_of(const core::MachineView* view, io::Micros monotonic_now) const;
    bool owns_any_shard() const;
    /// Returns true if the cloud is about to reclaim the machine, or if the machine is cordoned.
    bool is_evacuating(const core::MachineView& view, const std::string& machine) const;

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
    /// Handles a task on a machine that the cloud is about to reclaim. A task that can write a checkpoint is
    /// stopped as late as its checkpoint safely allows; a task that is still fetching is stopped at once.
    /// Other tasks keep running.
    void save_before_reclaim(const OpenAttempt& open, io::Micros time_left, core::TaskState task);
    /// Handles a task on a cordoned machine. Stops services, tasks that can write a checkpoint, and tasks
    /// that are still fetching, so that they start elsewhere. Other tasks run to completion.
    void evict_gracefully(const OpenAttempt& open, core::TaskState task);

    const Settings& settings_;
    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    const WorkerStatus& workers_;
    WorkerLeases& leases_;
    CommandDispatcher& dispatcher_;
    FailureBackoff& failure_backoff_;
    // Sorted by machine id. Most machines do not change between passes, and reconciling every attempt in
    // every pass would take half of a controller's time.
    std::vector<ReconciledMachine> reconciled_;
    std::vector<ReconciledMachine> next_reconciled_;  // filled by the next pass; its memory is reused
};

}  // namespace hatchwind::controller
