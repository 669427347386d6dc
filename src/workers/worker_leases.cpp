#include "workers/worker_leases.hpp"

#include <algorithm>

#include "io/loop.hpp"

namespace hatchwind::controller {

using core::Micros;

namespace {
// Bounds on the drift and the skew between a worker's clock and this controller's clock.
constexpr double kLeaseMarginSeconds = 1.0;
constexpr double kDriftShare = 0.002;           // of the lease's duration
constexpr double kSkewSecondsPerMilli = 0.004;  // four times the skew
}  // namespace

void WorkerLeases::renew(const std::string& machine, Micros wall_clock_now, Micros monotonic_now) {
    own_renewals_[machine] = wall_clock_now;
    assigned_workers_[machine] = monotonic_now;
    record_renewal(machine, wall_clock_now);
}

void WorkerLeases::record_renewal(const std::string& machine, Micros renewed_at) {
    Micros& known = known_renewals_[machine];
    known = std::max(known, renewed_at);
}

void WorkerLeases::record_incarnation(const std::string& machine, std::uint64_t incarnation) {
    KnownIncarnation& known = incarnations_[machine];
    if (known.known_since.count() != 0 && incarnation <= known.incarnation) return;
    known = {incarnation, io::wall_now()};
}

void WorkerLeases::forget(const std::string& machine) {
    own_renewals_.erase(machine);
    known_renewals_.erase(machine);
    assigned_workers_.erase(machine);
    incarnations_.erase(machine);
}

std::size_t WorkerLeases::assigned_count() {
    constexpr double kIntervals = 1.5;
    constexpr double kGraceSeconds = 2;
    const Micros answered_since =
        io::steady_now() - core::from_seconds(settings_.report_s * kIntervals + kGraceSeconds);
    std::erase_if(assigned_workers_, [&](const auto& worker) { return worker.second < answered_since; });
    return assigned_workers_.size();
}

// The lease counts from the latest time at which any controller may have answered the worker: this controller
// and its peers according to their renewals, former members at the latest when the epoch that removed them
// was written.
Micros WorkerLeases::latest_expiry(const std::string& machine) const {
    const Micros removed_at = replicated_.epoch().removed_at;
    Micros latest_renewal = std::max(removed_at, replicated_.loaded_at());
    if (const auto renewal = known_renewals_.find(machine); renewal != known_renewals_.end())
        latest_renewal = std::max(renewal->second, removed_at);
    // An incarnation begins with a lease that no controller granted, and this controller may learn of it from
    // the answer to a command. If the lease counted only from the last answered heartbeat, tasks of a worker
    // whose heartbeats reach no controller would be started a second time while they run (IncarnationLease
    // tests).
    latest_renewal = std::max(latest_renewal, incarnations_.at(machine).known_since);
    const double margin_s =
        kLeaseMarginSeconds + settings_.lease_s * kDriftShare + settings_.skew_ms * kSkewSecondsPerMilli;
    return latest_renewal + core::from_seconds(settings_.lease_s + margin_s);
}

bool WorkerLeases::peers_reported_until(Micros expiry) const {
    const auto& members = replicated_.epoch().members;
    return std::all_of(members.begin(), members.end(), [&](const core::Member& member) {
        if (member.label == leadership_.label()) return true;
        const wire::PeerHeartbeat* heartbeat = peers_.heartbeat_of(member);
        return heartbeat != nullptr && heartbeat->wall_us >= expiry.count();
    });
}

bool WorkerLeases::is_expired(const std::string& machine, std::uint64_t incarnation, Micros wall_clock_now) {
    record_incarnation(machine, incarnation);
    const Micros expiry = latest_expiry(machine);
    return wall_clock_now >= expiry && peers_reported_until(expiry);
}

}  // namespace hatchwind::controller
