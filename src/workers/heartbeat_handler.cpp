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
constexpr std::size_t kLoadSlackParts = 4;  // a quarter above the even share, and some
constexpr std::size_t kLoadSlackWorkers = 4;
constexpr Micros kFullRedirectTime{20'000'000};  // a twentieth of the workers in a second
}  // namespace

std::vector<std::string> HeartbeatBalancer::healthy_members() const {
    return peers_.healthy_members(replicated_.epoch(), leadership_.label(), steady_now());
}

std::string HeartbeatBalancer::next_healthy_member() {
    const auto members = healthy_members();
    return members.empty() ? std::string{} : members[next_turn_++ % members.size()];
}

void HeartbeatBalancer::refresh_loads(Micros now) {
    if (now - loads_read_at_ <= kLoadInterval) return;
    loads_read_at_ = now;
    own_load_ = leases_.assigned_count();
    loads_.clear();
    for (const auto& label : healthy_members()) loads_[label] = peers_.find(label)->heartbeat.workers;
}

std::string HeartbeatBalancer::less_loaded_member() {
    const Micros now = steady_now();
    if (now < next_redirect_) return {};
    refresh_loads(now);
    std::size_t all = own_load_;
    for (const auto& [label, load] : loads_) all += load;
    const std::size_t even_share = all / (loads_.size() + 1);
    const std::size_t bearable = even_share + even_share / kLoadSlackParts + kLoadSlackWorkers;
    const auto least = std::min_element(loads_.begin(), loads_.end(),
                                        [](const auto& a, const auto& b) { return a.second < b.second; });
    if (least == loads_.end() || own_load_ <= bearable || least->second >= even_share) return {};
    next_redirect_ = now + kFullRedirectTime / static_cast<std::int64_t>(own_load_);
    --own_load_;
    ++least->second;
    return least->first;
}

HttpResponse HeartbeatHandler::redirect_to(const std::string& label) {
    return io::response_with_body(io::http_status::kMisdirectedRequest,
                                  wire::encode(wire::redirect_response(label)));
}

HttpResponse HeartbeatHandler::handle(const std::string& body) {
    const auto decoded = wire::decode(body);
    auto heartbeat = decoded ? wire::parse_worker_heartbeat(*decoded).optional() : std::nullopt;
    if (!heartbeat) {
        ++malformed_;
        spdlog::warn("event=malformed_heartbeat count={}", malformed_);
        return io::plain_response(io::http_status::kBadRequest);
    }
    const std::uint64_t epoch = replicated_.epoch().number;
    // Not entitled, or behind the epoch that the worker has heard of: an answer would keep the worker here
    // while its lease runs out.
    if (!leadership_.holds_leadership() || heartbeat->fencing_token > epoch) {
        return redirect_to(balancer_.next_healthy_member());
    }
    if (const std::string member = balancer_.less_loaded_member(); !member.empty()) {
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
