#include "workers/start_fence.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "core/cluster_view.hpp"

namespace hatchwind::controller {

using io::Micros;
using io::steady_now;
using io::Task;

namespace {
// Worker statuses that arrive through peers don't notify `commands_answered`, so the condition is also
// polled.
constexpr Micros kRecheckInterval{50'000};
}  // namespace

bool StartFence::supports_request(const std::string& label) const {
    const PeerStatus* peer = context_.peers.find(label);
    if (peer == nullptr || !context_.peers.is_fresh(label, steady_now())) return false;
    const PeerLink& link = context_.links.at(label);
    const bool knows_request = (peer->heartbeat.capabilities & core::kSupportsStartHolds) != 0;
    return link.connected && peer->received_at >= link.connected_at && knows_request;
}

Task<bool> StartFence::fence(std::string job, std::string team, Micros deadline) {
    const auto& shard_owners = context_.replicated.epoch().shard_owners;
    const auto owner = shard_owners.find(team);
    if (owner == shard_owners.end()) co_return false;
    const Micros until = std::min(deadline, steady_now() + kMaxWait);
    const Micros started_at = steady_now();
    const std::string label = owner->second;
    auto fencing =
        label == context_.leadership.label() ? fence_locally(job, until) : fence_at_peer(label, job, until);
    const bool fenced = co_await std::move(fencing);
    spdlog::debug("event=starts_fenced job={} owner={} fenced={} took_us={}", job, label, fenced,
                  (steady_now() - started_at).count());
    co_return fenced;
}

bool StartFence::stop_fetching_tasks(const std::string& job, std::set<core::TaskRef>& stopped) {
    const core::JobEntry* entry = context_.replicated.job_table().find(job);
    // Without leadership no command is sent, and under a new epoch the job is fenced again.
    if (entry == nullptr || !context_.leadership.holds_leadership()) return true;
    bool none_left = true;
    for (const auto& [number, chunk] : entry->chunks) {
        for (const auto& [task, attempt] : chunk.open) {
            const auto view = core::view_attempt(context_.workers.cluster_view(), job, task, attempt);
            if (view.status != core::AttemptStatus::live || view.state != core::TaskState::fetching) continue;
            none_left = false;
            if (!stopped.insert({job, task}).second) continue;
            context_.commands.enqueue(attempt.machine, attempt.incarnation,
                                      {core::CommandKind::stop, job, task, attempt.number, 0},
                                      CommandReason::held);
        }
    }
    return none_left;
}

Task<bool> StartFence::fence_locally(std::string job, Micros deadline) {
    std::set<core::TaskRef> stopped;
    while (true) {
        // Renews the hold, so that the wait doesn't shorten it.
        context_.holds.hold(job, steady_now());
        const bool none_fetching = stop_fetching_tasks(job, stopped);
        if (none_fetching && !context_.commands.start_in_flight(job)) co_return true;
        if (steady_now() >= deadline) co_return false;
        co_await context_.signals.commands_answered.wait(std::min(deadline, steady_now() + kRecheckInterval));
    }
}

Task<bool> StartFence::fence_at_peer(std::string owner, std::string job, Micros deadline) {
    if (!supports_request(owner)) co_return false;
    const std::uint64_t number = ++last_request_number_;
    const auto wait_us = static_cast<std::uint64_t>(std::max(Micros{0}, deadline - steady_now()).count());
    const wire::StartHoldRequest request{number, std::move(job), wait_us};
    if (!context_.links.push(context_.links.at(owner), request)) co_return false;
    unacknowledged_requests_.insert(number);
    while (unacknowledged_requests_.contains(number)) {
        const bool notified = co_await acknowledgement_received_.wait(deadline);
        // If the number is no longer in the set, the acknowledgement arrived at the deadline.
        if (!notified) co_return unacknowledged_requests_.erase(number) == 0;
    }
    co_return true;
}

void StartFence::handle_request(const std::string& from, const wire::StartHoldRequest& request) {
    context_.scope.spawn(serve_request(from, request));
}

Task<void> StartFence::serve_request(std::string from, wire::StartHoldRequest request) {
    const auto wait_us = std::min<std::uint64_t>(request.wait_us, kMaxWait.count());
    auto fencing = fence_locally(request.job, steady_now() + Micros{static_cast<std::int64_t>(wait_us)});
    const bool fenced = co_await std::move(fencing);
    if (fenced) context_.links.push(context_.links.at(from), wire::StartHoldAcknowledgement{request.number});
}

void StartFence::handle_acknowledgement(const wire::StartHoldAcknowledgement& acknowledgement) {
    if (unacknowledged_requests_.erase(acknowledgement.number) == 0) return;
    acknowledgement_received_.notify_all();
}

}  // namespace hatchwind::controller
