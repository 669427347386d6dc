/// Responses to users, and the count of requests under way.
#pragma once

#include <cstddef>

#include "io/http_responses.hpp"
#include "wire/cbor.hpp"

namespace hatchwind::controller {

/// A response with a CBOR body.
inline io::HttpResponse cbor_response(int status, const wire::Json& body) {
    return io::response_with_body(status, wire::encode(body));
}

/// A request under way, counted for as long as it lives.
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
