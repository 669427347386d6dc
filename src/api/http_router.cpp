#include "api/http_router.hpp"

#include <string_view>
#include <utility>

#include "api/request_failure.hpp"
#include "io/http_responses.hpp"

namespace hatchwind::controller {

using io::HttpRequest;
using io::HttpResponse;
using io::plain_response;
using io::Task;
namespace http_status = io::http_status;

namespace {
constexpr std::string_view kHeartbeatPath = "/hello";
constexpr std::string_view kHealthPath = "/healthz";
constexpr std::string_view kJobsPath = "/api/jobs";
constexpr std::string_view kJobPathPrefix = "/api/jobs/";
constexpr std::string_view kCancelSuffix = "/cancel";
}  // namespace

HttpResponse HttpRouter::handle_heartbeat(const HttpRequest& request) {
    if (request.method != "POST") return plain_response(http_status::kMethodNotAllowed);
    if (request.body_too_large) return plain_response(http_status::kBadRequest);
    return heartbeats_.handle(request.body);
}

Task<HttpResponse> HttpRouter::handle_job(std::string method, std::string id) {
    if (id.ends_with(kCancelSuffix)) {
        id.resize(id.size() - kCancelSuffix.size());
        if (method != "POST") co_return plain_response(http_status::kMethodNotAllowed);
        auto cancelling = user_api_.cancel(std::move(id));
        HttpResponse response = co_await std::move(cancelling);
        co_return response;
    }
    if (id.find('/') != std::string::npos) co_return plain_response(http_status::kNotFound);
    if (method != "GET") co_return plain_response(http_status::kMethodNotAllowed);
    auto polling = user_api_.poll(std::move(id));
    HttpResponse response = co_await std::move(polling);
    co_return response;
}

Task<HttpResponse> HttpRouter::route(HttpRequest request) {
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == kHeartbeatPath) co_return handle_heartbeat(request);
    if (path == kHealthPath) {
        co_return request.method == "GET" ? user_api_.health()
                                          : plain_response(http_status::kMethodNotAllowed);
    }
    if (path == kJobsPath) {
        if (request.method != "POST") co_return plain_response(http_status::kMethodNotAllowed);
        auto submitting = user_api_.submit(std::move(request));
        HttpResponse response = co_await std::move(submitting);
        co_return response;
    }
    if (!path.starts_with(kJobPathPrefix)) co_return plain_response(http_status::kNotFound);
    auto handling = handle_job(request.method, path.substr(kJobPathPrefix.size()));
    HttpResponse response = co_await std::move(handling);
    co_return response;
}

Task<HttpResponse> HttpRouter::handle(HttpRequest request) {
    return respond_to_failure(route(std::move(request)));
}

}  // namespace hatchwind::controller
