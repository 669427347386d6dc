// The cluster view: this node's view of the fleet, from reports and what other nodes pass on. It may be old;
// nothing that must hold rests on it alone.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "core/job_table.hpp"
#include "core/model.hpp"
#include "core/released_machines.hpp"

namespace hatchwind::core {

struct MachineView {
    WorkerHeartbeat last_heartbeat;
    Micros heard{};                      // time of day of the newest answered report or order, by any node
    Micros first_seen{};                 // steady
    Micros changed{};                    // steady: when the newest report came in
    std::uint64_t content_sequence = 0;  // of the newest report that changed its incarnation, tasks or notice
    // A report may be a late copy from a machine that is long gone, and a node that has just started cannot
    // tell. A machine takes tasks only after it has answered a question of ours; see ClusterView::confirm().
    bool confirmed = false;
    std::optional<Micros> notice_until;  // steady: when the cloud takes it
    struct Image {
        double gb = 0;
        Micros used{};
    };
    std::map<std::string, Image> images;
    std::vector<std::uint32_t>
        index;  // places in last_heartbeat.tasks, by task number, then job, newest attempt first

    const TaskStatus* task(const std::string& job, std::uint32_t number) const {
        const auto it = std::lower_bound(
            index.begin(), index.end(), std::tie(number, job), [&](std::uint32_t i, const auto& k) {
                return std::tie(last_heartbeat.tasks[i].task, last_heartbeat.tasks[i].job) < k;
            });
        if (it == index.end()) return nullptr;
        const TaskStatus& t = last_heartbeat.tasks[*it];
        return t.task == number && t.job == job ? &t : nullptr;
    }
};

class ClusterView {
  public:
    // True when the report is news: newer (incarnation, tick) than the known one. Anything else is a late
    // copy or a repeat, and changes nothing at all. `answer`: it came as the answer to a request, so it is no
    // late copy. `stale_heartbeat_threshold`: a first report, one of a new incarnation, or one after that
    // much silence, proves no life by itself: the machine has to answer before it is used.
    bool apply(WorkerHeartbeat r, Micros monotonic_now, Micros heard_wall, bool answer = false,
               Micros stale_heartbeat_threshold = Micros::max());
    void heard(const std::string& machine, Micros wall_clock_now);
    void record_image(const std::string& machine, const std::string& image, double gb, double cache_gb,
                      Micros monotonic_now);
    // The cloud has confirmed that the machine is gone, for good.
    void release(const std::string& machine, Micros monotonic_now);
    const ReleasedMachines& released_machines() const { return released_; }
    bool released(const std::string& machine) const { return released_.contains(machine); }
    // A report without news of its tasks, told by another node. False when this node has not seen the tasks
    // it speaks of: then it must wait for a whole report.
    bool alive(const std::string& machine, std::uint64_t incarnation, std::uint64_t heartbeat_sequence,
               std::uint64_t fencing_token, std::uint64_t content_sequence, Micros monotonic_now,
               Micros heard_wall);
    // It has answered this node, or another one that says so.
    void confirm(const std::string& machine);
    const std::map<std::string, MachineView>& machines() const { return machines_; }
    const MachineView* find(const std::string& machine) const;
    // For records of the store that hold names: what one of them takes at the most.
    std::size_t longest_name() const;
    void forget(const std::string& machine) { machines_.erase(machine); }

  private:
    std::map<std::string, MachineView> machines_;
    ReleasedMachines released_;
};

enum class AttemptStatus : std::uint8_t {
    unlisted,  // the worker's newest report lacks it: its start may still be on the way
    live,
    exited,
    gone,    // a later incarnation, or the machine was released: it can never run again
    silent,  // nothing newer is known
};

struct AttemptView {
    AttemptStatus status = AttemptStatus::silent;
    TaskState state = TaskState::fetching;
    ExitCause cause = ExitCause::none;
};

AttemptView view_attempt(const ClusterView& p, const std::string& job, std::uint32_t task, const Attempt& a);
// The same for an attempt on a machine that is in the cluster view, without looking for it.
AttemptView view_attempt(const MachineView& m, const std::string& job, std::uint32_t task,
                         std::uint64_t number, std::uint64_t incarnation);

}  // namespace hatchwind::core
