/// Builders of the responses that several HTTP handlers give.
#pragma once

#include <string>
#include <utility>

#include "io/http_message.hpp"
#include "io/http_status.hpp"

namespace hatchwind::io {

/// A response that says all by its status code.
inline HttpResponse plain_response(int status) {
    HttpResponse response;
    response.status = status;
    return response;
}

/// A response with an encoded body.
inline HttpResponse response_with_body(int status, std::string body) {
    HttpResponse response = plain_response(status);
    response.body = std::move(body);
    return response;
}

/// The request could not be served now, and the client should repeat it: nothing is held back for want of an
/// answer.
inline HttpResponse retry_later(int status = http_status::kServiceUnavailable) {
    constexpr int kRetryAfterSeconds = 1;
    HttpResponse response = plain_response(status);
    response.retry_after_s = kRetryAfterSeconds;
    return response;
}

}  // namespace hatchwind::io
