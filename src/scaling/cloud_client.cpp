#include "scaling/cloud_client.hpp"

#include <spdlog/spdlog.h>

#include <utility>

namespace hatchwind::controller {

using io::Micros;
using io::steady_now;
using io::Task;

namespace {
constexpr Micros kCallTime{3'000'000};
constexpr double kRateUsed = 0.9;  // of the cloud's limit
}  // namespace

CloudClient::CloudClient(io::Loop& loop, const Settings& settings, io::HttpClient& http)
    : loop_(loop),
      settings_(settings),
      http_(http),
      budget_(settings.cloud_rps * kRateUsed, settings.cloud_rps) {}

Task<io::HttpResult> CloudClient::call(std::string method, std::string target, std::string body) {
    while (true) {
        const Micros wait = budget_.wait(1, steady_now());
        if (wait.count() == 0) break;
        co_await loop_.sleep(wait);
    }
    budget_.spend(1, steady_now());
    auto task = http_.send(settings_.cloud, std::move(method), std::move(target), std::move(body),
                           steady_now() + kCallTime);
    io::HttpResult reply = co_await std::move(task);
    co_return reply;
}

void CloudClient::record_malformed(const char* call) {
    spdlog::warn("event=malformed_response from=cloud call={} count={}", call, ++malformed_);
}

}  // namespace hatchwind::controller
