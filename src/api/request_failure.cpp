#include "api/request_failure.hpp"

#include <spdlog/spdlog.h>

#include <exception>
#include <utility>

#include "io/http_responses.hpp"

namespace hatchwind::controller {

io::Task<io::HttpResponse> respond_to_failure(io::Task<io::HttpResponse> handling) {
    try {
        io::HttpResponse response = co_await std::move(handling);
        co_return response;
    } catch (const std::exception& failure) {
        spdlog::error("event=request_failed reason=\"{}\"", failure.what());
    }
    co_return io::plain_response(io::http_status::kInternalServerError);
}

}  // namespace hatchwind::controller
