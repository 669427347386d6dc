#include "core/cluster_view.hpp"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace hatchwind::core {

namespace {

// Lower bound of the estimated machine id length, for a view without machines.
constexpr std::size_t kTypicalMachineIdLength = 10;

bool is_newer(const WorkerHeartbeat& heartbeat, const WorkerHeartbeat& known) {
    return std::pair{heartbeat.incarnation, heartbeat.heartbeat_sequence} >
           std::pair{known.incarnation, known.heartbeat_sequence};
}

// Returns true if both list the same attempts in the same order. Ignores the states of the attempts.
bool lists_same_attempts(const WorkerHeartbeat& left, const WorkerHeartbeat& right) {
    return std::equal(left.tasks.begin(), left.tasks.end(), right.tasks.begin(), right.tasks.end(),
                      [](const TaskStatus& one, const TaskStatus& other) {
                          return one.task == other.task && one.attempt == other.attempt &&
                                 one.job == other.job;
                      });
}

bool has_same_content(const WorkerHeartbeat& left, const WorkerHeartbeat& right) {
    return left.incarnation == right.incarnation && left.tasks == right.tasks &&
           left.notice_s.has_value() == right.notice_s.has_value();
}

std::vector<std::uint32_t> index_of(const std::vector<TaskStatus>& tasks) {
    std::vector<std::uint32_t> index(tasks.size());
    std::iota(index.begin(), index.end(), 0U);
    // An exited attempt may be listed together with a newer one of the same task, so the newest comes first.
    std::sort(index.begin(), index.end(), [&](std::uint32_t left_position, std::uint32_t right_position) {
        const TaskStatus& left = tasks[left_position];
        const TaskStatus& right = tasks[right_position];
        return std::tie(left.task, left.job, right.attempt) < std::tie(right.task, right.job, left.attempt);
    });
    return index;
}

}  // namespace

const TaskStatus* MachineView::task(const std::string& job, std::uint32_t number) const {
    const auto& tasks = last_heartbeat.tasks;
    const auto found = std::lower_bound(
        index.begin(), index.end(), std::tie(number, job), [&](std::uint32_t position, const auto& wanted) {
            return std::tie(tasks[position].task, tasks[position].job) < wanted;
        });
    if (found == index.end()) return nullptr;
    const TaskStatus& status = tasks[*found];
    return status.task == number && status.job == job ? &status : nullptr;
}

bool ClusterView::apply(WorkerHeartbeat heartbeat, Micros monotonic_now, Micros answered_at, bool answer,
                        Micros stale_heartbeat_threshold) {
    // A late heartbeat must not restore a machine whose release the cloud has confirmed.
    if (released_.contains(heartbeat.machine)) return false;
    const auto [known, is_new] = machines_.try_emplace(heartbeat.machine);
    MachineView& machine = known->second;
    if (!is_new && !is_newer(heartbeat, machine.last_heartbeat)) return false;
    if (answer || stale_heartbeat_threshold == Micros::max()) {
        machine.confirmed = true;
    } else if (!is_new && (monotonic_now - machine.last_heartbeat_at > stale_heartbeat_threshold ||
                           machine.last_heartbeat.incarnation != heartbeat.incarnation)) {
        // After a gap the heartbeat may be a late duplicate. A new incarnation means that the lease expired:
        // if it expired while heartbeats arrived, answers may not reach the machine.
        machine.confirmed = false;
    }
    machine.last_heartbeat_at = monotonic_now;
    machine.last_answered_at = std::max(machine.last_answered_at, answered_at);
    machine.notice_until.reset();
    if (heartbeat.notice_s) machine.notice_until = monotonic_now + from_seconds(*heartbeat.notice_s);
    // A new incarnation does not reset `images`: a worker whose lease expired keeps them, since its machine
    // did not restart.
    const bool same_attempts = lists_same_attempts(heartbeat, machine.last_heartbeat);
    const bool same_content = has_same_content(heartbeat, machine.last_heartbeat);
    machine.last_heartbeat = std::move(heartbeat);
    if (is_new || !same_content) machine.content_sequence = machine.last_heartbeat.heartbeat_sequence;
    if (!same_attempts) machine.index = index_of(machine.last_heartbeat.tasks);
    return true;
}

