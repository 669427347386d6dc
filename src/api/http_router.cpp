#include "api/http_router.hpp"

#include <string_view>
#include <utility>

#include "api/user_responses.hpp"

namespace hatchwind::controller {

using io::HttpRequest;
using io::HttpResponse;
using io::Task;

namespace {
constexpr std::string_view kHeartbeatPath = "/hello";
constexpr std::string_view kHealthPath = "/healthz";
constexpr std::string_view kJobsPath = "/api/jobs";
constexpr std::string_view kJobPathPrefix = "/api/jobs/";
constexpr std::string_view kCancelSuffix = "/cancel";
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusMethodNotAllowed = 405;
}  // namespace

HttpResponse HttpRouter::handle_heartbeat(const HttpRequest& request) {
    if (request.method != "POST") return plain_response(kStatusMethodNotAllowed);
    if (request.body_too_large) return plain_response(kStatusBadRequest);
    return heartbeats_.handle(request.body);
}

Task<HttpResponse> HttpRouter::handle_job(std::string method, std::string id) {
    if (id.ends_with(kCancelSuffix)) {
        id.resize(id.size() - kCancelSuffix.size());
        if (method != "POST") co_return plain_response(kStatusMethodNotAllowed);
        auto cancelling = user_api_.cancel(std::move(id));
        HttpResponse response = co_await std::move(cancelling);
        co_return response;
    }
    if (id.find('/') != std::string::npos) co_return plain_response(kStatusNotFound);
    if (method != "GET") co_return plain_response(kStatusMethodNotAllowed);
    auto polling = user_api_.poll(std::move(id));
    HttpResponse response = co_await std::move(polling);
    co_return response;
}

Task<HttpResponse> HttpRouter::handle(HttpRequest request) {
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == kHeartbeatPath) co_return handle_heartbeat(request);
    if (path == kHealthPath) {
        co_return request.method == "GET" ? user_api_.health() : plain_response(kStatusMethodNotAllowed);
    }
    if (path == kJobsPath) {
        if (request.method != "POST") co_return plain_response(kStatusMethodNotAllowed);
        auto submitting = user_api_.submit(std::move(request));
        HttpResponse response = co_await std::move(submitting);
        co_return response;
    }
    if (!path.starts_with(kJobPathPrefix)) co_return plain_response(kStatusNotFound);
    auto handling = handle_job(request.method, path.substr(kJobPathPrefix.size()));
    HttpResponse response = co_await std::move(handling);
    co_return response;
}

}  // namespace hatchwind::controller
