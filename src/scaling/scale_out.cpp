#include "scaling/scale_out.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "wire/cloud_api.hpp"

namespace hatchwind::controller {

using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr std::uint32_t kMostInstancesPerRequest = 50;
constexpr int kRequestAttempts = 3;
constexpr Micros kLongestPlanCounted{100'000};
}  // namespace

core::ScaleOutInput ScaleOut::scale_out_input(Micros monotonic_now) const {
    core::ScaleOutInput input;
    input.job_table = &context_.replicated.job_table();
    input.cluster_view = &context_.workers.cluster_view();
    input.catalog = &*context_.catalog;
    input.teams = &context_.settings.teams;
    input.objectives = &context_.settings.objectives;
    input.monotonic_now = monotonic_now;
    input.wall_clock_now = io::wall_now();
    input.refused_until = backoff_.refused_until();
    input.booting = context_.inventory.booting(monotonic_now);
    return input;
}

// A large fleet grows by a share of its size in each round: as much as can be requested within some seconds.
core::ScaleOutSettings ScaleOut::scale_out_settings() const {
    const auto fleet_size = static_cast<double>(context_.workers.cluster_view().machines().size());
    const auto share = static_cast<std::size_t>(fleet_size * context_.tunables.rent_share);
    core::ScaleOutSettings settings = context_.tunables.fleet;
    settings.max_instances_per_round = std::max(settings.max_instances_per_round, share);
    return settings;
}

Task<void> ScaleOut::run_round() {
    const Micros started_at = steady_now();
    core::ScaleOutInput input = scale_out_input(started_at);
    const core::JobTable& job_table = context_.replicated.job_table();
    const auto pipelines =
        core::PipelineSchedule::build(job_table, context_.settings.objectives, input.wall_clock_now);
    input.pipelines = &pipelines;
    core::FreeCapacity capacity =
        core::FreeCapacity::build(context_.workers.cluster_view(), job_table, *context_.catalog,
                                  context_.workers.availability(), &context_.free_capacity_cache);
    const auto wanted_by_pool = core::plan_scale_out(scale_out_settings(), input, std::move(capacity));
    last_plan_duration_ = std::min(steady_now() - started_at, kLongestPlanCounted);
    for (const auto& [pool, wanted] : wanted_by_pool) {
        if (!context_.leadership.is_cluster_leader()) break;
        auto requesting = request_instances(pool, wanted);
        co_await std::move(requesting);
    }
}

// Never used twice, by any incarnation of any controller: the store lease names this incarnation.
std::string ScaleOut::next_request_id() {
    return "hw-" + std::to_string(context_.replicated.epoch().number) + "-" +
           std::to_string(context_.leadership.self().store_lease) + "-" +
           std::to_string(++last_request_number_);
}

Task<void> ScaleOut::request_instances(core::InstancePool pool, std::uint32_t wanted) {
    const std::string request_id = next_request_id();
    const std::uint32_t number = std::min(wanted, kMostInstancesPerRequest);
    const std::string body =
        wire::encode(wire::rent_request(request_id, pool.type, pool.zone, pool.spot, number));
    for (int attempt = 0; attempt < kRequestAttempts; ++attempt) {
        auto call = context_.cloud.call("POST", "/rentals", body);
        const io::HttpResult reply = co_await std::move(call);
        // The id makes the request idempotent, so one without a reply is safely sent again.
        if (!reply) continue;
        apply_reply(pool, wanted, reply);
        co_return;
    }
}

void ScaleOut::apply_reply(const core::InstancePool& pool, std::uint32_t wanted,
                           const io::HttpResult& reply) {
    const auto machines = context_.cloud.decode(reply, "rent", wire::parse_rented);
    if (!machines) {
        backoff_.record_refusal(pool);
        return;
    }
    for (const auto& machine : *machines) context_.inventory.add_requested(machine, pool);
    spdlog::info("event=instances_requested type={} zone={} spot={} wanted={} got={}", pool.type, pool.zone,
                 pool.spot, wanted, machines->size());
    if (machines->size() >= std::min(wanted, kMostInstancesPerRequest)) {
        backoff_.record_success(pool);
    } else {
        backoff_.record_refusal(pool);
    }
}

}  // namespace hatchwind::controller