bool ClusterView::apply_keep_alive(const std::string& machine, std::uint64_t incarnation,
                                   std::uint64_t heartbeat_sequence, std::uint64_t fencing_token,
                                   std::uint64_t content_sequence, Micros monotonic_now, Micros answered_at) {
    const auto known = machines_.find(machine);
    if (known == machines_.end()) return false;
    MachineView& view = known->second;
    WorkerHeartbeat& heartbeat = view.last_heartbeat;
    // The tasks known here are the sender's only in the same incarnation and if its last change is known
    // here.
    if (heartbeat.incarnation != incarnation || heartbeat.heartbeat_sequence < content_sequence) return false;
    if (heartbeat.heartbeat_sequence >= heartbeat_sequence) return false;
    heartbeat.heartbeat_sequence = heartbeat_sequence;
    heartbeat.fencing_token = std::max(heartbeat.fencing_token, fencing_token);
    view.last_heartbeat_at = monotonic_now;
    view.last_answered_at = std::max(view.last_answered_at, answered_at);
    return true;
}

void ClusterView::record_answer(const std::string& machine, Micros answered_at) {
    const auto known = machines_.find(machine);
    if (known != machines_.end())
        known->second.last_answered_at = std::max(known->second.last_answered_at, answered_at);
}

void ClusterView::record_image(const std::string& machine, const std::string& image, double gb,
                               double cache_gb, Micros monotonic_now) {
    const auto known = machines_.find(machine);
    if (known == machines_.end()) return;
    auto& images = known->second.images;
    images[image] = {gb, monotonic_now};
    double total_gb = 0;
    for (const auto& [name, cached] : images) total_gb += cached.gb;
    while (total_gb > cache_gb && images.size() > 1) {
        const auto oldest = std::min_element(
            images.begin(), images.end(),
            [](const auto& left, const auto& right) { return left.second.used < right.second.used; });
        total_gb -= oldest->second.gb;
        images.erase(oldest);
    }
}

void ClusterView::release(const std::string& machine, Micros monotonic_now) {
    machines_.erase(machine);
    released_.add(machine, monotonic_now);
}

void ClusterView::confirm(const std::string& machine) {
    const auto known = machines_.find(machine);
    if (known != machines_.end()) known->second.confirmed = true;
}

const MachineView* ClusterView::find(const std::string& machine) const {
    const auto known = machines_.find(machine);
    return known == machines_.end() ? nullptr : &known->second;
}

std::size_t ClusterView::max_machine_id_length() const {
    std::size_t max_length = kTypicalMachineIdLength;
    for (const auto& [id, view] : machines_) max_length = std::max(max_length, id.size());
    return max_length;
}

AttemptView view_attempt(const ClusterView& view, const std::string& job, std::uint32_t task,
                         const Attempt& attempt) {
    if (view.released(attempt.machine)) return {.status = AttemptStatus::lost};
    const MachineView* machine = view.find(attempt.machine);
    if (machine == nullptr) return {};
    return view_attempt(*machine, job, task, attempt.number, attempt.incarnation);
}

AttemptView view_attempt(const MachineView& machine, const std::string& job, std::uint32_t task,
                         std::uint64_t number, std::uint64_t incarnation) {
    if (machine.last_heartbeat.incarnation < incarnation) return {};
    if (machine.last_heartbeat.incarnation > incarnation) return {.status = AttemptStatus::lost};
    const TaskStatus* listed = machine.task(job, task);
    if (listed == nullptr || listed->attempt != number) return {.status = AttemptStatus::unlisted};
    const bool exited = listed->state == TaskState::exited;
    return {exited ? AttemptStatus::exited : AttemptStatus::live, listed->state, listed->cause};
}

}  // namespace hatchwind::core
