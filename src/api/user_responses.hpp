// Responses to users, and the count of requests under way.
#pragma once

#include "io/http.hpp"
#include "wire/cbor.hpp"

namespace hatchwind::controller {

inline io::HttpResponse plain_response(int status) {
    io::HttpResponse response;
    response.status = status;
    return response;
}

// The user comes back: nothing is held back for want of an answer.
inline io::HttpResponse retry_later(int status = 503) {
    io::HttpResponse response = plain_response(status);
    response.retry_after_s = 1;
    return response;
}

inline io::HttpResponse response_with(int status, const wire::Json& body) {
    io::HttpResponse response = plain_response(status);
    response.body = wire::encode(body);
    return response;
}

// A request under way, counted for as long as it lives.
class RequestCount {
  public:
    explicit RequestCount(std::size_t& count) : count_(count) { ++count_; }
    ~RequestCount() { --count_; }
    RequestCount(const RequestCount&) = delete;
    RequestCount& operator=(const RequestCount&) = delete;

  private:
    std::size_t& count_;
};

}  // namespace hatchwind::controller
