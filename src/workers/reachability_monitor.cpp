#include "workers/reachability_monitor.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "io/http_status.hpp"
#include "workers/worker_http_limits.hpp"

namespace hatchwind::controller {

using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr std::size_t kMinConcurrentProbes = 32;
constexpr std::size_t kFleetPartProbed = 8;
constexpr Micros kProbeCheckInterval{200'000};
constexpr Micros kProbeTimeout{1'500'000};
constexpr Micros kProbeUnderWay{2'000'000};  // not asked again before
constexpr Micros kMaxProbeInterval{8'000'000};
constexpr Micros kConnectivityCheckInterval{1'000'000};
constexpr Micros kConnectivityTimeout{900'000};
constexpr Micros kConnectivityGrace{1'500'000};
constexpr double kQuietHeartbeats = 2;
constexpr std::size_t kConnectivityTries = 2;
}  // namespace

Task<void> ReachabilityMonitor::probe(std::string machine) {
    struct InFlight {
        std::size_t& count;
        ~InFlight() { --count; }
    } in_flight{probes_in_flight_};
    const core::MachineView* view = context_.workers.cluster_view().find(machine);
    const auto address = view == nullptr ? std::nullopt : io::parse_address(view->last_heartbeat.address);
    if (!address) {
        context_.probes.remove(machine);
        co_return;
    }
    auto asking = context_.worker_http.send(*address, "GET", "/status", "", steady_now() + kProbeTimeout,
                                            kMaxWorkerStatusBytes);
    const io::HttpResult reply = co_await std::move(asking);
    if (reply.has_status(io::http_status::kOk)) {
        context_.workers.handle_response_body(reply->body);
        context_.probes.remove(machine);
        context_.signals.scheduling_needed.notify_all();
        co_return;
    }
    const auto state = context_.probes.states().find(machine);
    if (state == context_.probes.states().end() || reply.has_error(io::HttpError::pool_exhausted)) co_return;
    state->second.interval = std::min(state->second.interval * 2, kMaxProbeInterval);
    context_.probes.record_unanswered(machine, steady_now());
}

// Those that wait longest go first: by name, some dozens of dead machines at the list's head took all the
// turns, and live ones behind them stayed unused. So many at a time as lets a whole fleet answer within
// seconds of a failover.
std::vector<std::string> ReachabilityMonitor::due_probes(Micros now) const {
    std::vector<std::pair<Micros, std::string>> due;
    for (const auto& [machine, state] : context_.probes.states()) {
        if (state.next_probe <= now) due.emplace_back(state.next_probe, machine);
    }
    // Half of the sockets are left to commands.
    const std::size_t sockets = std::max(kMinConcurrentProbes, context_.worker_http.max_connections() / 2);
    const std::size_t most = std::clamp(context_.workers.cluster_view().machines().size() / kFleetPartProbed,
                                        kMinConcurrentProbes, sockets);
    const std::size_t number = std::min(due.size(), most - std::min(most, probes_in_flight_));
    std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(number), due.end());
    std::vector<std::string> machines;
    machines.reserve(number);
    for (std::size_t i = 0; i < number; ++i) machines.push_back(std::move(due[i].second));
    return machines;
}

Task<void> ReachabilityMonitor::probe_unconfirmed_workers() {
    while (true) {
        co_await context_.loop.sleep(kProbeCheckInterval);
        if (!context_.replicated.is_loaded()) continue;
        const Micros now = steady_now();
        std::erase_if(context_.probes.states(), [&](const auto& state) {
            return context_.workers.cluster_view().find(state.first) == nullptr;
        });
        for (const auto& machine : due_probes(now)) {
            ProbeState& state = context_.probes.states()[machine];
            state.next_probe = now + kProbeUnderWay;
            state.last_probe = now;
            ++probes_in_flight_;
            context_.scope.spawn(probe(machine));
        }
    }
}

std::vector<io::Address> ReachabilityMonitor::recently_heard(Micros within) const {
    std::vector<io::Address> addresses;
    for (const auto& [machine, view] : context_.workers.cluster_view().machines()) {
        if (steady_now() - view.last_heartbeat_at > within) continue;
        if (const auto address = io::parse_address(view.last_heartbeat.address))
            addresses.push_back(*address);
    }
    return addresses;
}

Task<bool> ReachabilityMonitor::reaches_any(std::vector<io::Address> addresses) {
    for (std::size_t i = 0; i < kConnectivityTries; ++i) {
        const io::Address address = addresses[next_turn_++ % addresses.size()];
        auto asking = context_.worker_http.send(address, "GET", "/status", "",
                                                steady_now() + kConnectivityTimeout, kMaxWorkerStatusBytes);
        const io::HttpResult reply = co_await std::move(asking);
        if (!reply.has_status(io::http_status::kOk)) continue;
        context_.workers.handle_response_body(reply->body);
        co_return true;
    }
    co_return false;
}

Task<void> ReachabilityMonitor::monitor_worker_connectivity() {
    // Heartbeats may all go to other controllers, so silence alone is no sign: this one asks some workers.
    const Micros quiet =
        core::from_seconds(context_.settings.report_s * kQuietHeartbeats) + kConnectivityGrace;
    while (true) {
        co_await context_.loop.sleep(kConnectivityCheckInterval);
        if (steady_now() - context_.health.last_worker_contact < quiet) {
            context_.health.healthy = true;
            continue;
        }
        auto others = recently_heard(quiet);
        if (others.size() < 2) continue;
        auto trying = reaches_any(std::move(others));
        const bool reached = co_await std::move(trying);
        if (reached != context_.health.healthy) spdlog::warn("event=worker_connectivity ok={}", reached);
        context_.health.healthy = reached;
    }
}

}  // namespace hatchwind::controller
