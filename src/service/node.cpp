#include "service/node.hpp"

#include <spdlog/spdlog.h>

namespace hatchwind::service {

using io::Micros;

namespace {
std::vector<std::string> labels(const std::vector<Peer>& peers) {
    std::vector<std::string> out;
    for (const auto& p : peers) out.push_back(p.label);
    return out;
}
constexpr std::size_t kReleasedKept = 200;
}  // namespace

Node::Node(io::Loop& l, Settings s, Tunables t)
    : loop(l),
      settings(std::move(s)),
      tunables(t),
      state(l, settings),
      workers_http(l, 1),
      cloud_http(l, 2),
      advanced(l),
      hurry(l),
      mandate(labels(settings.peers)),
      work(l),
      fleet_work(l) {
    self.label = settings.label;
    for (const auto& p : settings.peers) peers[p.label];
}

bool Node::acting() const {
    if (!synced || !mandate.alive(io::steady_now())) return false;
    const core::Member* m = epoch.member(self.label);
    return m != nullptr && *m == self;
}

bool Node::owns(const std::string& team) const {
    const auto it = epoch.owners.find(team);
    return it != epoch.owners.end() && it->second == self.label;
}

bool Node::peer_fresh(const std::string& label, Micros now) const {
    const auto it = peers.find(label);
    return it != peers.end() && it->second.received.count() != 0 && now - it->second.received < Micros{1'800'000};
}

bool Node::absorb(const core::WorkerReport& r, Micros heard) {
    const core::MachineView* before = picture.find(r.machine);
    const bool known = before != nullptr;
    const bool changed = !known || before->last.session != r.session || before->last.tasks != r.tasks ||
                         before->last.notice_s.has_value() != r.notice_s.has_value();
    const auto old_token = known ? before->last.token : 0;
    const Micros now = io::steady_now();
    if (!picture.apply(r, now, heard)) {
        if (heard.count() != 0) picture.heard(r.machine, heard);
        return false;
    }
    if (changed && catalog) {
        const auto type = catalog->find(r.type);
        for (const auto& t : r.tasks) {
            const bool has = t.state != core::TaskState::fetching &&
                             (t.state != core::TaskState::exited || t.cause == core::ExitCause::done);
            const core::JobEntry* e = has ? ledger.find(t.job) : nullptr;
            if (e != nullptr && type != catalog->end()) {
                picture.note_image(r.machine, e->job.image, e->job.image_gb, type->second.cache_gb, now);
            }
        }
    }
    if (changed || old_token != r.token) work.notify_all();
    if (!known) fleet_work.notify_all();
    return changed || old_token != r.token;
}

void Node::take_report(const core::WorkerReport& r, bool answered) {
    const Micros wall = io::wall_now();
    last_worker_contact = io::steady_now();
    if (answered) {
        answered_here[r.machine] = wall;
        auto& any = answered_any[r.machine];
        any = std::max(any, wall);
    }
    const core::MachineView* m = picture.find(r.machine);
    const bool stale = m != nullptr && io::steady_now() - m->changed > Micros{2'000'000};
    const bool news = absorb(r, answered ? wall : Micros{0});
    // Unchanged reports are passed on too, though seldom: the others use a machine only while it has news.
    if ((news || stale || (m != nullptr && r.tick % 2 == 0)) && forward) forward(r, answered ? wall : Micros{0});
}

void Node::take_forward(const wire::MeshReport& m) {
    const Micros heard{m.heard_us};
    if (heard.count() != 0) {
        auto& any = answered_any[m.report.machine];
        any = std::max(any, heard);
    }
    absorb(m.report, heard);
    if (catalog) {
        const auto type = catalog->find(m.report.type);
        const auto* view = picture.find(m.report.machine);
        if (view != nullptr && type != catalog->end()) {
            for (const auto& [image, gb] : m.images) {
                if (!view->images.contains(image)) {
                    picture.note_image(m.report.machine, image, gb, type->second.cache_gb, io::steady_now());
                }
            }
        }
    }
}

void Node::note_released(const std::string& machine) {
    if (picture.released(machine)) return;
    picture.release(machine);
    answered_here.erase(machine);
    answered_any.erase(machine);
    released_log.push_back(machine);
    if (released_log.size() > kReleasedKept) released_log.pop_front();
    work.notify_all();
    fleet_work.notify_all();
}

bool Node::lease_over(const std::string& machine, Micros wall) const {
    // The latest moment at which anyone may have answered: this life, what others told, and for lives that
    // are members no longer, the time at which the epoch that removed them was written.
    Micros last = std::max(epoch.removed_at, synced_wall);
    if (const auto it = answered_any.find(machine); it != answered_any.end()) last = std::max(it->second, epoch.removed_at);
    const double margin_s = 1.0 + settings.lease_s * 0.002 + settings.skew_ms * 0.004;
    const Micros end = last + Micros{static_cast<std::int64_t>((settings.lease_s + margin_s) * 1e6)};
    if (wall < end) return false;
    // Every other member must have said, after the lease's end, that it did not answer later than that.
    for (const auto& m : epoch.members) {
        if (m.label == self.label) continue;
        const auto p = peers.find(m.label);
        if (p == peers.end() || p->second.beat.grant != m.grant || p->second.beat.wall_us < end.count()) return false;
    }
    return true;
}

core::Availability Node::availability() const {
    core::Availability a;
    a.now = io::steady_now();
    a.silent_after = Micros{static_cast<std::int64_t>((settings.report_s * 2.5 + 1.5) * 1e6)};
    for (const auto& [m, stamp] : draining) a.draining.insert(m);
    a.candidates = candidates;
    return a;
}

}  // namespace hatchwind::service
