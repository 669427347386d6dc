#include "workers/heartbeat_handler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "io/http_responses.hpp"
#include "wire/worker_api.hpp"

namespace hatchwind::controller {

using io::HttpResponse;
using io::Micros;
using io::steady_now;

namespace {
constexpr Micros kLoadInterval{1'000'000};
// Load above the even share that causes no redirects: a quarter of the share plus kLoadSlackWorkers.
constexpr std::size_t kLoadSlackDivisor = 4;
constexpr std::size_t kLoadSlackWorkers = 4;
constexpr Micros kFullRedirectTime{20'000'000};  // redirects up to a twentieth of the workers per second
}  // namespace

std::vector<std::string> HeartbeatBalancer::healthy_members() const {
    return peers_.healthy_members(replicated_.epoch(), leadership_.label(), steady_now());
}

std::optional<std::string> HeartbeatBalancer::next_healthy_member() {
    const auto members = healthy_members();
    if (members.empty()) return std::nullopt;
    return members[next_member_index_++ % members.size()];
}

void HeartbeatBalancer::refresh_loads(Micros monotonic_now) {
    if (monotonic_now - loads_read_at_ <= kLoadInterval) return;
    loads_read_at_ = monotonic_now;
    own_load_ = leases_.assigned_count();
    peer_loads_.clear();
    for (const auto& label : healthy_members()) peer_loads_[label] = peers_.find(label)->heartbeat.workers;
}

std::optional<std::string> HeartbeatBalancer::less_loaded_member() {
    const Micros now = steady_now();
    if (now < next_redirect_at_) return std::nullopt;
    refresh_loads(now);
    std::size_t total_load = own_load_;
    for (const auto& [label, load] : peer_loads_) total_load += load;
    const std::size_t even_share = total_load / (peer_loads_.size() + 1);
    const std::size_t tolerated_load = even_share + even_share / kLoadSlackDivisor + kLoadSlackWorkers;
    const auto least_loaded =
        std::min_element(peer_loads_.begin(), peer_loads_.end(),
                         [](const auto& left, const auto& right) { return left.second < right.second; });
    if (least_loaded == peer_loads_.end() || own_load_ <= tolerated_load ||
        least_loaded->second >= even_share) {
        return std::nullopt;
    }
    next_redirect_at_ = now + kFullRedirectTime / static_cast<std::int64_t>(own_load_);
    --own_load_;
    ++least_loaded->second;
    return least_loaded->first;
}

HttpResponse HeartbeatHandler::redirect_to(const std::optional<std::string>& member) {
    return io::response_with_body(io::http_status::kMisdirectedRequest,
                                  wire::encode(wire::redirect_response(member.value_or(""))));
}

HttpResponse HeartbeatHandler::handle(const std::string& body) {
    const auto decoded = wire::decode(body);
    auto heartbeat = decoded ? wire::parse_worker_heartbeat(*decoded).optional() : std::nullopt;
    if (!heartbeat) {
        ++malformed_heartbeats_;
        spdlog::warn("event=malformed_heartbeat count={}", malformed_heartbeats_);
        return io::plain_response(io::http_status::kBadRequest);
    }
    const std::uint64_t epoch = replicated_.epoch().number;
    // Without leadership, or with an epoch older than the worker's fencing token, this controller can't renew
    // the lease. Answering with 200 would keep the worker here until its lease has expired.
    if (!leadership_.holds_leadership() || heartbeat->fencing_token > epoch) {
        return redirect_to(balancer_.next_healthy_member());
    }
    if (const auto member = balancer_.less_loaded_member()) {
        leases_.unassign(heartbeat->machine);
        return redirect_to(member);
    }
    const auto stops = stops_for_cancelled(*heartbeat);
    workers_.handle_heartbeat(std::move(*heartbeat));
    return io::response_with_body(io::http_status::kOk, wire::encode(wire::heartbeat_response(epoch, stops)));
}

std::vector<core::WorkerCommand> HeartbeatHandler::stops_for_cancelled(
    const core::WorkerHeartbeat& heartbeat) const {
    std::vector<core::WorkerCommand> stops;
    for (const auto& task : heartbeat.tasks) {
        if (task.state == core::TaskState::exited) continue;
        const core::JobEntry* entry = replicated_.job_table().find(task.job);
        if (entry == nullptr || !entry->job.cancelled) continue;
        stops.push_back({core::CommandKind::stop, task.job, task.task, task.attempt, 0});
    }
    return stops;
}

}  // namespace hatchwind::controller
