#include "workers/worker_leases.hpp"

#include <algorithm>

#include "io/loop.hpp"

namespace hatchwind::controller {

using core::Micros;

namespace {
// Worker clocks may drift and be skewed against this controller's by so much.
constexpr double kLeaseMarginSeconds = 1.0;
constexpr double kDriftShare = 0.002;
constexpr double kSkewFactor = 0.004;  // four times the skew, from milliseconds to seconds
}  // namespace

void WorkerLeases::renew(const std::string& machine, Micros wall_clock_now, Micros monotonic_now) {
    own_renewals_[machine] = wall_clock_now;
    assigned_[machine] = monotonic_now;
    record_peer_renewal(machine, wall_clock_now);
}

void WorkerLeases::record_peer_renewal(const std::string& machine, Micros renewed_at) {
    Micros& known = known_renewals_[machine];
    known = std::max(known, renewed_at);
}

void WorkerLeases::record_incarnation(const std::string& machine, std::uint64_t incarnation) {
    IncarnationSighting& known = incarnations_[machine];
    if (known.first_known.count() != 0 && incarnation <= known.incarnation) return;
    known = {incarnation, io::wall_now()};
}

void WorkerLeases::forget(const std::string& machine) {
    own_renewals_.erase(machine);
    known_renewals_.erase(machine);
    assigned_.erase(machine);
    incarnations_.erase(machine);
}

std::size_t WorkerLeases::assigned_count() {
    constexpr double kIntervals = 1.5;
    constexpr double kGraceSeconds = 2;
    const Micros since =
        io::steady_now() - core::from_seconds(settings_.report_s * kIntervals + kGraceSeconds);
    std::erase_if(assigned_, [&](const auto& worker) { return worker.second < since; });
    return assigned_.size();
}

// From the latest moment at which anyone may have answered: this incarnation, what others told, and for
// incarnations that are members no longer, the time at which the epoch that removed them was written.
Micros WorkerLeases::latest_expiry(const std::string& machine) const {
    const Micros removed_at = replicated_.epoch().removed_at;
    Micros last = std::max(removed_at, replicated_.loaded_at());
    if (const auto renewal = known_renewals_.find(machine); renewal != known_renewals_.end())
        last = std::max(renewal->second, removed_at);
    // An incarnation begins with a lease that no controller gave, and it may have been learned from an answer
    // to a direct command: counted from the last answered heartbeat alone, tasks of a worker that reaches
    // nobody were started a second time while they ran (LeaseOfASession tests).
    last = std::max(last, incarnations_.at(machine).first_known);
    const double margin_s =
        kLeaseMarginSeconds + settings_.lease_s * kDriftShare + settings_.skew_ms * kSkewFactor;
    return last + core::from_seconds(settings_.lease_s + margin_s);
}

// Every other member must have said, after the lease's end, that it did not answer later than that.
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
