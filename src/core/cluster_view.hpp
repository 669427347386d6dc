/// The cluster view: the fleet as seen by this controller, from heartbeats and from messages of other
/// controllers. It may be out of date, so no safety property relies on it alone.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/job_table.hpp"
#include "core/released_machines.hpp"
#include "core/time.hpp"
#include "core/worker_protocol.hpp"

namespace hatchwind::core {

/// A machine that has sent a heartbeat and is not known to be released.
struct MachineView {
    WorkerHeartbeat last_heartbeat;
    /// Wall clock: when any controller last answered a heartbeat of the machine or had a command answered by
    /// it.
    Micros last_answered_at{};
    Micros last_heartbeat_at{};  ///< monotonic clock: when the newest heartbeat arrived
    /// Sequence number of the newest heartbeat that changed the incarnation, the tasks or the spot notice.
    std::uint64_t content_sequence = 0;
    /// True if the machine has answered a request; only then does it get tasks. A heartbeat alone may be a
    /// late duplicate from a machine that no longer exists, which a restarted controller cannot recognize.
    /// See ClusterView::confirm().
    bool confirmed = false;
    std::optional<Micros> notice_until;  ///< monotonic clock: when the cloud reclaims the machine
    /// An image in the machine's image cache.
    struct Image {
        double gb = 0;
        Micros used{};  ///< monotonic clock: last use
    };
    std::map<std::string, Image> images;  ///< by name
    /// Positions in last_heartbeat.tasks, sorted by task number, then job, then descending attempt number.
    std::vector<std::uint32_t> index;

    /// Returns the newest attempt of the task that the worker lists, or null if it lists none.
    const TaskStatus* task(const std::string& job, std::uint32_t number) const;
};

/// Contains each machine from its first heartbeat until the cloud has confirmed its release. Only
/// WorkerStatus modifies it.
class ClusterView {
  public:
    /// Applies a heartbeat. Returns false, without any change, if its (incarnation, heartbeat sequence) is
    /// not newer than the known one: then it is a late duplicate. Also returns false for a released machine.
    /// `answer`: the heartbeat is the response to a request, so it cannot be a late duplicate.
    /// `stale_heartbeat_threshold`: a first heartbeat, one of a new incarnation, or one that arrives after a
    /// longer gap does not confirm the machine, which then has to answer a request before it gets tasks.
    /// `answered_at`: see MachineView::last_answered_at.
    bool apply(WorkerHeartbeat heartbeat, Micros monotonic_now, Micros answered_at, bool answer = false,
               Micros stale_heartbeat_threshold = Micros::max());
    /// Records that a controller received an answer from the machine. `answered_at`: wall clock.
    void record_answer(const std::string& machine, Micros answered_at);
    /// Records that the machine used an image. Keeps the most recently used images up to `cache_gb`, like the
    /// machine's own cache.
    void record_image(const std::string& machine, const std::string& image, double gb, double cache_gb,
                      Micros monotonic_now);
    /// Removes a machine permanently, after the cloud has confirmed its release.
    void release(const std::string& machine, Micros monotonic_now);
    /// Released machines, within the limits of ReleasedMachines.
    const ReleasedMachines& released_machines() const { return released_; }
    /// Returns true if the cloud has confirmed the release of the machine.
    bool released(const std::string& machine) const { return released_.contains(machine); }
    /// Applies a heartbeat without task changes that another controller forwarded. Returns false if it is not
    /// newer than the known heartbeat, or if this controller does not know the tasks it refers to: then only
    /// a full heartbeat can update the machine.
    bool apply_keep_alive(const std::string& machine, std::uint64_t incarnation,
                          std::uint64_t heartbeat_sequence, std::uint64_t fencing_token,
                          std::uint64_t content_sequence, Micros monotonic_now, Micros answered_at);
    /// Marks the machine as confirmed: it has answered this controller or, as reported by a peer, another
    /// one.
    void confirm(const std::string& machine);
    /// Machines by id.
    const std::map<std::string, MachineView>& machines() const { return machines_; }
    /// Returns null if the machine is not known.
    const MachineView* find(const std::string& machine) const;
    /// Returns the length of the longest machine id in bytes, for bounds on the size of records that contain
    /// ids.
    std::size_t max_machine_id_length() const;
    /// Removes a machine. Unlike after release(), its next heartbeat adds it again.
    void forget(const std::string& machine) { machines_.erase(machine); }

  private:
    std::map<std::string, MachineView> machines_;
    ReleasedMachines released_;
};

/// Status of a recorded attempt according to the cluster view.
enum class AttemptStatus : std::uint8_t {
    unlisted,      ///< not in the worker's newest heartbeat: its start command may still be in flight
    live,          ///< listed by the worker and not exited
    exited,        ///< listed by the worker as exited
    lost,          ///< the worker has a later incarnation or its machine was released: it can never run again
    unresponsive,  ///< the machine is unknown, or no heartbeat of the attempt's incarnation has arrived
};

/// Status of an attempt. `state` and `cause` are meaningful only for `live` and `exited`.
struct AttemptView {
    AttemptStatus status = AttemptStatus::unresponsive;
    TaskState state = TaskState::fetching;
    ExitCause cause = ExitCause::none;
};

/// Returns the status of a recorded attempt.
AttemptView view_attempt(const ClusterView& view, const std::string& job, std::uint32_t task,
                         const Attempt& attempt);
/// Returns the status of an attempt on the given machine, without a lookup of the machine.
AttemptView view_attempt(const MachineView& machine, const std::string& job, std::uint32_t task,
                         std::uint64_t number, std::uint64_t incarnation);

}  // namespace hatchwind::core
