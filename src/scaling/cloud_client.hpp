/// Calls to the cloud's API, within its rate limit. Owns the budget of calls; the instances themselves are
/// the inventory's business.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "config/settings.hpp"
#include "io/http_client.hpp"
#include "io/http_status.hpp"
#include "io/loop.hpp"
#include "store/token_bucket.hpp"
#include "wire/cbor.hpp"
#include "wire/decoded.hpp"

namespace hatchwind::controller {

/// Reads the settings; changes nothing but its own budget and counters.
class CloudClient {
  public:
    /// Machines that one request to release may name.
    static constexpr std::size_t kMostReleasedPerRequest = 100;

    CloudClient(io::Loop& loop, const Settings& settings, io::HttpClient& http);

    /// Waits for the budget, then for the reply. Without one in time, the call may have been
    /// executed all the same.
    io::Task<io::HttpResult> call(std::string method, std::string target, std::string body);
    /// The reply's body; nothing for a reply without one, and for a body that can't be read, which is logged
    /// under the name of the call.
    template <class T>
    std::optional<T> decode(const io::HttpResult& reply, const char* call_name,
                            wire::Decoded<T> (*parse)(const wire::Json&)) {
        if (!reply.has_status(io::http_status::kOk)) return std::nullopt;
        const std::optional<wire::Json> body = wire::decode(reply->body);
        std::optional<T> message = body ? parse(*body).optional() : std::nullopt;
        if (!message) record_malformed_reply(call_name);
        return message;
    }
    /// Logs a reply that can be read but can't be meant.
    void record_malformed_reply(const char* call_name);

  private:
    io::Loop& loop_;
    const Settings& settings_;
    io::HttpClient& http_;
    TokenBucket budget_;
    std::uint64_t malformed_replies_ = 0;
};

}  // namespace hatchwind::controller
