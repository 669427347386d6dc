#include "workers/reachability_monitor.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "io/http_status.hpp"
#include "io/scoped_count.hpp"
#include "workers/worker_http_limits.hpp"

namespace hatchwind::controller {

using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr std::size_t kMinConcurrentProbes = 32;
constexpr std::size_t kProbedFleetDivisor = 8;  // an eighth of the fleet at a time
constexpr Micros kProbeCheckInterval{200'000};
constexpr Micros kProbeTimeout{1'500'000};
constexpr Micros kConnectivityCheckInterval{1'000'000};
constexpr Micros kConnectivityTimeout{900'000};
constexpr Micros kConnectivityGrace{1'500'000};
constexpr double kQuietHeartbeatIntervals = 2;
constexpr std::size_t kConnectivityTries = 2;
constexpr std::size_t kMinWorkersForVerdict = 2;  // one alone may be the one that is unreachable
}  // namespace

Task<io::HttpResult> ReachabilityMonitor::request_status(io::Address worker, Micros timeout) {
    return context_.worker_http.send(worker, "GET", "/status", "", steady_now() + timeout,
                                     kMaxWorkerStatusBytes);
}

Task<void> ReachabilityMonitor::probe(std::string machine) {
    const io::ScopedCount in_flight{probes_in_flight_};
    const core::MachineView* view = context_.workers.cluster_view().find(machine);
    const auto address = view == nullptr ? std::nullopt : io::parse_address(view->last_heartbeat.address);
    if (!address) {
        context_.probes.remove(machine);
        co_return;
    }
    auto requesting = request_status(*address, kProbeTimeout);
    const io::HttpResult reply = co_await std::move(requesting);
    if (reply.has_status(io::http_status::kOk)) {
        context_.workers.handle_response_body(reply->body);
        context_.probes.remove(machine);
        context_.signals.scheduling_needed.notify_all();
        co_return;
    }
    // Without a free socket of this controller's own the machine was not asked.
    if (!reply.has_error(io::HttpError::pool_exhausted)) context_.probes.back_off(machine, steady_now());
}

// So many at a time as lets a whole fleet answer within seconds of a failover.
std::size_t ReachabilityMonitor::probes_allowed() const {
    // Half of the sockets are left to commands.
    const std::size_t sockets = std::max(kMinConcurrentProbes, context_.worker_http.max_connections() / 2);
    const std::size_t fleet_size = context_.workers.cluster_view().machines().size();
    const std::size_t limit = std::clamp(fleet_size / kProbedFleetDivisor, kMinConcurrentProbes, sockets);
    return limit - std::min(limit, probes_in_flight_);
}

Task<void> ReachabilityMonitor::probe_unconfirmed_workers() {
    while (true) {
        co_await context_.loop.sleep(kProbeCheckInterval);
        if (!context_.replicated.is_loaded()) continue;
        const Micros now = steady_now();
        context_.probes.remove_unknown(context_.workers.cluster_view());
        for (const auto& machine : context_.probes.due(now, probes_allowed())) {
            context_.probes.record_probe_sent(machine, now);
            context_.scope.spawn(probe(machine));
        }
    }
}

std::vector<io::Address> ReachabilityMonitor::recently_heard(Micros max_age) const {
    std::vector<io::Address> addresses;
    for (const auto& [machine, view] : context_.workers.cluster_view().machines()) {
        if (steady_now() - view.last_heartbeat_at > max_age) continue;
        if (const auto address = io::parse_address(view.last_heartbeat.address))
            addresses.push_back(*address);
    }
    return addresses;
}

Task<bool> ReachabilityMonitor::reaches_any(std::vector<io::Address> addresses) {
    for (std::size_t attempt = 0; attempt < kConnectivityTries; ++attempt) {
        const io::Address address = addresses[next_turn_++ % addresses.size()];
        auto requesting = request_status(address, kConnectivityTimeout);
        const io::HttpResult reply = co_await std::move(requesting);
        if (!reply.has_status(io::http_status::kOk)) continue;
        context_.workers.handle_response_body(reply->body);
        co_return true;
    }
    co_return false;
}

Task<void> ReachabilityMonitor::monitor_worker_connectivity() {
    // Heartbeats may all go to other controllers, so silence alone proves nothing: some workers are asked.
    const Micros quiet_period =
        core::from_seconds(context_.settings.report_s * kQuietHeartbeatIntervals) + kConnectivityGrace;
    while (true) {
        co_await context_.loop.sleep(kConnectivityCheckInterval);
        if (steady_now() - context_.workers.last_contact_at() < quiet_period) {
            context_.health.set_healthy(true);
            continue;
        }
        auto workers = recently_heard(quiet_period);
        if (workers.size() < kMinWorkersForVerdict) continue;
        auto trying = reaches_any(std::move(workers));
        const bool reached = co_await std::move(trying);
        if (reached != context_.health.is_healthy()) spdlog::warn("event=worker_connectivity ok={}", reached);
        context_.health.set_healthy(reached);
    }
}

}  // namespace hatchwind::controller
