/// Reconciles attempts that workers list although the store has no open record of them.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cluster/leadership.hpp"
#include "core/listed_attempt.hpp"
#include "store/replicated_state.hpp"
#include "workers/command_sender.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

/// Stops such an attempt, or acknowledges its exit once that can't bring it back. The shard owner handles the
/// attempts of its jobs; the cluster leader handles those of jobs that are over.
class OrphanReconciler {
  public:
    OrphanReconciler(const ReplicatedState& replicated, const Leadership& leadership,
                     const WorkerStatus& workers, CommandSender& commands)
        : replicated_(replicated), leadership_(leadership), workers_(workers), commands_(commands) {}

    /// Runs every two seconds; returns false if the last run was more recent than that.
    bool reconcile();

  private:
    /// Numbers of the epochs in which an orphan was found.
    struct Sighting {
        std::uint64_t first_epoch = 0;
        std::uint64_t last_epoch = 0;
    };
    using Orphans = std::map<core::ListedAttempt, Sighting>;

    bool is_ours(const core::JobEntry* entry) const;
    bool is_orphan(const std::string& machine, const core::JobEntry* entry,
                   const core::TaskStatus& listed) const;
    void reconcile_machine(const std::string& machine, const core::MachineView& view,
                           core::Micros monotonic_now, Orphans& found);
    void reconcile_exit(const core::ListedAttempt& orphan, const core::JobEntry* entry,
                        std::uint64_t incarnation, Orphans& found);
    void stop(const core::ListedAttempt& orphan, const core::JobEntry* entry, const core::MachineView& view,
              Orphans& found);
    /// Records the orphan in `found`; returns its sighting in the last run, or null.
    const Sighting* record_sighting(const core::ListedAttempt& orphan, Orphans& found) const;
    void enqueue(core::CommandKind kind, const core::ListedAttempt& orphan, std::uint64_t incarnation);

    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    const WorkerStatus& workers_;
    CommandSender& commands_;
    Orphans orphans_;              // found by the last run
    core::Micros last_run_at_{0};  // monotonic clock
};

}  // namespace hatchwind::controller
