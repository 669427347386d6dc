#include "scaling/scaling_controller.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "wire/cloud_api.hpp"

namespace hatchwind::controller {

using core::from_seconds;
using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr Micros kCatalogRetryInterval{500'000};
// Types rarely change. Prices change slowly and only matter to the leader.
constexpr Micros kCatalogIntervalLeading{60'000'000};
constexpr Micros kCatalogInterval{600'000'000};

constexpr Micros kNotLeadingInterval{300'000};
constexpr Micros kListInterval{1'500'000};
constexpr Micros kListIntervalPerPage{500'000};

// A term that is older than this ends with its epoch, even if the same controller leads in the next one.
constexpr Micros kLongestTermOverEpochs{3'600'000'000};

constexpr Micros kScaleOutInterval{1'000'000};
constexpr Micros kLeastScaleOutPause{250'000};
// Limits planning to a twentieth of the controller's time; booting machines takes much longer anyway.
constexpr int kScaleOutPauseInPlans = 20;

constexpr Micros kScaleInInterval{500'000};

// A machine has ended if it was missing from the cloud's list for this multiple of the lag, plus a margin.
constexpr double kLagsUntilVanished = 2;
constexpr double kVanishedMarginSeconds = 5;
}  // namespace

ScalingController::ScalingController(const ScalingContext& context)
    : context_(context),
      cloud_(context.loop, context.settings, context.cloud_http),
      inventory_(context.settings, context.catalog, context.workers, cloud_),
      scale_out_({context.settings, context.tunables, context.catalog, context.replicated, context.leadership,
                  context.workers, context.free_capacity_cache, cloud_, inventory_}),
      cordons_(context.settings, context.replicated, context.workers, context.store, context.replica),
      evictions_({context.settings, context.tunables, context.catalog, context.replicated, context.workers,
                  context.free_capacity_cache, context.signals, cordons_}),
      scale_in_({context.settings, context.tunables, context.store, context.replicated, context.leadership,
                 context.workers, context.probes, context.health, inventory_, cordons_}) {}

void ScalingController::start(io::Scope& scope) {
    scope.spawn(run_catalog_refresh());
    scope.spawn(run_inventory_refresh());
    scope.spawn(run_scale_out());
    scope.spawn(run_drains());
    scope.spawn(run_scale_in());
}

Task<void> ScalingController::run_catalog_refresh() {
    while (true) {
        auto refreshing = refresh_catalog();
        co_await std::move(refreshing);
        const Micros interval =
            context_.leadership.is_cluster_leader() ? kCatalogIntervalLeading : kCatalogInterval;
        // Without a first answer nothing can be decided, on any controller: submissions need the types too.
        co_await context_.loop.sleep(context_.catalog ? interval : kCatalogRetryInterval);
    }
}

Task<void> ScalingController::refresh_catalog() {
    auto call = cloud_.call("GET", "/catalog", "");
    const io::HttpResult reply = co_await std::move(call);
    auto catalog = cloud_.decode(reply, "catalog", wire::parse_catalog);
    if (!catalog) co_return;
    if (catalog->empty()) {
        cloud_.record_malformed_reply("catalog");
        co_return;
    }
    context_.catalog = std::move(catalog);
    context_.signals.scheduling_needed.notify_all();
    context_.signals.scaling_needed.notify_all();
}

void ScalingController::start_term() {
    inventory_.clear();
    evictions_.start_term();
    term_.started_at = steady_now();
}

void ScalingController::record_epoch() {
    const std::uint64_t epoch = context_.replicated.epoch().number;
    if (term_.last_led_epoch == epoch) return;
    term_.last_led_epoch = epoch;
    const Micros monotonic_now = steady_now();
    if (term_.length(monotonic_now) > kLongestTermOverEpochs) term_.started_at = monotonic_now;
}

Task<void> ScalingController::run_inventory_refresh() {
    bool was_leading = false;
    while (true) {
        if (!context_.leadership.is_cluster_leader()) {
            was_leading = false;
            term_.inventory_read = false;
            co_await context_.loop.sleep(kNotLeadingInterval);
            continue;
        }
        if (!was_leading) {
            was_leading = true;
            start_term();
        }
        record_epoch();
        auto refreshing = refresh_inventory();
        const std::size_t listed = co_await std::move(refreshing);
        // Reading a long list takes several calls.
        const auto pages = static_cast<Micros::rep>(1 + listed / InstanceInventory::kPageSize);
        co_await context_.loop.sleep(kListInterval + kListIntervalPerPage * pages);
    }
}

Task<std::size_t> ScalingController::refresh_inventory() {
    auto fetching = inventory_.fetch();
    const InstanceInventory::Listing listing = co_await std::move(fetching);
    if (!listing.complete) co_return listing.instances.size();
    inventory_.apply(listing.instances);
    // The cloud ignores names it does not know, and its answer makes their end certain.
    auto releasing = release_in_batches(vanished_machines());
    co_await std::move(releasing);
    term_.inventory_read = true;
    context_.signals.scaling_needed.notify_all();
    co_return listing.instances.size();
}

// Spot instances that the cloud took: listed before, not listed now, and without a heartbeat.
std::vector<std::string> ScalingController::vanished_machines() const {
    const Micros monotonic_now = steady_now();
    const Micros vanished_after =
        from_seconds(context_.settings.list_lag_s * kLagsUntilVanished + kVanishedMarginSeconds);
    std::vector<std::string> vanished;
    if (term_.length(monotonic_now) <= vanished_after) return vanished;
    for (const auto& [machine, view] : context_.workers.cluster_view().machines()) {
        const bool silent = monotonic_now - view.last_heartbeat_at > vanished_after;
        if (silent && !inventory_.contains(machine)) vanished.push_back(machine);
    }
    return vanished;
}

Task<void> ScalingController::run_scale_out() {
    while (true) {
        co_await context_.signals.scaling_needed.wait(steady_now() + kScaleOutInterval);
        const Micros pause =
            std::max(kLeastScaleOutPause, kScaleOutPauseInPlans * scale_out_.last_plan_duration());
        co_await context_.loop.sleep(pause);
        // Without a list of this term, what an earlier leader requested would be requested again.
        const bool may_request =
            context_.leadership.is_cluster_leader() && context_.catalog && term_.inventory_read;
        if (!may_request) continue;
        auto round = scale_out_.run_round();
        co_await std::move(round);
    }
}

Task<void> ScalingController::run_drains() {
    while (true) {
        co_await context_.loop.sleep(context_.tunables.drain_loop);
        const bool may_drain = context_.leadership.is_cluster_leader() && context_.catalog &&
                               context_.store.reachable(steady_now());
        if (!may_drain) {
            evictions_.pause();
            continue;
        }
        auto round = evictions_.run_round();
        co_await std::move(round);
    }
}

Task<void> ScalingController::run_scale_in() {
    while (true) {
        co_await context_.loop.sleep(kScaleInInterval);
        if (!context_.leadership.is_cluster_leader() || !context_.catalog) {
            scale_in_.pause();
            continue;
        }
        auto round = scale_in_once();
        co_await std::move(round);
    }
}

Task<void> ScalingController::scale_in_once() {
    const Micros monotonic_now = steady_now();
    std::vector<std::string> due = scale_in_.machines_to_release(monotonic_now, term_);
    auto releasing = release(std::move(due));
    co_await std::move(releasing);
    auto removing = scale_in_.remove_stale_cordons(monotonic_now, term_);
    co_await std::move(removing);
}

// Half a second's worth of the cloud's calls at the most: what is left shows again with the next list.
Task<void> ScalingController::release_in_batches(std::vector<std::string> machines) {
    const auto most_calls =
        std::max<std::size_t>(1, static_cast<std::size_t>(context_.settings.cloud_rps / 2));
    for (std::size_t call = 0; call < most_calls && !machines.empty(); ++call) {
        const std::size_t batch_size = std::min(machines.size(), CloudClient::kMostReleasedPerRequest);
        const auto batch_begin = machines.end() - static_cast<std::ptrdiff_t>(batch_size);
        std::vector<std::string> batch(batch_begin, machines.end());
        machines.erase(batch_begin, machines.end());
        auto releasing = release(std::move(batch));
        const bool released = co_await std::move(releasing);
        if (!released) co_return;
    }
}

Task<bool> ScalingController::release(std::vector<std::string> machines) {
    if (machines.empty()) co_return true;
    auto call = cloud_.call("POST", "/rentals/release", wire::encode(wire::release_request(machines)));
    const io::HttpResult reply = co_await std::move(call);
    if (!reply.has_status(io::http_status::kOk)) co_return false;
    for (const auto& machine : machines) {
        spdlog::info("event=machine_released machine={}", machine);
        context_.workers.record_released(machine);
        const auto pool = inventory_.remove(machine);
        if (pool) scale_out_.record_released(*pool);
    }
    co_return true;
}

}  // namespace hatchwind::controller
