/// Ends the tasks of cancelled jobs within the time limit for cancellations when the job's shard owner
/// cannot. Tracks when this controller last sent a stop command for each task.
///
/// A shard owner may be unable to reach the store, to run, or to reach a machine for longer than that limit.
/// Stopping a cancelled task needs no record, so every controller that knows of the cancellation and holds
/// its leadership lease sends stop commands for the tasks that it sees running. Releasing a machine at the
/// cloud is certain to end its tasks, so any controller may release an unresponsive machine, even in an
/// outage of the store.
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

/// Reads the replica and the workers' status. Enqueues commands, requests probes and releases machines.
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
    /// Runs until the controller shuts down.
    io::Task<void> run();

  private:
    /// Which controller schedules the task's job and is the first to stop its tasks.
    enum class ShardOwner : std::uint8_t { this_controller, other };
    /// One task of a cancelled job that is not known to have ended.
    struct OpenTask {
        core::TaskRef task;
        core::Attempt attempt;
        core::AttemptStatus status = core::AttemptStatus::unresponsive;
        io::Micros cancelled_for{0};
        ShardOwner shard_owner = ShardOwner::other;
    };
    std::vector<OpenTask> open_tasks() const;
    void stop_listed(const std::vector<OpenTask>& tasks);
    /// Returns the machines that have to be released now for their tasks to end in time. Requests a probe of
    /// machines that are close to that point.
    std::vector<std::string> overdue_machines(const std::vector<OpenTask>& tasks);
    /// Returns the time after the cancellation at which this controller releases the task's machine.
    io::Micros release_after(const OpenTask& task) const;
    /// Returns a fraction of the time limit for cancellations.
    io::Micros share_of_limit(double share) const;

    io::Loop& loop_;
    const Settings& settings_;
    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    const WorkerStatus& workers_;
    ReachabilityProbes& probes_;
    CommandSender& commands_;
    ScalingController& scaling_;
    // When this controller last sent a stop command for a task of another shard owner; monotonic clock.
    std::map<core::TaskRef, io::Micros> stopped_at_;
};

}  // namespace hatchwind::controller
