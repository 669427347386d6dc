#include "core/cluster_view.hpp"

#include <algorithm>

namespace hatchwind::core {

bool ClusterView::apply(WorkerHeartbeat r, Micros monotonic_now, Micros heard_wall, bool answer,
                        Micros stale_heartbeat_threshold) {
    // A late report must not bring back a machine that the cloud has confirmed as gone.
    if (released_.contains(r.machine)) return false;
    auto [it, fresh] = machines_.try_emplace(r.machine);
    MachineView& m = it->second;
    if (!fresh && std::pair{m.last_heartbeat.incarnation, m.last_heartbeat.heartbeat_sequence} >=
                      std::pair{r.incarnation, r.heartbeat_sequence})
        return false;
    if (fresh) m.first_seen = monotonic_now;
    if (answer || stale_heartbeat_threshold == Micros::max()) {
        m.confirmed = true;
    } else if (!fresh && (monotonic_now - m.changed > stale_heartbeat_threshold ||
                          m.last_heartbeat.incarnation != r.incarnation)) {
        // A lease that ran out while its reports came in: perhaps no answer reaches it.
        m.confirmed = false;
    }
    m.changed = monotonic_now;
    m.heard = std::max(m.heard, heard_wall);
    m.notice_until.reset();
    if (r.notice_s) m.notice_until = monotonic_now + Micros{static_cast<std::int64_t>(*r.notice_s * 1e6)};
    // A worker that lost its lease keeps its images: the machine did not restart.
    const bool same_tasks =
        std::equal(r.tasks.begin(), r.tasks.end(), m.last_heartbeat.tasks.begin(),
                   m.last_heartbeat.tasks.end(), [](const TaskStatus& x, const TaskStatus& y) {
                       return x.task == y.task && x.attempt == y.attempt && x.job == y.job;
                   });
    const bool same = same_tasks && m.last_heartbeat.incarnation == r.incarnation &&
                      m.last_heartbeat.tasks == r.tasks &&
                      m.last_heartbeat.notice_s.has_value() == r.notice_s.has_value();
    m.last_heartbeat = std::move(r);
    if (!same || fresh) m.content_sequence = m.last_heartbeat.heartbeat_sequence;
    if (same_tasks) return true;
    m.index.resize(m.last_heartbeat.tasks.size());
    for (std::uint32_t i = 0; i < m.index.size(); ++i) m.index[i] = i;
    // An exited attempt may be listed beside a newer one of the same task: the newest counts.
    std::sort(m.index.begin(), m.index.end(), [&](std::uint32_t x, std::uint32_t y) {
        const auto& s = m.last_heartbeat.tasks[x];
        const auto& t = m.last_heartbeat.tasks[y];
        return std::tie(s.task, s.job, t.attempt) < std::tie(t.task, t.job, s.attempt);
    });
    return true;
}

bool ClusterView::alive(const std::string& machine, std::uint64_t incarnation,
                        std::uint64_t heartbeat_sequence, std::uint64_t fencing_token,
                        std::uint64_t content_sequence, Micros monotonic_now, Micros heard_wall) {
    const auto it = machines_.find(machine);
    if (it == machines_.end()) return false;
    MachineView& m = it->second;
    // The sender's tasks are ours only in the same incarnation and when we have seen their last change.
    if (m.last_heartbeat.incarnation != incarnation ||
        m.last_heartbeat.heartbeat_sequence < content_sequence ||
        m.last_heartbeat.heartbeat_sequence >= heartbeat_sequence)
        return false;
    m.last_heartbeat.heartbeat_sequence = heartbeat_sequence;
    m.last_heartbeat.fencing_token = std::max(m.last_heartbeat.fencing_token, fencing_token);
    m.changed = monotonic_now;
    m.heard = std::max(m.heard, heard_wall);
    return true;
}

void ClusterView::heard(const std::string& machine, Micros wall_clock_now) {
    const auto it = machines_.find(machine);
    if (it != machines_.end()) it->second.heard = std::max(it->second.heard, wall_clock_now);
}

void ClusterView::record_image(const std::string& machine, const std::string& image, double gb,
                               double cache_gb, Micros monotonic_now) {
    const auto it = machines_.find(machine);
    if (it == machines_.end()) return;
    auto& images = it->second.images;
    images[image] = {gb, monotonic_now};
    double total = 0;
    for (const auto& [name, i] : images) total += i.gb;
    while (total > cache_gb && images.size() > 1) {
        const auto oldest = std::min_element(images.begin(), images.end(), [](const auto& a, const auto& b) {
            return a.second.used < b.second.used;
        });
        total -= oldest->second.gb;
        images.erase(oldest);
    }
}

void ClusterView::release(const std::string& machine, Micros monotonic_now) {
    machines_.erase(machine);
    released_.add(machine, monotonic_now);
}

void ClusterView::confirm(const std::string& machine) {
    const auto it = machines_.find(machine);
    if (it != machines_.end()) it->second.confirmed = true;
}

const MachineView* ClusterView::find(const std::string& machine) const {
    const auto it = machines_.find(machine);
    return it == machines_.end() ? nullptr : &it->second;
}

std::size_t ClusterView::longest_name() const {
    std::size_t most = 10;
    for (const auto& [id, m] : machines_) most = std::max(most, id.size());
    return most;
}

AttemptView view_attempt(const ClusterView& p, const std::string& job, std::uint32_t task, const Attempt& a) {
    AttemptView v;
    if (p.released(a.machine)) {
        v.status = AttemptStatus::gone;
        return v;
    }
    const MachineView* m = p.find(a.machine);
    return m == nullptr ? v : view_attempt(*m, job, task, a.number, a.incarnation);
}

AttemptView view_attempt(const MachineView& m, const std::string& job, std::uint32_t task,
                         std::uint64_t number, std::uint64_t incarnation) {
    AttemptView v;
    if (m.last_heartbeat.incarnation < incarnation) return v;
    if (m.last_heartbeat.incarnation > incarnation) {
        v.status = AttemptStatus::gone;
        return v;
    }
    const TaskStatus* t = m.task(job, task);
    if (t == nullptr || t->attempt != number) {
        v.status = AttemptStatus::unlisted;
        return v;
    }
    v.state = t->state;
    v.cause = t->cause;
    v.status = t->state == TaskState::exited ? AttemptStatus::exited : AttemptStatus::live;
    return v;
}

}  // namespace hatchwind::core
