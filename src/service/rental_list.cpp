#include "service/rental_list.hpp"

#include <utility>

namespace hatchwind::service {

using core::from_seconds;
using core::RentalState;
using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr Micros kBootTimeUnknown{30'000'000};
}  // namespace

Task<RentalList::Reading> RentalList::read() {
    std::string after;
    Reading reading;
    while (true) {
        std::string target = "/rentals?most=500";
        if (!after.empty()) target += "&after=" + after;
        auto task = cloud_.call("GET", std::move(target), "");
        const io::HttpReply reply = co_await std::move(task);
        const auto body = reply.status == 200 ? wire::decode(reply.body) : std::nullopt;
        const auto page = body ? wire::parse_rentals(*body) : std::nullopt;
        if (!page) {
            if (reply.status == 200) cloud_.note_malformed("list");
            co_return reading;
        }
        for (const auto& rental : page->rentals) reading.rentals.emplace(rental.machine, rental);
        if (!page->more || page->rentals.empty()) break;
        after = page->rentals.back().machine;
    }
    reading.whole = true;
    co_return reading;
}

void RentalList::take(const Listed& listed) {
    const Micros now = steady_now();
    for (const auto& [machine, rental] : listed) {
        if (node_.cluster_view.released(machine)) continue;
        KnownRental& known = known_[machine];
        if (known.rented.count() == 0)
            known.rented = now - from_seconds(rental.age_s + node_.settings.list_lag_s);
        known.rental = rental;
        known.seen = now;
        known.listed = true;
    }
    std::erase_if(known_, [&](const auto& known) { return is_gone(known.first, known.second, listed, now); });
}

// A list may be older than the one before, but once it has shown a machine it shows it until it is gone. A
// new one of ours is missing from it for a while.
bool RentalList::is_gone(const std::string& machine, const KnownRental& known, const Listed& listed,
                         Micros now) const {
    if (node_.cluster_view.released(machine)) return true;
    if (listed.contains(machine)) return false;
    const double lag_s = node_.settings.list_lag_s;
    if (known.listed) return now - known.seen > from_seconds(lag_s * 2 + 2);
    return now - known.rented > from_seconds(lag_s * 4 + 10);
}

void RentalList::add_rented(const std::string& machine, const core::Pool& pool) {
    KnownRental& known = known_[machine];
    known.rented = steady_now();
    known.rental.machine = machine;
    known.rental.type = pool.type;
    known.rental.zone = pool.zone;
    known.rental.spot = pool.spot;
}

std::optional<core::Pool> RentalList::remove(const std::string& machine) {
    const auto known = known_.find(machine);
    if (known == known_.end()) return std::nullopt;
    const core::Rental& rental = known->second.rental;
    const core::Pool pool{rental.type, rental.zone, rental.spot};
    known_.erase(known);
    return pool;
}

Micros RentalList::boot_time(const KnownRental& known) const {
    const auto type = node_.catalog->find(known.rental.type);
    return type == node_.catalog->end() ? kBootTimeUnknown : type->second.boot;
}

bool RentalList::overdue(const KnownRental& known, Micros now) const {
    return now - known.rented > boot_time(known) * 3 + from_seconds(node_.settings.report_s + 5);
}

bool RentalList::never_came_up(const KnownRental& known, Micros now) const {
    return now - known.rented > boot_time(known) * 5 + from_seconds(20);
}

std::vector<core::Rental> RentalList::booting(Micros now) const {
    std::vector<core::Rental> booting;
    for (const auto& [machine, known] : known_) {
        if (node_.cluster_view.find(machine) != nullptr || known.rental.state == RentalState::failed)
            continue;
        if (!overdue(known, now)) booting.push_back(known.rental);
    }
    return booting;
}

std::vector<std::string> RentalList::failed(Micros now, bool long_term) const {
    std::vector<std::string> failed;
    for (const auto& [machine, known] : known_) {
        const bool in_view = node_.cluster_view.find(machine) != nullptr;
        const bool absent = !in_view && long_term && never_came_up(known, now);
        if (known.rental.state == RentalState::failed || absent) failed.push_back(machine);
    }
    return failed;
}

}  // namespace hatchwind::service
