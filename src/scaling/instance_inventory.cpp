#include "scaling/instance_inventory.hpp"

#include <utility>

#include "wire/cloud_api.hpp"

namespace hatchwind::controller {

using core::from_seconds;
using core::InstanceState;
using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr Micros kBootTimeOfUnknownType{30'000'000};

// An instance counts as booting for this multiple of its type's boot time, plus a margin.
constexpr int kBootTimesUntilOverdue = 3;
constexpr double kOverdueMarginSeconds = 5;
// An instance without a heartbeat is released after this multiple of the boot time, plus a margin.
constexpr int kBootTimesUntilGivenUp = 5;
constexpr double kGivenUpMarginSeconds = 20;

// For how long an instance may be missing from the cloud's list, as a multiple of the list's lag plus a
// margin: one that was listed before, and one that was requested and has not been listed yet.
constexpr double kLagsWhenListed = 2;
constexpr double kMarginWhenListedSeconds = 2;
constexpr double kLagsWhenRequested = 4;
constexpr double kMarginWhenRequestedSeconds = 10;
}  // namespace

Task<InstanceInventory::Listing> InstanceInventory::fetch() {
    std::string last_machine;
    Listing listing;
    while (true) {
        std::string target = "/rentals?most=" + std::to_string(kPageSize);
        if (!last_machine.empty()) target += "&after=" + last_machine;
        auto call = cloud_.call("GET", std::move(target), "");
        const io::HttpResult reply = co_await std::move(call);
        const auto page = cloud_.decode(reply, "list", wire::parse_instances);
        if (!page) co_return listing;
        for (const auto& instance : page->instances) listing.instances.emplace(instance.machine, instance);
        if (!page->more || page->instances.empty()) break;
        last_machine = page->instances.back().machine;
    }
    listing.complete = true;
    co_return listing;
}

void InstanceInventory::apply(const InstancesByMachine& listed) {
    const Micros monotonic_now = steady_now();
    for (const auto& [machine, instance] : listed) {
        if (workers_.cluster_view().released(machine)) continue;
        KnownInstance& known = known_[machine];
        if (known.requested_at.count() == 0)
            known.requested_at = monotonic_now - from_seconds(instance.age_s + settings_.list_lag_s);
        known.instance = instance;
        known.last_listed_at = monotonic_now;
        known.was_listed = true;
    }
    std::erase_if(
        known_, [&](const auto& entry) { return is_gone(entry.first, entry.second, listed, monotonic_now); });
}

// A list may be older than the previous one. A listed instance stays listed until it ends; one that was just
// requested may be missing at first.
bool InstanceInventory::is_gone(const std::string& machine, const KnownInstance& known,
                                const InstancesByMachine& listed, Micros monotonic_now) const {
    if (workers_.cluster_view().released(machine)) return true;
    if (listed.contains(machine)) return false;
    const double lag_s = settings_.list_lag_s;
    if (known.was_listed) {
        const Micros longest_missing = from_seconds(lag_s * kLagsWhenListed + kMarginWhenListedSeconds);
        return monotonic_now - known.last_listed_at > longest_missing;
    }
    const Micros longest_missing = from_seconds(lag_s * kLagsWhenRequested + kMarginWhenRequestedSeconds);
    return monotonic_now - known.requested_at > longest_missing;
}

void InstanceInventory::add_requested(const std::string& machine, const core::InstancePool& pool) {
    KnownInstance& known = known_[machine];
    known.requested_at = steady_now();
    known.instance.machine = machine;
    known.instance.type = pool.type;
    known.instance.zone = pool.zone;
    known.instance.spot = pool.spot;
}

std::optional<core::InstancePool> InstanceInventory::remove(const std::string& machine) {
    const auto known = known_.find(machine);
    if (known == known_.end()) return std::nullopt;
    const core::Instance& instance = known->second.instance;
    const core::InstancePool pool{instance.type, instance.zone, instance.spot};
    known_.erase(known);
    return pool;
}

Micros InstanceInventory::boot_time(const KnownInstance& known) const {
    const auto type = catalog_->find(known.instance.type);
    return type == catalog_->end() ? kBootTimeOfUnknownType : type->second.boot;
}

bool InstanceInventory::has_sent_heartbeat(const std::string& machine) const {
    return workers_.cluster_view().find(machine) != nullptr;
}

std::vector<core::Instance> InstanceInventory::booting(Micros monotonic_now) const {
    const Micros margin = from_seconds(settings_.report_s + kOverdueMarginSeconds);
    std::vector<core::Instance> booting;
    for (const auto& [machine, known] : known_) {
        if (has_sent_heartbeat(machine) || known.instance.state == InstanceState::failed) continue;
        const Micros overdue_after = boot_time(known) * kBootTimesUntilOverdue + margin;
        if (monotonic_now - known.requested_at <= overdue_after) booting.push_back(known.instance);
    }
    return booting;
}

std::vector<std::string> InstanceInventory::failed() const {
    std::vector<std::string> failed;
    for (const auto& [machine, known] : known_) {
        if (known.instance.state == InstanceState::failed) failed.push_back(machine);
    }
    return failed;
}

std::vector<std::string> InstanceInventory::never_booted(Micros monotonic_now) const {
    const Micros margin = from_seconds(kGivenUpMarginSeconds);
    std::vector<std::string> never_booted;
    for (const auto& [machine, known] : known_) {
        if (has_sent_heartbeat(machine)) continue;
        const Micros given_up_after = boot_time(known) * kBootTimesUntilGivenUp + margin;
        if (monotonic_now - known.requested_at > given_up_after) never_booted.push_back(machine);
    }
    return never_booted;
}

}  // namespace hatchwind::controller
