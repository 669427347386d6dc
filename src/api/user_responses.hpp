/// Responses to users, and the count of their requests under way.
#pragma once

#include <cstddef>
#include <string>

#include "io/http_responses.hpp"
#include "wire/cbor.hpp"
#include "wire/job_status.hpp"
#include "wire/user_api.hpp"

namespace hatchwind::controller {

/// A response with a CBOR body.
inline io::HttpResponse cbor_response(int status, const wire::Json& body) {
    return io::response_with_body(status, wire::encode(body));
}

/// How a job ended, as its polls are answered.
inline io::HttpResponse final_state_response(const std::string& id, const wire::FinalState& state) {
    return cbor_response(io::http_status::kOk, wire::job_answer(id, state.status, state.done, 0));
}

/// Counts a request as under way for as long as it lives.
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
