#include "scaling/instance_inventory.hpp"

#include <utility>

#include "io/http_status.hpp"
#include "wire/cloud_api.hpp"

namespace hatchwind::controller {

using core::from_seconds;
using core::InstanceState;
using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr Micros kBootTimeUnknown{30'000'000};
}  // namespace

Task<InstanceInventory::Reading> InstanceInventory::read() {
    std::string after;
    Reading reading;
    while (true) {
        std::string target = "/rentals?most=500";
        if (!after.empty()) target += "&after=" + after;
        auto task = cloud_.call("GET", std::move(target), "");
        const io::HttpResult reply = co_await std::move(task);
        const auto body = reply.has_status(io::http_status::kOk) ? wire::decode(reply->body) : std::nullopt;
        const auto page = body ? wire::parse_instances(*body).optional() : std::nullopt;
        if (!page) {
            if (reply.has_status(io::http_status::kOk)) cloud_.record_malformed("list");
            co_return reading;
        }
        for (const auto& instance : page->instances) reading.instances.emplace(instance.machine, instance);
        if (!page->more || page->instances.empty()) break;
        after = page->instances.back().machine;
    }
    reading.whole = true;
    co_return reading;
}

void InstanceInventory::take(const Listed& listed) {
    const Micros now = steady_now();
    for (const auto& [machine, instance] : listed) {
        if (workers_.cluster_view().released(machine)) continue;
        KnownInstance& known = known_[machine];
        if (known.rented.count() == 0)
            known.rented = now - from_seconds(instance.age_s + settings_.list_lag_s);
        known.instance = instance;
        known.seen = now;
        known.listed = true;
    }
    std::erase_if(known_, [&](const auto& known) { return is_gone(known.first, known.second, listed, now); });
}

// A list may be older than the one before, but once it has shown a machine it shows it until it is gone. A
// new one of ours is missing from it for a while.
bool InstanceInventory::is_gone(const std::string& machine, const KnownInstance& known, const Listed& listed,
                                Micros now) const {
    if (workers_.cluster_view().released(machine)) return true;
    if (listed.contains(machine)) return false;
    const double lag_s = settings_.list_lag_s;
    if (known.listed) return now - known.seen > from_seconds(lag_s * 2 + 2);
    return now - known.rented > from_seconds(lag_s * 4 + 10);
}

void InstanceInventory::add_requested(const std::string& machine, const core::InstancePool& pool) {
    KnownInstance& known = known_[machine];
    known.rented = steady_now();
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
    return type == catalog_->end() ? kBootTimeUnknown : type->second.boot;
}

bool InstanceInventory::overdue(const KnownInstance& known, Micros now) const {
    return now - known.rented > boot_time(known) * 3 + from_seconds(settings_.report_s + 5);
}

bool InstanceInventory::never_came_up(const KnownInstance& known, Micros now) const {
    return now - known.rented > boot_time(known) * 5 + from_seconds(20);
}

std::vector<core::Instance> InstanceInventory::booting(Micros now) const {
    std::vector<core::Instance> booting;
    for (const auto& [machine, known] : known_) {
        if (workers_.cluster_view().find(machine) != nullptr || known.instance.state == InstanceState::failed)
            continue;
        if (!overdue(known, now)) booting.push_back(known.instance);
    }
    return booting;
}

std::vector<std::string> InstanceInventory::failed(Micros now, bool long_term) const {
    std::vector<std::string> failed;
    for (const auto& [machine, known] : known_) {
        const bool in_view = workers_.cluster_view().find(machine) != nullptr;
        const bool absent = !in_view && long_term && never_came_up(known, now);
        if (known.instance.state == InstanceState::failed || absent) failed.push_back(machine);
    }
    return failed;
}

}  // namespace hatchwind::controller
