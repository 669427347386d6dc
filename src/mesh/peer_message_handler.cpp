#include "mesh/peer_message_handler.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace hatchwind::controller {

using io::Micros;
using io::steady_now;

namespace {
constexpr std::size_t kLeastReservationsKept = 512;
constexpr Micros kLongestReservation{10'000'000};
}  // namespace

void PeerMessageHandler::handle_heartbeat(const std::string& from, wire::PeerHeartbeat& heartbeat) {
    if (!context_.peers.is_newer(from, heartbeat)) return;
    for (const auto& [machine, renewed_at] : heartbeat.answered)
        context_.workers.apply_peer_renewal(machine, Micros{renewed_at});
    for (const auto& machine : heartbeat.released) context_.workers.record_released(machine);
    if (from == context_.replicated.epoch().leader) {
        context_.workers.set_drain_candidates({heartbeat.candidates.begin(), heartbeat.candidates.end()});
    }
    const bool heard_by_peer = std::find(heartbeat.hears.begin(), heartbeat.hears.end(),
                                         context_.leadership.label()) != heartbeat.hears.end();
    if (heard_by_peer) context_.links.at(from).last_confirmed_at = steady_now();
    // What does not answer somebody else may not answer anyone: this controller asks for itself.
    for (const auto& machine : heartbeat.unanswered) {
        if (context_.workers.cluster_view().find(machine) != nullptr) context_.probes.request(machine);
    }
    context_.replica.apply_cancellations(heartbeat.cancellations);
    // What has been applied need not be kept.
    heartbeat.answered.clear();
    heartbeat.released.clear();
    heartbeat.cancellations.clear();
    context_.peers.record(from, std::move(heartbeat), steady_now());
    context_.write_share.update();
}

void PeerMessageHandler::handle_lease_extension_request(const std::string& from,
                                                        const wire::LeaseExtensionRequest& request) {
    wire::LeaseExtensionVote vote{request.number, context_.membership.may_vote_for_extension(), {}};
    if (vote.given) {
        vote.cancellations = context_.replicated.cancellations_after(request.revision);
        const Micros until = steady_now() + Micros{static_cast<std::int64_t>(request.life_us)};
        context_.membership.record_vote_given(from, until);
    }
    context_.links.push(context_.links.at(from), vote);
}

void PeerMessageHandler::handle_reservation(const wire::CapacityReservationNotice& notice) {
    const std::size_t most =
        std::max(kLeastReservationsKept, context_.workers.cluster_view().machines().size());
    if (context_.reservations.size() > most) return;
    const Micros asked_for{static_cast<std::int64_t>(notice.for_us)};
    const Micros until = steady_now() + std::min(asked_for, kLongestReservation);
    context_.reservations.put(
        {notice.job, notice.task},
        {notice.machine, {notice.cpus, notice.gpus, notice.memory_gb}, until, notice.waiting});
}

void PeerMessageHandler::handle(const std::string& from, wire::PeerMessage& message) {
    if (auto* heartbeat = std::get_if<wire::PeerHeartbeat>(&message)) {
        handle_heartbeat(from, *heartbeat);
    } else if (auto* status = std::get_if<wire::WorkerStatusUpdate>(&message)) {
        context_.workers.apply_peer_status(std::move(*status));
    } else if (const auto* keep_alive = std::get_if<wire::WorkerKeepAlive>(&message)) {
        context_.workers.apply_peer_keep_alive(*keep_alive);
    } else if (const auto* request = std::get_if<wire::LeaseExtensionRequest>(&message)) {
        handle_lease_extension_request(from, *request);
    } else if (const auto* vote = std::get_if<wire::LeaseExtensionVote>(&message)) {
        context_.membership.handle_lease_extension_vote(from, *vote);
    } else if (const auto* broadcast = std::get_if<wire::CancellationBroadcast>(&message)) {
        context_.replica.apply_cancellations(broadcast->cancellations);
    } else if (const auto* reservation = std::get_if<wire::CapacityReservationNotice>(&message)) {
        handle_reservation(*reservation);
    } else if (const auto* hold = std::get_if<wire::StartHoldRequest>(&message)) {
        context_.start_fence.handle_request(from, *hold);
    } else if (const auto* held = std::get_if<wire::StartHoldAcknowledgement>(&message)) {
        context_.start_fence.handle_acknowledgement(*held);
    }
}

}  // namespace hatchwind::controller
