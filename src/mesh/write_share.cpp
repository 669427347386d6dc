#include "mesh/write_share.hpp"

#include <algorithm>
#include <numeric>

#include "core/fair_share.hpp"
#include "io/loop.hpp"

namespace hatchwind::controller {

using io::steady_now;

namespace {
// Demands are means over seconds; what a controller wants comes in bursts.
constexpr double kDemandHeadroom = 1.2;
constexpr double kIdleWrites = 0.5;  // a second, for what a controller without demand may have to write next
constexpr double kLeastDemand = 0.1;
constexpr double kEvenShare = 0.1;
}  // namespace

bool WriteShare::everyone_shares_fairly() const {
    const auto& members = replicated_.epoch().members;
    return std::all_of(members.begin(), members.end(), [&](const core::Member& member) {
        if (member.label == leadership_.label()) return true;
        const wire::PeerHeartbeat* heartbeat = peers_.heartbeat_of(member);
        return heartbeat != nullptr && (heartbeat->capabilities & core::kSupportsFairWriteShare) != 0;
    });
}

std::vector<double> WriteShare::demands() const {
    std::vector<double> demands{store_.demand()};
    for (const auto& member : replicated_.epoch().members) {
        if (member.label == leadership_.label() || !peers_.is_fresh(member.label, steady_now())) continue;
        const wire::PeerHeartbeat& heartbeat = peers_.find(member.label)->heartbeat;
        demands.push_back(static_cast<double>(heartbeat.demand) / kDemandUnitsPerWrite);
    }
    return demands;
}

void WriteShare::update() {
    std::vector<double> wanted = demands();
    const std::size_t controllers = std::max<std::size_t>(replicated_.epoch().members.size(), 1);
    if (everyone_shares_fairly()) {
        for (double& demand : wanted) demand = demand * kDemandHeadroom + kIdleWrites;
        const double capacity = store_.write_capacity();
        store_.set_budgets(controllers, core::max_min_share(wanted, 0, capacity) / capacity);
        return;
    }
    // As the earlier version does, so that the shares of all add up to the limit.
    for (double& demand : wanted) demand += kLeastDemand;
    const double sum = std::accumulate(wanted.begin(), wanted.end(), 0.0);
    const double even = kEvenShare / static_cast<double>(controllers);
    store_.set_budgets(controllers, even + (1 - kEvenShare) * wanted.front() / sum);
}

}  // namespace hatchwind::controller
