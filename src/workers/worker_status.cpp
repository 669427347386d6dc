#include "workers/worker_status.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "io/socket.hpp"
#include "wire/worker_api.hpp"

namespace hatchwind::controller {

using core::Micros;

wire::WorkerStatusUpdate status_update(const core::MachineView& machine, Micros answered_at) {
    wire::WorkerStatusUpdate update;
    update.heartbeat = machine.last_heartbeat;
    update.heard_us = answered_at.count();
    update.confirmed = machine.confirmed;
    return update;
}

Micros WorkerStatus::stale_heartbeat_threshold() const {
    constexpr double kIntervals = 2;
    constexpr double kGraceSeconds = 6;
    return core::from_seconds(context_.settings.report_s * kIntervals + kGraceSeconds);
}

WorkerStatus::StatusVersion WorkerStatus::status_version(const std::string& machine) const {
    const core::MachineView* view = cluster_view_.find(machine);
    if (view == nullptr) return {};
    return {true, view->last_heartbeat.incarnation, view->content_sequence,
            view->last_heartbeat.fencing_token, view->confirmed};
}

bool WorkerStatus::is_of_recent_epoch(const core::WorkerHeartbeat& heartbeat, Micros monotonic_now) const {
    const ReplicatedState& replicated = context_.replicated;
    if (heartbeat.fencing_token == 0 || heartbeat.fencing_token != replicated.epoch().number) return false;
    return monotonic_now - replicated.epoch_seen_at() < stale_heartbeat_threshold();
}

bool WorkerStatus::merge_heartbeat(core::WorkerHeartbeat heartbeat, Micros answered_at,
                                   HeartbeatSource source) {
    const std::string machine = heartbeat.machine;
    context_.leases.record_incarnation(machine, heartbeat.incarnation);
    const StatusVersion before = status_version(machine);
    const Micros now = io::steady_now();
    const bool proves_alive = source == HeartbeatSource::response ||
                              source == HeartbeatSource::confirmed_by_peer ||
                              is_of_recent_epoch(heartbeat, now);
    if (!cluster_view_.apply(std::move(heartbeat), now, answered_at, proves_alive,
                             stale_heartbeat_threshold())) {
        if (answered_at.count() != 0) cluster_view_.record_answer(machine, answered_at);
        return false;
    }
    const StatusVersion after = status_version(machine);
    const bool content_changed = !before.known || before.incarnation != after.incarnation ||
                                 before.content_sequence != after.content_sequence;
    if (content_changed) record_images_of_tasks(*cluster_view_.find(machine));
    if (!after.confirmed) context_.probes.request(machine);
    context_.probes.expedite(machine);
    const bool changed =
        content_changed || before.fencing_token != after.fencing_token || before.confirmed != after.confirmed;
    if (changed) context_.signals.scheduling_needed.notify_all();
    if (!before.known) context_.signals.scaling_needed.notify_all();
    return changed;
}

std::optional<double> WorkerStatus::image_cache_gb(const core::MachineView& machine) const {
    if (!context_.catalog) return std::nullopt;
    const auto type = context_.catalog->find(machine.last_heartbeat.type);
    if (type == context_.catalog->end()) return std::nullopt;
    return type->second.cache_gb;
}

void WorkerStatus::record_images_of_tasks(const core::MachineView& machine) {
    const std::optional<double> cache_gb = image_cache_gb(machine);
    if (!cache_gb) return;
    for (const auto& task : machine.last_heartbeat.tasks) {
        // The image of a task that is running or done has been fetched.
        const bool fetched = task.state != core::TaskState::fetching &&
                             (task.state != core::TaskState::exited || task.cause == core::ExitCause::done);
        const core::JobEntry* entry = fetched ? context_.replicated.job_table().find(task.job) : nullptr;
        if (entry == nullptr) continue;
        cluster_view_.record_image(machine.last_heartbeat.machine, entry->job.image, entry->job.image_gb,
                                   *cache_gb, io::steady_now());
    }
}

void WorkerStatus::record_images_from_peer(const std::string& machine, const CachedImages& images) {
    if (images.empty()) return;
    const core::MachineView* view = cluster_view_.find(machine);
    const std::optional<double> cache_gb = view == nullptr ? std::nullopt : image_cache_gb(*view);
    if (!cache_gb) return;
    for (const auto& [image, gb] : images) {
        if (view->images.contains(image)) continue;
        cluster_view_.record_image(machine, image, gb, *cache_gb, io::steady_now());
    }
}

void WorkerStatus::handle_heartbeat(core::WorkerHeartbeat heartbeat) {
    const Micros wall_clock_now = io::wall_now();
    last_contact_at_ = io::steady_now();
    const std::string machine = heartbeat.machine;
    const std::uint64_t sequence = heartbeat.heartbeat_sequence;
    // The answer to a late duplicate counts as a renewal too, because this controller can't rule out that it
    // renewed the lease. It only bounds the end of the lease and proves nothing about the machine.
    context_.leases.renew(machine, wall_clock_now, last_contact_at_);
    const bool changed = merge_heartbeat(std::move(heartbeat), wall_clock_now, HeartbeatSource::request);
    share_with_peers(machine, sequence, wall_clock_now, changed);
}

void WorkerStatus::handle_response(core::WorkerHeartbeat status) {
    last_contact_at_ = io::steady_now();
    const std::string machine = status.machine;
    const std::uint64_t sequence = status.heartbeat_sequence;
    context_.probes.remove(machine);
    const bool changed = merge_heartbeat(std::move(status), Micros{0}, HeartbeatSource::response);
    cluster_view_.confirm(machine);
    share_with_peers(machine, sequence, Micros{0}, changed);
}

void WorkerStatus::handle_response_body(const std::string& body) {
    const auto decoded = wire::decode(body);
    auto status = decoded ? wire::parse_worker_heartbeat(*decoded).optional() : std::nullopt;
    if (!status) {
        ++malformed_responses_;
        spdlog::warn("event=malformed_command_response count={}", malformed_responses_);
        return;
    }
    handle_response(std::move(*status));
}

void WorkerStatus::share_with_peers(const std::string& machine, std::uint64_t heartbeat_sequence,
                                    Micros answered_at, bool changed) {
    const core::MachineView* view = cluster_view_.find(machine);
    // A late duplicate of an old heartbeat proves nothing about the machine, so peers don't need it.
    if (view == nullptr || view->last_heartbeat.heartbeat_sequence != heartbeat_sequence) return;
    if (changed) {
        context_.links.broadcast(status_update(*view, answered_at));
        return;
    }
    // Unchanged heartbeats are forwarded in a short form, because peers use a machine only while its status
    // is recent.
    context_.links.broadcast(wire::WorkerKeepAlive{
        machine, view->last_heartbeat.incarnation, view->last_heartbeat.heartbeat_sequence,
        view->last_heartbeat.fencing_token, view->content_sequence, answered_at.count()});
}

void WorkerStatus::apply_peer_renewal(const std::string& machine, Micros renewed_at) {
    if (cluster_view_.released(machine)) return;
    context_.leases.record_renewal(machine, renewed_at);
    cluster_view_.record_answer(machine, renewed_at);
}

void WorkerStatus::record_answer_by_peer(const std::string& machine, Micros answered_at) {
    if (answered_at.count() == 0) return;
    context_.leases.record_renewal(machine, answered_at);
    context_.leases.unassign(machine);
}

void WorkerStatus::apply_peer_status(wire::WorkerStatusUpdate update) {
    const Micros answered_at{update.heard_us};
    const std::string machine = update.heartbeat.machine;
    if (cluster_view_.released(machine)) return;
    record_answer_by_peer(machine, answered_at);
    merge_heartbeat(std::move(update.heartbeat), answered_at,
                    update.confirmed ? HeartbeatSource::confirmed_by_peer : HeartbeatSource::peer);
    record_images_from_peer(machine, update.images);
}

void WorkerStatus::apply_peer_keep_alive(const wire::WorkerKeepAlive& keep_alive) {
    const Micros answered_at{keep_alive.heard_us};
    if (cluster_view_.released(keep_alive.machine)) return;
    record_answer_by_peer(keep_alive.machine, answered_at);
    cluster_view_.apply_keep_alive(keep_alive.machine, keep_alive.incarnation, keep_alive.heartbeat_sequence,
                                   keep_alive.fencing_token, keep_alive.content_sequence, io::steady_now(),
                                   answered_at);
}

void WorkerStatus::record_released(const std::string& machine) {
    if (cluster_view_.released(machine)) return;
    const core::MachineView* view = cluster_view_.find(machine);
    if (view != nullptr) {
        if (const auto address = io::parse_address(view->last_heartbeat.address))
            context_.worker_http.close_idle(*address);
    }
    cluster_view_.release(machine, io::steady_now());
    context_.leases.forget(machine);
    context_.probes.remove(machine);
    context_.signals.scheduling_needed.notify_all();
    context_.signals.scaling_needed.notify_all();
}

core::Availability WorkerStatus::availability() const {
    constexpr double kUnresponsiveIntervals = 2.5;
    constexpr double kUnresponsiveGraceSeconds = 1.5;
    constexpr Micros kUnansweredFor{2'000'000};
    core::Availability availability;
    availability.now = io::steady_now();
    availability.unresponsive_after =
        core::from_seconds(context_.settings.report_s * kUnresponsiveIntervals + kUnresponsiveGraceSeconds);
    // A worker whose heartbeats reach no controller can't renew its lease: its tasks would end with each of
    // its incarnations.
    availability.answered_since = io::wall_now() - availability.unresponsive_after;
    availability.draining = context_.replicated.draining();
    availability.drain_candidates = drain_candidates_;
    // A machine that sends heartbeats but doesn't answer requests gets no new tasks. Its lease expires by its
    // own clock.
    for (const auto& [machine, state] : context_.probes.states()) {
        if (ReachabilityProbes::is_unanswered_for(state, kUnansweredFor, availability.now))
            availability.banned_until[machine] = Micros::max();
    }
    return availability;
}

}  // namespace hatchwind::controller
