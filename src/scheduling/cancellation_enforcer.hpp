/// Ends the tasks of cancelled jobs in time when the job's shard owner cannot. Owns when this controller last
/// stopped which task.
///
/// A shard owner may be unable to see the store, to act at all, or to reach a machine for longer than a
/// cancellation may take. Stopping a cancelled task needs no record, so every controller that knows the
/// cancellation and may act stops what it sees running; and releasing a machine at the cloud ends its tasks
/// for certain, so any controller may do that for an unresponsive one, in an outage of the store too.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cluster/leadership.hpp"
#include "config/settings.hpp"
#include "io/loop.hpp"
#include "scaling/scaling_controller.hpp"
#include "store/replicated_state.hpp"
#include "workers/command_sender.hpp"
#include "workers/reachability_probes.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

/// Reads replica and workers' status; changes commands, probes and, by releases, the fleet.
class CancellationEnforcer {
  public:
    CancellationEnforcer(io::Loop& loop, const Settings& settings, const ReplicatedState& replicated,
                         const Leadership& leadership, const WorkerStatus& workers,
                         ReachabilityProbes& probes, CommandSender& commands, ScalingController& scaling)
        : loop_(loop),
          settings_(settings),
          replicated_(replicated),
          leadership_(leadership),
          workers_(workers),
          probes_(probes),
          commands_(commands),
          scaling_(scaling) {}
    /// Runs for as long as the controller lives.
    io::Task<void> run();

  private:
    /// Whether this controller schedules the task's job, and so stops it as the shard owner.
    enum class ShardOwner : std::uint8_t { this_controller, other };
    /// One task of a cancelled job that is not known to have ended.
    struct OpenTask {
        core::TaskRef task;
        core::Attempt attempt;
        core::AttemptStatus status = core::AttemptStatus::silent;
        io::Micros cancelled_for{0};
        ShardOwner shard_owner = ShardOwner::other;
    };
    std::vector<OpenTask> open_tasks() const;
    void stop_listed(const std::vector<OpenTask>& tasks);
    /// Machines which have to be released now, so that their tasks end in time. Requests a probe of those
    /// that come close.
    std::vector<std::string> overdue_machines(const std::vector<OpenTask>& tasks);
    /// How long after its cancellation this controller releases a task's machine.
    io::Micros release_after(const OpenTask& task) const;
    /// A share of the time that a cancellation may take.
    io::Micros share_of_limit(double share) const;

    io::Loop& loop_;
    const Settings& settings_;
    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    const WorkerStatus& workers_;
    ReachabilityProbes& probes_;
    CommandSender& commands_;
    ScalingController& scaling_;
    std::map<core::TaskRef, io::Micros> stopped_at_;  // monotonic clock: tasks of other shard owners
};

}  // namespace hatchwind::controller
