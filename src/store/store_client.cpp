#include "store/store_client.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/time.hpp"
#include "io/http_responses.hpp"
#include "io/http_status.hpp"

namespace hatchwind::controller {

using io::Micros;
using io::steady_now;
using io::Task;
namespace http_status = io::http_status;

namespace {
constexpr Micros kCallTimeout{2'000'000};
constexpr Micros kWatchGrace{3'000'000};
constexpr Micros kUnreachableAfter{600'000};
constexpr std::size_t kIdleConnections = 6;
constexpr const char* kPageSize = "1000";
constexpr std::size_t kMinWatchBytes = std::size_t{256} << 10U;
constexpr double kWatchMemoryFraction = 1.0 / 128;
constexpr double kBytesPerMegabyte = 1024 * 1024;
constexpr std::size_t kLoggedBodyBytes = 80;

constexpr double kUserWriteFraction = 0.1;  // of the write limit
// Slightly below the limits, because bursts of several controllers may fall into the same second.
constexpr double kRequestLimitFraction = 0.9;
constexpr double kWriteLimitFraction = 0.92;
constexpr double kRequestBurstSeconds = 0.5;
constexpr double kMinRequestBurst = 4;
constexpr double kWriteBurstSeconds = 0.9;
constexpr double kMinWriteBurst = 4;
constexpr double kUserBurstSeconds = 3;
constexpr double kMinUserBurst = 3;
constexpr double kUserOverdraft = 0.7;  // fraction of the burst by which a user's request may overdraw
}  // namespace

StoreClient::StoreClient(io::Loop& loop, const Settings& settings)
    : loop_(loop),
      settings_(settings),
      http_(loop, kIdleConnections),
      requests_(1, 1),
      writes_(1, 1),
      user_writes_(1, 1) {
    const std::size_t controllers = settings.peers.size() + 1;
    set_budgets(controllers, 1.0 / static_cast<double>(controllers));
}

void StoreClient::set_budgets(std::size_t controllers, double write_share) {
    const double controller_count = static_cast<double>(std::max<std::size_t>(controllers, 1));
    requests_.set(settings_.state_rps * kRequestLimitFraction / controller_count,
                  std::max(kMinRequestBurst, settings_.state_rps * kRequestBurstSeconds / controller_count));
    const double rate = write_capacity() * write_share;
    writes_.set(rate, std::max(kMinWriteBurst, rate * kWriteBurstSeconds));
    // Submissions and cancellations have a separate budget. With a shared one, a user's commit that takes
    // milliseconds would wait for seconds behind a scheduler's transaction of dozens of writes.
    const double user_rate = settings_.state_write_rps * kUserWriteFraction / controller_count;
    user_writes_.set(user_rate, std::max(kMinUserBurst, user_rate * kUserBurstSeconds));
}

double StoreClient::write_capacity() const {
    return settings_.state_write_rps * kWriteLimitFraction * (1 - kUserWriteFraction);
}

void StoreClient::record_demand(double writes) {
    const Micros now = steady_now();
    if (demand_updated_at_.count() != 0) {
        const double seconds = core::to_seconds(now - demand_updated_at_);
        demand_ *= std::exp(-seconds / kDemandSpanSeconds);
    }
    demand_updated_at_ = now;
    demand_ = std::min(demand_ + writes, settings_.state_write_rps * kDemandSpanSeconds);
}

double StoreClient::available_writes() { return writes_.available(steady_now()); }

bool StoreClient::reachable(Micros monotonic_now) const {
    return failing_since_.count() == 0 || monotonic_now - failing_since_ < kUnreachableAfter;
}

std::optional<Micros> StoreClient::reserve_budget(const Call& call) {
    const Micros now = steady_now();
    if (call.urgent) {
        requests_.spend(1, now);
        return Micros{0};
    }
    const double overdraft = call.for_user ? kUserOverdraft : 0;
    TokenBucket* bucket = &writes_;
    Micros wait = call.writes > 0 ? writes_.wait(call.writes, now, overdraft) : Micros{0};
    if (const Micros user_wait = user_writes_.wait(call.writes, now); call.for_user && user_wait < wait) {
        bucket = &user_writes_;
        wait = user_wait;
    }
    wait = std::max(wait, requests_.wait(1, now, overdraft));
    if (now + wait >= call.deadline) return std::nullopt;
    requests_.spend(1, now);
    if (call.writes > 0) bucket->spend(call.writes, now);
    return wait;
}

void StoreClient::record_reachability(const io::HttpResult& reply) {
    const bool failed = !reply || reply.has_status(http_status::kServiceUnavailable);
    if (!failed) {
        failing_since_ = Micros{0};
    } else if (failing_since_.count() == 0) {
        failing_since_ = steady_now();
    }
}

Task<io::HttpResult> StoreClient::send(Call call) {
    const auto wait = reserve_budget(call);
    if (!wait) {
        // Rejected by this controller's own budget, without sending the call.
        co_return io::plain_response(http_status::kTooManyRequests);
    }
    if (wait->count() > 0) co_await loop_.sleep(*wait);
    auto sending = http_.send(settings_.state, std::move(call.method), std::move(call.target),
                              std::move(call.body), call.deadline, call.max_response_bytes);
    io::HttpResult reply = co_await std::move(sending);
    record_reachability(reply);
    co_return reply;
}

std::optional<wire::Json> StoreClient::decode(const io::HttpResponse& response, const char* call) {
    auto body = wire::decode_stored(response.body);
    if (!body) {
        ++malformed_responses_;
        spdlog::warn("event=malformed_response from=state call={} count={}", call, malformed_responses_);
    }
    return body;
}

Task<GetResult> StoreClient::get(std::string key, Micros deadline) {
    GetResult result;
    Call call{"GET", "/store/" + key, "", deadline};
    auto sending = send(std::move(call));
    const io::HttpResult reply = co_await std::move(sending);
    if (!reply.has_status(http_status::kOk) && !reply.has_status(http_status::kNotFound)) co_return result;
    const auto body = decode(*reply, "get");
    if (!body) co_return result;
    if (reply.has_status(http_status::kNotFound)) {
        const auto revision = wire::parse_revision(*body);
        if (!revision) co_return result;
        result.answered = true;
        result.revision = *revision;
        co_return result;
    }
    auto item = wire::parse_get_response(std::move(key), *body);
    if (!item) co_return result;
    result.answered = true;
    result.value = std::move(item->value);
    result.mod_revision = item->mod_revision;
    co_return result;
}

Task<std::optional<wire::StorePage>> StoreClient::page(std::string prefix, std::string after) {
    std::string target = "/store?starts=" + prefix;
    if (!after.empty()) target += "&after=" + after;
    target += std::string("&most=") + kPageSize;
    Call call{"GET", std::move(target), "", steady_now() + kCallTimeout};
    auto sending = send(std::move(call));
    const io::HttpResult reply = co_await std::move(sending);
    if (!reply.has_status(http_status::kOk)) co_return std::nullopt;
    const auto body = decode(*reply, "list");
    if (!body) co_return std::nullopt;
    co_return wire::parse_page(*body).optional();
}

Task<CommitResult> StoreClient::commit(wire::Transaction transaction, Micros deadline,
                                       CommitPriority priority) {
    CommitResult result;
    const auto writes = static_cast<double>(transaction.writes.size());
    record_demand(priority.demand.value_or(writes));
    Call call{"POST", "/commit", wire::encode(wire::transaction_request(transaction)), deadline, writes};
    call.for_user = priority.for_user;
    auto sending = send(std::move(call));
    const io::HttpResult reply = co_await std::move(sending);
    if (reply.has_status(http_status::kTooManyRequests) ||
        reply.has_status(http_status::kServiceUnavailable) || reply.never_sent()) {
        result.outcome = CommitOutcome::unavailable;
        co_return result;
    }
    if (reply.has_status(http_status::kBadRequest)) {
        spdlog::warn("event=commit_rejected body={}", reply->body.substr(0, kLoggedBodyBytes));
        result.outcome = CommitOutcome::refused;
        co_return result;
    }
    if (!reply.has_status(http_status::kOk) && !reply.has_status(http_status::kConflict)) co_return result;
    const auto body = decode(*reply, "commit");
    if (!body) co_return result;
    auto response = wire::parse_commit_response(*body);
    if (!response) co_return result;
    result.outcome = reply.has_status(http_status::kOk) ? CommitOutcome::committed : CommitOutcome::conflict;
    result.revision = response->revision;
    if (result.outcome == CommitOutcome::conflict) {
        result.failed = std::move(response->failed_conditions);
        spdlog::debug("event=commit_conflict revision={} failed={} first={}", result.revision,
                      result.failed.size(), result.failed.empty() ? "" : result.failed.front());
    }
    co_return result;
}

Task<std::optional<std::uint64_t>> StoreClient::create_lease(Micros time_to_live) {
    Call call{"POST", "/grants", wire::encode(wire::create_lease_request(time_to_live)),
              steady_now() + kCallTimeout};
    call.urgent = true;
    auto sending = send(std::move(call));
    const io::HttpResult reply = co_await std::move(sending);
    if (!reply.has_status(http_status::kOk)) co_return std::nullopt;
    const auto body = decode(*reply, "create_lease");
    if (!body) co_return std::nullopt;
    co_return wire::parse_lease_response(*body).optional();
}

Task<StoreClient::Renewal> StoreClient::renew_lease(std::uint64_t store_lease, Micros deadline) {
    Call call{"POST", "/grants/" + std::to_string(store_lease) + "/renew", "", deadline};
    call.urgent = true;
    auto sending = send(std::move(call));
    const io::HttpResult reply = co_await std::move(sending);
    if (reply.has_status(http_status::kOk)) co_return Renewal::renewed;
    co_return reply.has_status(http_status::kNotFound) ? Renewal::expired : Renewal::failed;
}

Task<WatchResult> StoreClient::watch(std::string prefix, core::Revision after, Micros block) {
    WatchResult result;
    constexpr std::int64_t kMicrosPerMilli = 1000;
    std::string target = "/watch?starts=" + prefix + "&after=" + std::to_string(after) +
                         "&blockMs=" + std::to_string(block.count() / kMicrosPerMilli);
    // Watches stay open through an outage of the store, so a late answer is not a failure. The deadline ends
    // a watch whose connection is cut by a network partition.
    Call call{"GET", std::move(target), "", steady_now() + block + kWatchGrace};
    call.urgent = true;
    call.max_response_bytes =
        std::max(kMinWatchBytes,
                 static_cast<std::size_t>(settings_.memory_mb * kBytesPerMegabyte * kWatchMemoryFraction));
    auto sending = send(std::move(call));
    const io::HttpResult reply = co_await std::move(sending);
    // The size of an answer has no bound: after a long partition it contains everything written since, many
    // times the size of the store. Without the limit, reading it can exhaust the memory of a small
    // controller. Reloading the store is safe, because it is read in pages.
    if (reply.has_status(http_status::kGone) || reply.has_error(io::HttpError::response_too_large)) {
        result.compacted = true;
        co_return result;
    }
    if (!reply.has_status(http_status::kOk)) co_return result;
    const auto body = decode(*reply, "watch");
    if (!body) co_return result;
    auto page = wire::parse_watch(*body);
    if (!page) co_return result;
    result.answered = true;
    result.page = std::move(*page);
    co_return result;
}

}  // namespace hatchwind::controller
