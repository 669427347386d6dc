#include "service/node.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace hatchwind::service {

using io::Micros;

namespace {
std::vector<std::string> labels(const std::vector<Peer>& peers) {
    std::vector<std::string> out;
    out.reserve(peers.size());
    for (const auto& p : peers) out.push_back(p.label);
    return out;
}
}  // namespace

Node::Node(io::Loop& l, Settings s, Tunables t)
    : loop(l),
      settings(std::move(s)),
      tunables(t),
      state(l, settings),
      workers_http(l, 1, settings.max_connections / 4),
      cloud_http(l, 2),
      advanced(l),
      hurry(l),
      node_lease(labels(settings.peers)),
      work(l),
      fleet_work(l) {
    self.label = settings.label;
    for (const auto& p : settings.peers) peers[p.label];
}

bool Node::acting() const {
    if (!synced || !node_lease.alive(io::steady_now())) return false;
    const core::Member* m = epoch.member(self.label);
    return m != nullptr && *m == self;
}

bool Node::owns(const std::string& team) const {
    const auto it = epoch.owners.find(team);
    return it != epoch.owners.end() && it->second == self.label;
}

bool Node::peer_fresh(const std::string& label, Micros now) const {
    const auto it = peers.find(label);
    return it != peers.end() && it->second.received.count() != 0 &&
           now - it->second.received < Micros{1'800'000};
}

Micros Node::doubt_after() const {
    return Micros{static_cast<std::int64_t>((settings.report_s * 2 + 6) * 1e6)};
}

std::size_t Node::workers_here() {
    const Micros since =
        io::steady_now() - Micros{static_cast<std::int64_t>((settings.report_s * 1.5 + 2) * 1e6)};
    std::erase_if(homed_, [&](const auto& h) { return h.second < since; });
    return homed_.size();
}

std::vector<std::string> Node::other_homes() const {
    const Micros now = io::steady_now();
    std::vector<std::string> out;
    for (const auto& m : epoch.members) {
        if (m.label == self.label || !peer_fresh(m.label, now)) continue;
        const wire::MeshHeartbeat& heartbeat = peers.at(m.label).heartbeat;
        if (heartbeat.grant == m.grant && heartbeat.fit) out.push_back(m.label);
    }
    return out;
}

