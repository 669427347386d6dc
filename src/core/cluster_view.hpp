/// The cluster view: the fleet as this controller sees it, from heartbeats and from what other controllers
/// pass on. It may be out of date; nothing that must hold relies on it alone.
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

/// One machine that has sent a heartbeat and is not known to be gone.
struct MachineView {
    WorkerHeartbeat last_heartbeat;
    /// Wall clock: the newest heartbeat or command that was answered, by any controller.
    Micros last_answered_at{};
    Micros last_heartbeat_at{};  ///< monotonic clock: when the newest heartbeat came in
    /// Sequence of the newest heartbeat that changed its incarnation, its tasks or its notice.
    std::uint64_t content_sequence = 0;
    /// A heartbeat may be a late copy from a machine that is long gone, and a controller that has just
    /// started cannot tell. A machine takes tasks only after it has answered a request; see
    /// ClusterView::confirm().
    bool confirmed = false;
    std::optional<Micros> notice_until;  ///< monotonic clock: when the cloud takes the machine away
    /// An image in the machine's cache.
    struct Image {
        double gb = 0;
        Micros used{};  ///< monotonic clock: last use
    };
    std::map<std::string, Image> images;  ///< by name
    /// Positions in last_heartbeat.tasks, by task number, then job, the newest attempt first.
    std::vector<std::uint32_t> index;

    /// The newest attempt of the task that the worker lists; null when it lists none.
    const TaskStatus* task(const std::string& job, std::uint32_t number) const;
};

/// Written by WorkerStatus alone. A machine is in it from its first heartbeat on, until the cloud has
/// confirmed that it is gone.
class ClusterView {
  public:
    /// True when the heartbeat is news: newer (incarnation, heartbeat sequence) than the known one. Anything
    /// else is a late copy or a repeat, and changes nothing at all. `answer`: it came as the answer to a
    /// request, so it is no late copy. `stale_heartbeat_threshold`: a first heartbeat, one of a new
    /// incarnation, or one after that much silence proves nothing by itself: the machine has to answer before
    /// it is used. `answered_at`: as MachineView::last_answered_at.
    bool apply(WorkerHeartbeat heartbeat, Micros monotonic_now, Micros answered_at, bool answer = false,
               Micros stale_heartbeat_threshold = Micros::max());
    /// A controller had an answer from the machine at that time of the wall clock.
    void record_answer(const std::string& machine, Micros answered_at);
    /// The machine has used the image. Keeps the most recently used ones up to `cache_gb`, as its cache does.
    void record_image(const std::string& machine, const std::string& image, double gb, double cache_gb,
                      Micros monotonic_now);
    /// The cloud has confirmed that the machine is gone, for good.
    void release(const std::string& machine, Micros monotonic_now);
    /// Machines that are gone for good, as far as they are still remembered.
    const ReleasedMachines& released_machines() const { return released_; }
    /// The cloud has confirmed that the machine is gone.
    bool released(const std::string& machine) const { return released_.contains(machine); }
    /// A heartbeat without changes of its tasks, passed on by another controller. False when this one has not
    /// seen the tasks that it refers to: then it must wait for a full heartbeat.
    bool apply_keep_alive(const std::string& machine, std::uint64_t incarnation,
                          std::uint64_t heartbeat_sequence, std::uint64_t fencing_token,
                          std::uint64_t content_sequence, Micros monotonic_now, Micros answered_at);
    /// The machine has answered this controller, or another one that says so.
    void confirm(const std::string& machine);
    /// By machine id.
    const std::map<std::string, MachineView>& machines() const { return machines_; }
    /// Null when the machine is not known.
    const MachineView* find(const std::string& machine) const;
    /// Length of the longest machine id in bytes, for bounds on the size of records that contain ids.
    std::size_t longest_name() const;
    /// Unlike a release: the machine comes back with its next heartbeat.
    void forget(const std::string& machine) { machines_.erase(machine); }

  private:
    std::map<std::string, MachineView> machines_;
    ReleasedMachines released_;
};

/// What the cluster view tells of an attempt that the store records.
enum class AttemptStatus : std::uint8_t {
    unlisted,  ///< the worker's newest heartbeat lacks it: its start may still be on the way
    live,
    exited,
    gone,    ///< a later incarnation, or the machine was released: it can never run again
    silent,  ///< nothing newer is known
};

/// What is known of an attempt. State and cause are meaningful for `live` and `exited` only.
struct AttemptView {
    AttemptStatus status = AttemptStatus::silent;
    TaskState state = TaskState::fetching;
    ExitCause cause = ExitCause::none;
};

/// What is known of a recorded attempt.
AttemptView view_attempt(const ClusterView& view, const std::string& job, std::uint32_t task,
                         const Attempt& attempt);
/// The same for an attempt on a machine that is in the cluster view, without a search for it.
AttemptView view_attempt(const MachineView& machine, const std::string& job, std::uint32_t task,
                         std::uint64_t number, std::uint64_t incarnation);

}  // namespace hatchwind::core
