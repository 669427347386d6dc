#include "cluster/node.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace hatchwind::controller {

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
      replica_advanced(l),
      replica_read_requested(l),
      leadership_lease(labels(settings.peers)),
      scheduling_needed(l),
      scaling_needed(l) {
    self.label = settings.label;
    for (const auto& p : settings.peers) peers[p.label];
}

bool Node::holds_leadership() const {
    if (!replica_loaded || !leadership_lease.alive(io::steady_now())) return false;
    const core::Member* m = epoch.member(self.label);
    return m != nullptr && *m == self;
}

bool Node::owns_shard(const std::string& team) const {
    const auto it = epoch.shard_owners.find(team);
    return it != epoch.shard_owners.end() && it->second == self.label;
}

bool Node::peer_fresh(const std::string& label, Micros now) const {
    const auto it = peers.find(label);
    return it != peers.end() && it->second.received.count() != 0 &&
           now - it->second.received < Micros{1'800'000};
}

Micros Node::stale_heartbeat_threshold() const {
    return Micros{static_cast<std::int64_t>((settings.report_s * 2 + 6) * 1e6)};
}

std::size_t Node::assigned_worker_count() {
    const Micros since =
        io::steady_now() - Micros{static_cast<std::int64_t>((settings.report_s * 1.5 + 2) * 1e6)};
    std::erase_if(workers_assigned_, [&](const auto& h) { return h.second < since; });
    return workers_assigned_.size();
}

std::vector<std::string> Node::redirect_candidates() const {
    const Micros now = io::steady_now();
    std::vector<std::string> out;
    for (const auto& m : epoch.members) {
        if (m.label == self.label || !peer_fresh(m.label, now)) continue;
        const wire::PeerHeartbeat& heartbeat = peers.at(m.label).heartbeat;
        if (heartbeat.store_lease == m.store_lease && heartbeat.healthy) out.push_back(m.label);
    }
    return out;
}

