/// Routes HTTP requests to their handlers: heartbeats of workers, requests of users, health checks.
#pragma once

#include <string>

#include "api/user_api.hpp"
#include "io/http_message.hpp"
#include "io/task.hpp"
#include "workers/heartbeat_handler.hpp"

namespace hatchwind::controller {

/// Holds no state of its own.
class HttpRouter {
  public:
    HttpRouter(HeartbeatHandler& heartbeats, UserApi& user_api)
        : heartbeats_(heartbeats), user_api_(user_api) {}

    /// 404 for a path that no handler serves, 405 for a method that its path does not allow, 500 after an
    /// exception of a handler.
    io::Task<io::HttpResponse> handle(io::HttpRequest request);

  private:
    io::Task<io::HttpResponse> route(io::HttpRequest request);
    io::HttpResponse handle_heartbeat(const io::HttpRequest& request);
    /// `/api/jobs/ID` and `/api/jobs/ID/cancel`.
    io::Task<io::HttpResponse> handle_job(std::string method, std::string id);

    HeartbeatHandler& heartbeats_;
    UserApi& user_api_;
};

}  // namespace hatchwind::controller
