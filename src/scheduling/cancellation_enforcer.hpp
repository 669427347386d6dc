// Sees to it that the tasks of cancelled jobs end in time when the job's owner cannot.
//
// An owner may be unable to see the store, to act at all, or to reach a machine for longer than a
// cancellation may take. Stopping a cancelled task needs no record, so every node that knows the cancellation
// and may act stops what it sees running; and giving a machine back to the cloud ends its tasks for certain,
// so any node may do that for one which stays silent, in an outage of the store too.
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
    // Runs for as long as the node lives.
    io::Task<void> run();

  private:
    // One task of a cancelled job that is not known to have ended.
    struct Remaining {
        core::TaskRef task;
        core::Attempt attempt;
        core::AttemptStatus status = core::AttemptStatus::silent;
        io::Micros cancelled_for{0};
        bool owned_here = false;
    };
    std::vector<Remaining> remaining() const;
    void stop_listed(const std::vector<Remaining>& tasks);
    // Machines which have to be released now, so that their tasks end in time.
    std::vector<std::string> overdue_machines(const std::vector<Remaining>& tasks);
    io::Micros share_of_limit(double share) const;

    io::Loop& loop_;
    const Settings& settings_;
    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    const WorkerStatus& workers_;
    ReachabilityProbes& probes_;
    CommandSender& commands_;
    ScalingController& scaling_;
    std::map<core::TaskRef, io::Micros> stopped_at_;  // steady: when this node last stopped a task of others
};

}  // namespace hatchwind::controller
