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
constexpr std::size_t kProbedFleetDivisor = 8;  // probes up to an eighth of the fleet at a time
constexpr Micros kProbeCheckInterval{200'000};
constexpr Micros kProbeTimeout{1'500'000};
constexpr Micros kConnectivityCheckInterval{1'000'000};
constexpr Micros kConnectivityTimeout{900'000};
constexpr Micros kContactTimeoutGrace{1'500'000};
constexpr double kContactTimeoutIntervals = 2;
constexpr std::size_t kConnectivityAttempts = 2;
constexpr std::size_t kMinWorkersForCheck = 2;  // a single worker may itself be unreachable
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
    // If this controller's connection pool is exhausted, the probe was not sent.
    if (!reply.has_error(io::HttpError::pool_exhausted)) context_.probes.back_off(machine, steady_now());
}

// The limit lets the whole fleet answer within seconds of a failover.
std::size_t ReachabilityMonitor::probes_allowed() const {
    // Leaves half of the connections to commands.
    const std::size_t max_probes = std::max(kMinConcurrentProbes, context_.worker_http.max_connections() / 2);
    const std::size_t fleet_size = context_.workers.cluster_view().machines().size();
    const std::size_t limit = std::clamp(fleet_size / kProbedFleetDivisor, kMinConcurrentProbes, max_probes);
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

std::vector<io::Address> ReachabilityMonitor::workers_with_recent_heartbeat(Micros max_age) const {
    std::vector<io::Address> addresses;
    for (const auto& [machine, view] : context_.workers.cluster_view().machines()) {
        if (steady_now() - view.last_heartbeat_at > max_age) continue;
        if (const auto address = io::parse_address(view.last_heartbeat.address))
            addresses.push_back(*address);
    }
    return addresses;
}

Task<bool> ReachabilityMonitor::reaches_any_worker(std::vector<io::Address> addresses) {
    for (std::size_t attempt = 0; attempt < kConnectivityAttempts; ++attempt) {
        const io::Address address = addresses[next_worker_index_++ % addresses.size()];
        auto requesting = request_status(address, kConnectivityTimeout);
        const io::HttpResult reply = co_await std::move(requesting);
        if (!reply.has_status(io::http_status::kOk)) continue;
        context_.workers.handle_response_body(reply->body);
        co_return true;
    }
    co_return false;
}

Task<void> ReachabilityMonitor::monitor_worker_connectivity() {
    // All heartbeats may go to other controllers, so a lack of contact proves nothing by itself. Some workers
    // are therefore asked for their status.
    const Micros contact_timeout =
        core::from_seconds(context_.settings.report_s * kContactTimeoutIntervals) + kContactTimeoutGrace;
    while (true) {
        co_await context_.loop.sleep(kConnectivityCheckInterval);
        if (steady_now() - context_.workers.last_contact_at() < contact_timeout) {
            context_.health.set_healthy(true);
            continue;
        }
        auto workers = workers_with_recent_heartbeat(contact_timeout);
        if (workers.size() < kMinWorkersForCheck) continue;
        auto trying = reaches_any_worker(std::move(workers));
        const bool reached = co_await std::move(trying);
        if (reached != context_.health.is_healthy()) spdlog::warn("event=worker_connectivity ok={}", reached);
        context_.health.set_healthy(reached);
    }
}

}  // namespace hatchwind::controller