// Not split yet: one step after the other for each report.
// NOLINTNEXTLINE(readability-function-cognitive-complexity)
bool Node::absorb(core::WorkerReport r, Micros heard, bool answer, bool confirmed) {
    note_session(r.machine, r.session);
    const core::MachineView* before = cluster_view.find(r.machine);
    const bool known = before != nullptr;
    const auto old_content = known ? std::pair{before->last.session, before->content_tick}
                                   : std::pair<std::uint64_t, std::uint64_t>{};
    const auto old_token = known ? before->last.token : 0;
    const bool was_confirmed = known && before->confirmed;
    const Micros now = io::steady_now();
    const std::string machine = r.machine;
    // A report that bears the token of an epoch that has only just begun was made after it began.
    const bool recent = r.token != 0 && r.token == epoch.number && now - epoch_seen < doubt_after();
    if (!cluster_view.apply(std::move(r), now, heard, answer || recent || confirmed, doubt_after())) {
        if (heard.count() != 0) cluster_view.heard(machine, heard);
        return false;
    }
    const core::MachineView& m = *cluster_view.find(machine);
    const bool changed = !known || old_content != std::pair{m.last.session, m.content_tick};
    if (changed && catalog) {
        const auto type = catalog->find(m.last.type);
        for (const auto& t : m.last.tasks) {
            const bool has = t.state != core::TaskState::fetching &&
                             (t.state != core::TaskState::exited || t.cause == core::ExitCause::done);
            const core::JobEntry* e = has ? ledger.find(t.job) : nullptr;
            if (e != nullptr && type != catalog->end()) {
                cluster_view.note_image(machine, e->job.image, e->job.image_gb, type->second.cache_gb, now);
            }
        }
    }
    if (!m.confirmed) suspects.try_emplace(machine);
    // One that did not answer before and has something to say now is asked soon, not after the pause that its
    // silence earned.
    if (const auto s = suspects.find(machine); s != suspects.end())
        s->second.next = std::min(s->second.next, s->second.asked + Micros{500'000});
    const bool news = changed || old_token != m.last.token || m.confirmed != was_confirmed;
    if (news) work.notify_all();
    if (!known) fleet_work.notify_all();
    return news;
}

void Node::take_report(core::WorkerReport r, bool answered) {
    const Micros wall = io::wall_now();
    last_worker_contact = io::steady_now();
    const std::string machine = r.machine;
    const std::uint64_t tick = r.tick;
    if (answered) {
        // Even the answer to a late copy may have renewed a lease, as far as this node can tell: it bounds
        // the lease's end, and proves nothing about the machine.
        answered_here[machine] = wall;
        homed_[machine] = last_worker_contact;
        auto& any = answered_any[machine];
        any = std::max(any, wall);
    } else {
        suspects.erase(machine);
    }
    const bool news = absorb(std::move(r), answered ? wall : Micros{0}, !answered, false);
    if (!answered) cluster_view.confirm(machine);
    const core::MachineView* m = cluster_view.find(machine);
    // A copy of an old report is no sign of life, and none of the others' business.
    if (m == nullptr || m->last.tick != tick || !forward) return;
    // Unchanged reports are passed on in a short form: the others use a machine only while it has news.
    forward(*m, answered ? wall : Micros{0}, news);
}

void Node::answered_elsewhere(const std::string& machine, Micros heard) {
    if (heard.count() == 0) return;
    auto& any = answered_any[machine];
    any = std::max(any, heard);
    homed_.erase(machine);
}

void Node::take_forward(wire::MeshReport m) {
    const Micros heard{m.heard_us};
    const std::string machine = m.report.machine;
    if (cluster_view.released(machine)) return;
    answered_elsewhere(machine, heard);
    absorb(std::move(m.report), heard, false, m.confirmed);
    const auto* view = catalog && !m.images.empty() ? cluster_view.find(machine) : nullptr;
    const auto type = view == nullptr ? core::Catalog::const_iterator{} : catalog->find(view->last.type);
    if (view == nullptr || type == catalog->end()) return;
    for (const auto& [image, gb] : m.images) {
        if (!view->images.contains(image))
            cluster_view.note_image(machine, image, gb, type->second.cache_gb, io::steady_now());
    }
}

void Node::take_alive(const wire::MeshAlive& m) {
    const Micros heard{m.heard_us};
    if (cluster_view.released(m.machine)) return;
    answered_elsewhere(m.machine, heard);
    cluster_view.alive(m.machine, m.session, m.tick, m.token, m.content_tick, io::steady_now(), heard);
}

void Node::note_unanswered(const std::string& machine) {
    const Micros now = io::steady_now();
    Suspect& s = suspects[machine];
    if (s.since.count() == 0) s.since = now;
    s.next = now + s.pause;
}

void Node::note_released(const std::string& machine) {
    if (cluster_view.released(machine)) return;
    const core::MachineView* view = cluster_view.find(machine);
    if (view != nullptr) {
        if (const auto a = io::parse_address(view->last.address)) workers_http.forget(*a);
    }
    cluster_view.release(machine, io::steady_now());
    answered_here.erase(machine);
    answered_any.erase(machine);
    homed_.erase(machine);
    sessions_.erase(machine);
    suspects.erase(machine);
    work.notify_all();
    fleet_work.notify_all();
}

std::vector<wire::CancelNotice> Node::cancels_after(core::Stamp after) const {
    std::vector<wire::CancelNotice> cancels;
    for (const auto& [id, entry] : ledger.jobs()) {
        if (!entry.job.cancelled || entry.stamp <= after) continue;
        cancels.push_back({id, entry.stamp, entry.job.cancelled_at.count()});
    }
    return cancels;
}

void Node::take_cancels(const std::vector<wire::CancelNotice>& cancels) {
    bool news = false;
    for (const auto& notice : cancels) {
        // What the replica has reached includes it, and perhaps the job's end: a late notice must not bring
        // an ended job back.
        if (notice.revision <= revision) continue;
        const core::JobEntry* entry = ledger.find(notice.job);
        if (entry == nullptr || entry->stamp >= notice.revision) continue;
        spdlog::debug("event=cancel_told job={} revision={}", notice.job, notice.revision);
        ledger.put_cancel(notice.job, notice.revision, Micros{notice.cancelled_us});
        news = true;
    }
    if (news) work.notify_all();
}

void Node::note_session(const std::string& machine, std::uint64_t session) {
    SessionNews& known = sessions_[machine];
    if (known.first_known.count() != 0 && session <= known.session) return;
    known = {session, io::wall_now()};
}

bool Node::lease_over(const std::string& machine, std::uint64_t session, Micros wall) {
    // The latest moment at which anyone may have answered: this life, what others told, and for lives that
    // are members no longer, the time at which the epoch that removed them was written.
    Micros last = std::max(epoch.removed_at, synced_wall);
    if (const auto it = answered_any.find(machine); it != answered_any.end())
        last = std::max(it->second, epoch.removed_at);
    // A session begins with a lease that no controller gave, and it may have been learned from an answer to a
    // direct command: counted from the last answered report alone, tasks of a worker that reaches nobody were
    // started a second time while they ran (LeaseOfASession tests).
    note_session(machine, session);
    last = std::max(last, sessions_.at(machine).first_known);
    const double margin_s = 1.0 + settings.lease_s * 0.002 + settings.skew_ms * 0.004;
    const Micros end = last + Micros{static_cast<std::int64_t>((settings.lease_s + margin_s) * 1e6)};
    if (wall < end) return false;
    // Every other member must have said, after the lease's end, that it did not answer later than that.
    // NOLINTNEXTLINE(readability-use-anyofallof): a guard for each way of not knowing.
    for (const auto& m : epoch.members) {
        if (m.label == self.label) continue;
        const auto p = peers.find(m.label);
        if (p == peers.end() || p->second.heartbeat.grant != m.grant ||
            p->second.heartbeat.wall_us < end.count())
            return false;
    }
    return true;
}

core::Availability Node::availability() const {
    core::Availability a;
    a.now = io::steady_now();
    a.silent_after = Micros{static_cast<std::int64_t>((settings.report_s * 2.5 + 1.5) * 1e6)};
    // A worker whose reports reach nobody keeps no lease: its tasks would die with each of its sessions.
    a.heard_since = io::wall_now() - a.silent_after;
    a.draining = draining;
    a.candidates = candidates;
    // One that reports but does not answer gets nothing new: its lease runs out on its own side.
    for (const auto& [machine, s] : suspects) {
        if (s.since.count() != 0 && a.now - s.since > Micros{2'000'000})
            a.banned_until[machine] = Micros::max();
    }
    return a;
}

}  // namespace hatchwind::service
