// Settlement of attempts: compares what is recorded as open with what the machines report, closes what has
// ended, repeats what has not arrived and stops what must not go on.
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

class AttemptReconciler {
  public:
    AttemptReconciler(const Settings& settings, const ReplicatedState& replicated,
                      const Leadership& leadership, const WorkerStatus& workers, WorkerLeases& leases,
                      CommandDispatcher& dispatch, FailureBackoff& failure_backoff)
        : settings_(settings),
          replicated_(replicated),
          leadership_(leadership),
          workers_(workers),
          leases_(leases),
          dispatch_(dispatch),
          failure_backoff_(failure_backoff) {}

    // Stages the ends of this shard owner's attempts, and its jobs that are over with them.
    void reconcile(StagedRecords& staged);
    void start_epoch() { reconciled_.clear(); }

  private:
    // What is the same for all attempts on one machine.
    struct MachineState {
        const core::MachineView* view = nullptr;  // null: not in the cluster view
        bool quiet = false;                       // without news for so long that its leases may have ended
        io::Micros now{0};                        // steady
    };
    // A machine with recorded attempts, as the last pass left it.
    struct ReconciledMachine {
        std::string machine;
        std::uint64_t incarnation = 0;
        std::uint64_t content_sequence = 0;
        std::uint64_t version = 0;
        bool unchanged = false;  // nothing to do before one of these changes
    };

    MachineState look_at(const core::MachineView* view, io::Micros now) const;
    bool owns_a_team() const;
    bool leaving(const core::MachineView& view, const std::string& machine) const;

    void reconcile_machines(StagedRecords& staged);
    bool still_unchanged(const ReconciledMachine* before, const ReconciledMachine& now,
                         const MachineState& state) const;
    // True when there is nothing to do for the machine before something of it changes.
    bool reconcile_machine(StagedRecords& staged, const std::string& machine,
                           const core::RecordedAttempts& tasks, const MachineState& state);
    void reconcile_cancelled(StagedRecords& staged);
    void find_finished(StagedRecords& staged) const;

    // True when there is nothing to do for it before its machine, its record or its job changes.
    bool settle_attempt(StagedRecords& staged, const OpenAttempt& open, const MachineState& state);
    void settle_exited(StagedRecords& staged, const OpenAttempt& open, core::ExitCause cause);
    void settle_unlisted(StagedRecords& staged, const OpenAttempt& open, const MachineState& state);
    bool settle_live(const OpenAttempt& open, const MachineState& state, core::TaskState task);
    void save_before_notice(const OpenAttempt& open, io::Micros time_left, core::TaskState task);
    void move_off(const OpenAttempt& open, core::TaskState task);

    const Settings& settings_;
    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    const WorkerStatus& workers_;
    WorkerLeases& leases_;
    CommandDispatcher& dispatch_;
    FailureBackoff& failure_backoff_;
    // In order: most are as they were, and looking at every attempt in every pass took half of a node's time.
    std::vector<ReconciledMachine> reconciled_;
    std::vector<ReconciledMachine> spare_reconciled_;  // its memory serves the next pass
};

}  // namespace hatchwind::controller