// Not split yet: one step after the other for each report.
// NOLINTNEXTLINE(readability-function-cognitive-complexity)
bool Node::merge_heartbeat(core::WorkerHeartbeat r, Micros heard, bool answer, bool confirmed) {
    record_incarnation(r.machine, r.incarnation);
    const core::MachineView* before = cluster_view.find(r.machine);
    const bool known = before != nullptr;
    const auto old_content = known ? std::pair{before->last_heartbeat.incarnation, before->content_sequence}
                                   : std::pair<std::uint64_t, std::uint64_t>{};
    const auto old_token = known ? before->last_heartbeat.fencing_token : 0;
    const bool was_confirmed = known && before->confirmed;
    const Micros now = io::steady_now();
    const std::string machine = r.machine;
    // A report that bears the fencing token of an epoch that has only just begun was made after it began.
    const bool recent = r.fencing_token != 0 && r.fencing_token == epoch.number &&
                        now - epoch_seen < stale_heartbeat_threshold();
    if (!cluster_view.apply(std::move(r), now, heard, answer || recent || confirmed,
                            stale_heartbeat_threshold())) {
        if (heard.count() != 0) cluster_view.heard(machine, heard);
        return false;
    }
    const core::MachineView& m = *cluster_view.find(machine);
    const bool changed = !known || old_content != std::pair{m.last_heartbeat.incarnation, m.content_sequence};
    if (changed && catalog) {
        const auto type = catalog->find(m.last_heartbeat.type);
        for (const auto& t : m.last_heartbeat.tasks) {
            const bool has = t.state != core::TaskState::fetching &&
                             (t.state != core::TaskState::exited || t.cause == core::ExitCause::done);
            const core::JobEntry* e = has ? job_table.find(t.job) : nullptr;
            if (e != nullptr && type != catalog->end()) {
                cluster_view.record_image(machine, e->job.image, e->job.image_gb, type->second.cache_gb, now);
            }
        }
    }
    if (!m.confirmed) probes.try_emplace(machine);
    // One that did not answer before and has something to say now is asked soon, not after the pause that its
    // silence earned.
    if (const auto s = probes.find(machine); s != probes.end())
        s->second.next = std::min(s->second.next, s->second.asked + Micros{500'000});
    const bool news = changed || old_token != m.last_heartbeat.fencing_token || m.confirmed != was_confirmed;
    if (news) scheduling_needed.notify_all();
    if (!known) scaling_needed.notify_all();
    return news;
}

void Node::handle_heartbeat(core::WorkerHeartbeat r, bool answered) {
    const Micros wall_clock_now = io::wall_now();
    last_worker_contact = io::steady_now();
    const std::string machine = r.machine;
    const std::uint64_t heartbeat_sequence = r.heartbeat_sequence;
    if (answered) {
        // Even the answer to a late copy may have renewed a lease, as far as this node can tell: it bounds
        // the lease's end, and proves nothing about the machine.
        lease_renewals_local[machine] = wall_clock_now;
        workers_assigned_[machine] = last_worker_contact;
        auto& any = lease_renewals_known[machine];
        any = std::max(any, wall_clock_now);
    } else {
        probes.erase(machine);
    }
    const bool news = merge_heartbeat(std::move(r), answered ? wall_clock_now : Micros{0}, !answered, false);
    if (!answered) cluster_view.confirm(machine);
    const core::MachineView* m = cluster_view.find(machine);
    // A copy of an old report is no sign of life, and none of the others' business.
    if (m == nullptr || m->last_heartbeat.heartbeat_sequence != heartbeat_sequence || !forward) return;
    // Unchanged reports are passed on in a short form: the others use a machine only while it has news.
    forward(*m, answered ? wall_clock_now : Micros{0}, news);
}

void Node::renewed_by_peer(const std::string& machine, Micros heard) {
    if (heard.count() == 0) return;
    auto& any = lease_renewals_known[machine];
    any = std::max(any, heard);
    workers_assigned_.erase(machine);
}

void Node::apply_peer_status(wire::WorkerStatusUpdate m) {
    const Micros heard{m.heard_us};
    const std::string machine = m.heartbeat.machine;
    if (cluster_view.released(machine)) return;
    renewed_by_peer(machine, heard);
    merge_heartbeat(std::move(m.heartbeat), heard, false, m.confirmed);
    const auto* view = catalog && !m.images.empty() ? cluster_view.find(machine) : nullptr;
    const auto type =
        view == nullptr ? core::Catalog::const_iterator{} : catalog->find(view->last_heartbeat.type);
    if (view == nullptr || type == catalog->end()) return;
    for (const auto& [image, gb] : m.images) {
        if (!view->images.contains(image))
            cluster_view.record_image(machine, image, gb, type->second.cache_gb, io::steady_now());
    }
}

void Node::apply_peer_keep_alive(const wire::WorkerKeepAlive& m) {
    const Micros heard{m.heard_us};
    if (cluster_view.released(m.machine)) return;
    renewed_by_peer(m.machine, heard);
    cluster_view.alive(m.machine, m.incarnation, m.heartbeat_sequence, m.fencing_token, m.content_sequence,
                       io::steady_now(), heard);
}

void Node::record_unanswered(const std::string& machine) {
    const Micros now = io::steady_now();
    ProbeState& s = probes[machine];
    if (s.since.count() == 0) s.since = now;
    s.next = now + s.pause;
}

void Node::record_released(const std::string& machine) {
    if (cluster_view.released(machine)) return;
    const core::MachineView* view = cluster_view.find(machine);
    if (view != nullptr) {
        if (const auto a = io::parse_address(view->last_heartbeat.address)) workers_http.forget(*a);
    }
    cluster_view.release(machine, io::steady_now());
    lease_renewals_local.erase(machine);
    lease_renewals_known.erase(machine);
    workers_assigned_.erase(machine);
    incarnations_.erase(machine);
    probes.erase(machine);
    scheduling_needed.notify_all();
    scaling_needed.notify_all();
}

std::vector<wire::CancellationNotice> Node::cancellations_after(core::Revision after) const {
    std::vector<wire::CancellationNotice> cancellations;
    for (const auto& [id, entry] : job_table.jobs()) {
        if (!entry.job.cancelled || entry.mod_revision <= after) continue;
        cancellations.push_back({id, entry.mod_revision, entry.job.cancelled_at.count()});
    }
    return cancellations;
}

void Node::apply_cancellations(const std::vector<wire::CancellationNotice>& cancellations) {
    bool news = false;
    for (const auto& notice : cancellations) {
        // What the replica has reached includes it, and perhaps the job's end: a late notice must not bring
        // an ended job back.
        if (notice.revision <= revision) continue;
        const core::JobEntry* entry = job_table.find(notice.job);
        if (entry == nullptr || entry->mod_revision >= notice.revision) continue;
        spdlog::debug("event=cancellation_received job={} revision={}", notice.job, notice.revision);
        job_table.put_cancel(notice.job, notice.revision, Micros{notice.cancelled_us});
        news = true;
    }
    if (news) scheduling_needed.notify_all();
}

void Node::record_incarnation(const std::string& machine, std::uint64_t incarnation) {
    IncarnationSighting& known = incarnations_[machine];
    if (known.first_known.count() != 0 && incarnation <= known.incarnation) return;
    known = {incarnation, io::wall_now()};
}

bool Node::lease_expired(const std::string& machine, std::uint64_t incarnation, Micros wall_clock_now) {
    // The latest moment at which anyone may have answered: this life, what others told, and for lives that
    // are members no longer, the time at which the epoch that removed them was written.
    Micros last = std::max(epoch.removed_at, replica_loaded_at);
    if (const auto it = lease_renewals_known.find(machine); it != lease_renewals_known.end())
        last = std::max(it->second, epoch.removed_at);
    // A incarnation begins with a lease that no controller gave, and it may have been learned from an answer
    // to a direct command: counted from the last answered report alone, tasks of a worker that reaches nobody
    // were started a second time while they ran (LeaseOfASession tests).
    record_incarnation(machine, incarnation);
    last = std::max(last, incarnations_.at(machine).first_known);
    const double margin_s = 1.0 + settings.lease_s * 0.002 + settings.skew_ms * 0.004;
    const Micros end = last + Micros{static_cast<std::int64_t>((settings.lease_s + margin_s) * 1e6)};
    if (wall_clock_now < end) return false;
    // Every other member must have said, after the lease's end, that it did not answer later than that.
    // NOLINTNEXTLINE(readability-use-anyofallof): a guard for each way of not knowing.
    for (const auto& m : epoch.members) {
        if (m.label == self.label) continue;
        const auto p = peers.find(m.label);
        if (p == peers.end() || p->second.heartbeat.store_lease != m.store_lease ||
            p->second.heartbeat.wall_us < end.count())
            return false;
    }
    return true;
}

core::Availability Node::availability() const {
    core::Availability a;
    a.now = io::steady_now();
    a.silent_after = Micros{static_cast<std::int64_t>((settings.report_s * 2.5 + 1.5) * 1e6)};
    // A worker whose reports reach nobody keeps no lease: its tasks would die with each of its incarnations.
    a.heard_since = io::wall_now() - a.silent_after;
    a.draining = draining;
    a.candidates = candidates;
    // One that reports but does not answer gets nothing new: its lease runs out on its own side.
    for (const auto& [machine, s] : probes) {
        if (s.since.count() != 0 && a.now - s.since > Micros{2'000'000})
            a.banned_until[machine] = Micros::max();
    }
    return a;
}

}  // namespace hatchwind::controller
