#include "scaling/scale_out.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "io/http_status.hpp"
#include "wire/cloud_api.hpp"

namespace hatchwind::controller {

using core::from_seconds;
using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr unsigned kMostPerRequest = 50;
constexpr int kRentAttempts = 3;
constexpr Micros kPlanCounted{100'000};  // at the most
constexpr double kBackoffSeconds = 2.5;  // doubled with each refusal
constexpr int kBackoffDoublings = 4;
constexpr double kLeastLongestBackoffSeconds = 10.0;
// All pools together are asked again with a tenth of the cloud's calls.
constexpr double kCallsPerRefusal = 10;
constexpr double kKindsOfMachine = 2;  // spot and ordinary
}  // namespace

core::ScaleOutInput ScaleOut::scale_out_input(Micros now) const {
    core::ScaleOutInput input;
    input.job_table = &replicated_.job_table();
    input.cluster_view = &workers_.cluster_view();
    input.catalog = &*catalog_;
    input.teams = &settings_.teams;
    input.objectives = &settings_.objectives;
    input.now = now;
    input.wall_clock_now = io::wall_now();
    input.refused_until = refused_until_;
    input.booting = inventory_.booting(now);
    return input;
}

core::ScaleOutSettings ScaleOut::scale_out_settings() const {
    core::ScaleOutSettings settings = tunables_.fleet;
    // As many as can be asked for in some seconds.
    const auto fleet = static_cast<double>(workers_.cluster_view().machines().size());
    settings.most_per_round = std::max<std::size_t>(settings.most_per_round,
                                                    static_cast<std::size_t>(fleet * tunables_.rent_share));
    return settings;
}

Task<void> ScaleOut::round() {
    const Micros now = steady_now();
    core::ScaleOutInput input = scale_out_input(now);
    const auto pipelines =
        core::PipelineSchedule::build(replicated_.job_table(), settings_.objectives, input.wall_clock_now);
    input.pipelines = &pipelines;
    const auto wanted = core::plan_scale_out(
        scale_out_settings(), input,
        core::FreeCapacity::build(workers_.cluster_view(), replicated_.job_table(), *catalog_,
                                  workers_.availability(), &free_capacity_cache_));
    last_plan_ = std::min(steady_now() - now, kPlanCounted);
    for (const auto& [pool, number] : wanted) {
        if (!leadership_.is_cluster_leader()) break;
        auto task = rent_from(pool, number);
        co_await std::move(task);
    }
}

// Never used twice, by any life of any node: the store lease names this life.
std::string ScaleOut::next_request() {
    return "hw-" + std::to_string(replicated_.epoch().number) + "-" +
           std::to_string(leadership_.self().store_lease) + "-" + std::to_string(++request_);
}

Task<void> ScaleOut::rent_from(core::InstancePool pool, unsigned number) {
    const std::string request = next_request();
    const auto body = wire::encode(
        wire::rent_request(request, pool.type, pool.zone, pool.spot, std::min(number, kMostPerRequest)));
    for (int attempt = 0; attempt < kRentAttempts; ++attempt) {
        auto task = cloud_.call("POST", "/rentals", body);
        const io::HttpResult reply = co_await std::move(task);
        if (!reply) continue;  // the same name again rents nothing twice
        take_reply(pool, number, reply);
        co_return;
    }
}

void ScaleOut::take_reply(const core::InstancePool& pool, unsigned number, const io::HttpResult& reply) {
    const auto body = reply.has_status(io::http_status::kOk) ? wire::decode(reply->body) : std::nullopt;
    const auto machines = body ? wire::parse_rented(*body).optional() : std::nullopt;
    if (machines) {
        for (const auto& machine : *machines) inventory_.add_requested(machine, pool);
        spdlog::info("event=instances_requested type={} zone={} spot={} wanted={} got={}", pool.type,
                     pool.zone, pool.spot, number, machines->size());
    }
    if (machines && machines->size() >= std::min(number, kMostPerRequest)) {
        refusals_.erase(pool);
        return;
    }
    back_off(pool);
    if (reply.has_status(io::http_status::kOk) && !machines) cloud_.record_malformed("rent");
}

// Nothing left there, or an outage: asked again ever more seldom, but so often that all pools together take a
// tenth of the cloud's calls. After many machines were lost, back-offs of 40 s kept the fleet small for a
// minute.
void ScaleOut::back_off(const core::InstancePool& pool) {
    double pools = 0;
    for (const auto& [name, type] : *catalog_)
        pools += kKindsOfMachine * static_cast<double>(type.zones.size());
    const double longest_s =
        std::max(kLeastLongestBackoffSeconds, kCallsPerRefusal * pools / settings_.cloud_rps);
    const int doublings = std::min(++refusals_[pool], kBackoffDoublings);
    refused_until_[pool] =
        steady_now() + from_seconds(std::min(kBackoffSeconds * (1 << doublings), longest_s));
}

void ScaleOut::pool_freed(const core::InstancePool& pool) {
    refused_until_.erase(pool);
    refusals_.erase(pool);
}

}  // namespace hatchwind::controller
