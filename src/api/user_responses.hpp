/// Responses to users.
#pragma once

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

}  // namespace hatchwind::controller
