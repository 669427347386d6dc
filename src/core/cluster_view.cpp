#include "core/cluster_view.hpp"

#include <algorithm>

namespace hatchwind::core {

bool ClusterView::apply(WorkerReport r, Micros steady, Micros heard_wall, bool answer, Micros doubt_after) {
    // A late report must not bring back a machine that the cloud has confirmed as gone.
    if (released_.contains(r.machine)) return false;
    auto [it, fresh] = machines_.try_emplace(r.machine);
    MachineView& m = it->second;
    if (!fresh && std::pair{m.last.session, m.last.tick} >= std::pair{r.session, r.tick}) return false;
    if (fresh) m.first_seen = steady;
    if (answer || doubt_after == Micros::max()) {
        m.confirmed = true;
    } else if (!fresh && (steady - m.changed > doubt_after || m.last.session != r.session)) {
        // A lease that ran out while its reports came in: perhaps no answer reaches it.
        m.confirmed = false;
    }
    m.changed = steady;
    m.heard = std::max(m.heard, heard_wall);
    m.notice_until.reset();
    if (r.notice_s) m.notice_until = steady + Micros{static_cast<std::int64_t>(*r.notice_s * 1e6)};
    // A worker that lost its lease keeps its images: the machine did not restart.
    const bool same_tasks =
        std::equal(r.tasks.begin(), r.tasks.end(), m.last.tasks.begin(), m.last.tasks.end(),
                   [](const TaskReport& x, const TaskReport& y) {
                       return x.task == y.task && x.attempt == y.attempt && x.job == y.job;
                   });
    const bool same = same_tasks && m.last.session == r.session && m.last.tasks == r.tasks &&
                      m.last.notice_s.has_value() == r.notice_s.has_value();
    m.last = std::move(r);
    if (!same || fresh) m.content_tick = m.last.tick;
    if (same_tasks) return true;
    m.index.resize(m.last.tasks.size());
    for (std::uint32_t i = 0; i < m.index.size(); ++i) m.index[i] = i;
    // An exited attempt may be listed beside a newer one of the same task: the newest counts.
    std::sort(m.index.begin(), m.index.end(), [&](std::uint32_t x, std::uint32_t y) {
        const auto& s = m.last.tasks[x];
        const auto& t = m.last.tasks[y];
        return std::tie(s.task, s.job, t.attempt) < std::tie(t.task, t.job, s.attempt);
    });
    return true;
}

bool ClusterView::alive(const std::string& machine, std::uint64_t session, std::uint64_t tick,
                        std::uint64_t token, std::uint64_t content_tick, Micros steady, Micros heard_wall) {
    const auto it = machines_.find(machine);
    if (it == machines_.end()) return false;
    MachineView& m = it->second;
    // The sender's tasks are ours only in the same session and when we have seen their last change.
    if (m.last.session != session || m.last.tick < content_tick || m.last.tick >= tick) return false;
    m.last.tick = tick;
    m.last.token = std::max(m.last.token, token);
    m.changed = steady;
    m.heard = std::max(m.heard, heard_wall);
    return true;
}

void ClusterView::heard(const std::string& machine, Micros wall) {
    const auto it = machines_.find(machine);
    if (it != machines_.end()) it->second.heard = std::max(it->second.heard, wall);
}

void ClusterView::note_image(const std::string& machine, const std::string& image, double gb, double cache_gb,
                             Micros steady) {
    const auto it = machines_.find(machine);
    if (it == machines_.end()) return;
    auto& images = it->second.images;
    images[image] = {gb, steady};
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

void ClusterView::release(const std::string& machine, Micros steady) {
    machines_.erase(machine);
    released_.add(machine, steady);
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
        v.fate = Fate::gone;
        return v;
    }
    const MachineView* m = p.find(a.machine);
    return m == nullptr ? v : view_attempt(*m, job, task, a.number, a.session);
}

AttemptView view_attempt(const MachineView& m, const std::string& job, std::uint32_t task,
                         std::uint64_t number, std::uint64_t session) {
    AttemptView v;
    if (m.last.session < session) return v;
    if (m.last.session > session) {
        v.fate = Fate::gone;
        return v;
    }
    const TaskReport* t = m.task(job, task);
    if (t == nullptr || t->attempt != number) {
        v.fate = Fate::unlisted;
        return v;
    }
    v.state = t->state;
    v.cause = t->cause;
    v.fate = t->state == TaskState::exited ? Fate::exited : Fate::live;
    return v;
}

}  // namespace hatchwind::core
