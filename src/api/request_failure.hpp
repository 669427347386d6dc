/// What happens to an exception that leaves the handler of a request.
#pragma once

#include "io/http_message.hpp"
#include "io/task.hpp"

namespace hatchwind::controller {

/// Awaits the handling of one request. An exception ends this request alone: it is logged, and the client
/// gets 500, which users and workers repeat elsewhere. Without it the exception would end the process, and
/// the client's repeats every other controller (RequestFailure.AnExceptionEndsItsRequestAloneWith500).
io::Task<io::HttpResponse> respond_to_failure(io::Task<io::HttpResponse> handling);

}  // namespace hatchwind::controller
