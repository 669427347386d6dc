/// HTTP/1.1 messages as server and client see them, the errors of a request, and how messages are written.
/// Bodies are CBOR in both directions.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.hpp"
#include "io/http_status.hpp"

namespace hatchwind::io {

struct HttpRequest {
    std::string method;           ///< in upper case
    std::string target;           ///< path and query, as sent
    std::string body;             ///< empty when it is too large
    bool body_too_large = false;  ///< beyond `HttpServerLimits::max_body_bytes`
};

struct HttpResponse {
    int status = http_status::kOk;
    std::string body;
    int retry_after_s = 0;  ///< 0: no such header
};

/// Why a request of `HttpClient` has no response.
enum class HttpError : std::uint8_t {
    pool_exhausted,      ///< all of the client's own sockets were in use until the deadline
    connect_failed,      ///< the connection was refused, or not established by the deadline
    timed_out,           ///< the deadline came before the end of the response
    connection_lost,     ///< the connection ended before the end of the response
    malformed_response,  ///< what came is not HTTP/1.1
    response_too_large,  ///< the body is larger than the caller allowed
};

/// True when the server cannot have seen the request. After any other error it may have carried it out.
constexpr bool was_never_sent(HttpError error) {
    return error == HttpError::pool_exhausted || error == HttpError::connect_failed;
}

/// The response to a request, of any status, or why there is none.
class [[nodiscard]] HttpResult : public base::Result<HttpResponse, HttpError> {
  public:
    using Result::Result;

    /// There is a response, and it has this status.
    bool has_status(int status) const { return has_value() && (*this)->status == status; }
    /// The status of the response, or `otherwise` when there is none.
    int status_or(int otherwise) const { return has_value() ? (*this)->status : otherwise; }
    /// There is no response, for this reason.
    bool has_error(HttpError reason) const { return !has_value() && error() == reason; }
    /// There is no response, and the server cannot have seen the request.
    bool never_sent() const { return !has_value() && was_never_sent(error()); }
};

/// A whole request as it is sent. Connections are kept, as is the default of HTTP/1.1.
std::string render_request(std::string_view method, std::string_view target, std::string_view body);

/// A whole response as it is sent. Without `keep_alive` it announces that the connection will be closed.
std::string render_response(const HttpResponse& response, bool keep_alive);

}  // namespace hatchwind::io
