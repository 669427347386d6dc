#include "scaling/cloud_client.hpp"

#include <spdlog/spdlog.h>

#include <utility>

namespace hatchwind::controller {

using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr Micros kReplyTimeout{3'000'000};
// The part of the cloud's limit that is used, so that it never refuses a call for it.
constexpr double kUsedPartOfRateLimit = 0.9;
}  // namespace

CloudClient::CloudClient(io::Loop& loop, const Settings& settings, io::HttpClient& http)
    : loop_(loop),
      settings_(settings),
      http_(http),
      budget_(settings.cloud_rps * kUsedPartOfRateLimit, settings.cloud_rps) {}

Task<io::HttpResult> CloudClient::call(std::string method, std::string target, std::string body) {
    while (true) {
        const Micros wait = budget_.wait(1, steady_now());
        if (wait.count() == 0) break;
        co_await loop_.sleep(wait);
    }
    budget_.spend(1, steady_now());
    auto sending = http_.send(settings_.cloud, std::move(method), std::move(target), std::move(body),
                              steady_now() + kReplyTimeout);
    io::HttpResult reply = co_await std::move(sending);
    co_return reply;
}

void CloudClient::record_malformed_reply(const char* call_name) {
    ++malformed_replies_;
    spdlog::warn("event=malformed_response from=cloud call={} count={}", call_name, malformed_replies_);
}

}  // namespace hatchwind::controller
