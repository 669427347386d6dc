#include "core/picture.hpp"

#include <algorithm>

namespace hatchwind::core {

bool Picture::apply(const WorkerReport& r, Micros steady, Micros heard_wall) {
    // A late report must not bring back a machine that the cloud has confirmed as gone.
    if (released_.contains(r.machine)) return false;
    auto [it, fresh] = machines_.try_emplace(r.machine);
    MachineView& m = it->second;
    if (!fresh && std::pair{m.last.session, m.last.tick} >= std::pair{r.session, r.tick}) return false;
    if (fresh) m.first_seen = steady;
    // A worker that lost its lease keeps its images: the machine did not restart.
    m.last = r;
    m.changed = steady;
    m.heard = std::max(m.heard, heard_wall);
    m.notice_until.reset();
    if (r.notice_s) m.notice_until = steady + Micros{static_cast<std::int64_t>(*r.notice_s * 1e6)};
    m.index.clear();
    for (std::size_t i = 0; i < m.last.tasks.size(); ++i) {
        const auto& t = m.last.tasks[i];
        // An exited attempt may be listed beside a newer one of the same task: the newest counts.
        auto [at, added] = m.index.try_emplace({t.job, t.task}, i);
        if (!added && m.last.tasks[at->second].attempt < t.attempt) at->second = i;
    }
    return true;
}

void Picture::heard(const std::string& machine, Micros wall) {
    const auto it = machines_.find(machine);
    if (it != machines_.end()) it->second.heard = std::max(it->second.heard, wall);
}

void Picture::note_image(const std::string& machine, const std::string& image, double gb, double cache_gb,
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

void Picture::release(const std::string& machine) {
    machines_.erase(machine);
    released_.insert(machine);
}

const MachineView* Picture::find(const std::string& machine) const {
    const auto it = machines_.find(machine);
    return it == machines_.end() ? nullptr : &it->second;
}

AttemptView view_attempt(const Picture& p, const std::string& job, std::uint32_t task, const Attempt& a) {
    AttemptView v;
    if (p.released(a.machine)) {
        v.fate = Fate::gone;
        return v;
    }
    const MachineView* m = p.find(a.machine);
    if (m == nullptr || m->last.session < a.session) return v;
    if (m->last.session > a.session) {
        v.fate = Fate::gone;
        return v;
    }
    const TaskReport* t = m->task(job, task);
    if (t == nullptr || t->attempt != a.number) {
        v.fate = Fate::unlisted;
        return v;
    }
    v.state = t->state;
    v.cause = t->cause;
    v.fate = t->state == TaskState::exited ? Fate::exited : Fate::live;
    return v;
}

}  // namespace hatchwind::core
