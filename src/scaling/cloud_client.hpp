// Calls to the cloud, within its rate limit.
#pragma once

#include <string>

#include "config/settings.hpp"
#include "io/http_client.hpp"
#include "io/loop.hpp"
#include "store/token_bucket.hpp"

namespace hatchwind::controller {

class CloudClient {
  public:
    CloudClient(io::Loop& loop, const Settings& settings, io::HttpClient& http);

    // Waits for the budget, then for the response.
    io::Task<io::HttpResult> call(std::string method, std::string target, std::string body);
    // An answer that can't be read.
    void record_malformed(const char* call);

  private:
    io::Loop& loop_;
    const Settings& settings_;
    io::HttpClient& http_;
    TokenBucket budget_;
    std::uint64_t malformed_ = 0;
};

}  // namespace hatchwind::controller
