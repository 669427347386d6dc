#include "scaling/scaling_controller.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "io/http_status.hpp"
#include "wire/cloud_api.hpp"

namespace hatchwind::controller {

using core::from_seconds;
using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr Micros kCatalogRetry{500'000};
constexpr Micros kCatalogIntervalLeading{60'000'000};
constexpr Micros kCatalogInterval{600'000'000};
constexpr Micros kNotLeadingPause{300'000};
constexpr Micros kListInterval{1'500'000};
constexpr Micros kListPageTime{500'000};
constexpr std::size_t kListPage = 500;
constexpr std::size_t kMostReleased = 100;
constexpr Micros kLongSinceLed{3'600'000'000};
constexpr Micros kRentInterval{1'000'000};
constexpr Micros kRentPause{250'000};
constexpr int kRentPauseInPlans = 20;
constexpr Micros kGiveBackInterval{500'000};
}  // namespace

ScalingController::ScalingController(const ScalingContext& context)
    : context_(context),
      cloud_(context.loop, context.settings, context.cloud_http),
      inventory_(context.settings, context.catalog, context.workers, cloud_),
      scale_out_(context.settings, context.tunables, context.catalog, context.replicated, context.leadership,
                 context.workers, context.free_capacity_cache, cloud_, inventory_),
      cordons_(context.settings, context.replicated, context.workers, context.store, context.replica),
      evictions_(context.settings, context.tunables, context.catalog, context.replicated, context.workers,
                 context.free_capacity_cache, context.signals, cordons_),
      scale_in_(context.settings, context.tunables, context.store, context.replicated, context.leadership,
                context.workers, context.probes, context.health, inventory_, cordons_) {}

Task<void> ScalingController::keep_catalog() {
    while (true) {
        auto task = read_catalog();
        co_await std::move(task);
        // Types hardly change and prices move slowly; without a first answer nothing can be decided.
        const Micros interval =
            context_.leadership.is_cluster_leader() ? kCatalogIntervalLeading : kCatalogInterval;
        co_await context_.loop.sleep(context_.catalog ? interval : kCatalogRetry);
    }
}

Task<void> ScalingController::read_catalog() {
    auto task = cloud_.call("GET", "/catalog", "");
    const io::HttpResult reply = co_await std::move(task);
    if (!reply.has_status(io::http_status::kOk)) co_return;
    const auto body = wire::decode(reply->body);
    auto catalog = body ? wire::parse_catalog(*body).optional() : std::nullopt;
    if (!catalog || catalog->empty()) {
        cloud_.record_malformed("catalog");
        co_return;
    }
    context_.catalog = std::move(catalog);
    context_.signals.scheduling_needed.notify_all();
    context_.signals.scaling_needed.notify_all();
}

void ScalingController::start_term() {
    inventory_.clear();
    evictions_.start_term();
    term_began_ = steady_now();
}

void ScalingController::record_epoch() {
    if (epoch_ == context_.replicated.epoch().number) return;
    if (epoch_ == 0 || steady_now() - term_began_ > kLongSinceLed) term_began_ = steady_now();
    epoch_ = context_.replicated.epoch().number;
}

Task<void> ScalingController::keep_list() {
    bool led = false;
    while (true) {
        if (!context_.leadership.is_cluster_leader()) {
            led = false;
            list_fresh_ = false;
            co_await context_.loop.sleep(kNotLeadingPause);
            continue;
        }
        if (!led) {
            led = true;
            start_term();
        }
        record_epoch();
        auto task = read_list();
        const std::size_t listed = co_await std::move(task);
        // A long list takes several calls, and its reading a while.
        const auto pages = static_cast<Micros::rep>(1 + listed / kListPage);
        co_await context_.loop.sleep(kListInterval + kListPageTime * pages);
    }
}

Task<std::size_t> ScalingController::read_list() {
    auto task = inventory_.read();
    const InstanceInventory::Reading reading = co_await std::move(task);
    if (!reading.whole) co_return reading.instances.size();
    inventory_.take(reading.instances);
    // The cloud ignores names it does not know, and its answer makes their end certain.
    auto releasing = release_in_batches(vanished_machines());
    co_await std::move(releasing);
    list_fresh_ = true;
    context_.signals.scaling_needed.notify_all();
    co_return reading.instances.size();
}

// Spot machines that the cloud took: shown before, not shown now, and silent.
std::vector<std::string> ScalingController::vanished_machines() const {
    const Micros now = steady_now();
    const Micros settled = from_seconds(context_.settings.list_lag_s * 2 + 5);
    std::vector<std::string> vanished;
    if (now - term_began_ <= settled) return vanished;
    for (const auto& [machine, view] : context_.workers.cluster_view().machines()) {
        if (!inventory_.contains(machine) && now - view.last_heartbeat_at > settled)
            vanished.push_back(machine);
    }
    return vanished;
}

Task<void> ScalingController::scale_out() {
    while (true) {
        co_await context_.signals.scaling_needed.wait(steady_now() + kRentInterval);
        // Planning is a twentieth of a node's time at the most: machines take much longer to boot.
        co_await context_.loop.sleep(std::max(kRentPause, kRentPauseInPlans * scale_out_.last_plan()));
        // Without a list of this term, what an earlier leader rented would be rented again.
        if (!context_.leadership.is_cluster_leader() || !context_.catalog || !list_fresh_) continue;
        auto round = scale_out_.round();
        co_await std::move(round);
    }
}

// Half a second of the cloud's calls at the most: what is left shows again with the next list.
Task<void> ScalingController::release_in_batches(std::vector<std::string> machines) {
    const auto most_calls =
        std::max<std::size_t>(1, static_cast<std::size_t>(context_.settings.cloud_rps / 2));
    for (std::size_t call = 0; call < most_calls && !machines.empty(); ++call) {
        const std::size_t left = machines.size() - std::min(machines.size(), kMostReleased);
        std::vector<std::string> batch(machines.begin() + static_cast<std::ptrdiff_t>(left), machines.end());
        machines.resize(left);
        auto releasing = release(std::move(batch));
        const bool released = co_await std::move(releasing);
        if (!released) co_return;
    }
}

Task<bool> ScalingController::release(std::vector<std::string> machines) {
    if (machines.empty()) co_return true;
    auto task = cloud_.call("POST", "/rentals/release", wire::encode(wire::release_request(machines)));
    const io::HttpResult reply = co_await std::move(task);
    if (!reply.has_status(io::http_status::kOk)) co_return false;
    for (const auto& machine : machines) {
        spdlog::info("event=machine_released machine={}", machine);
        context_.workers.record_released(machine);
        const auto pool = inventory_.remove(machine);
        if (pool) scale_out_.pool_freed(*pool);
    }
    co_return true;
}

Task<void> ScalingController::drain() {
    while (true) {
        co_await context_.loop.sleep(context_.tunables.drain_loop);
        if (!context_.leadership.is_cluster_leader() || !context_.catalog ||
            !context_.store.reachable(steady_now())) {
            evictions_.pause();
            continue;
        }
        auto round = evictions_.round();
        co_await std::move(round);
    }
}

Task<void> ScalingController::scale_in() {
    while (true) {
        co_await context_.loop.sleep(kGiveBackInterval);
        if (!context_.leadership.is_cluster_leader() || !context_.catalog) {
            scale_in_.pause();
            continue;
        }
        const Micros now = steady_now();
        std::vector<std::string> due = scale_in_.due(now, term_began_);
        if (!due.empty()) {
            auto released = release(std::move(due));
            co_await std::move(released);
        }
        auto cleared = scale_in_.clear_marks(now, term_began_, list_fresh_);
        co_await std::move(cleared);
    }
}

}  // namespace hatchwind::controller
