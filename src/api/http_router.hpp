/// Which request goes where: workers' heartbeats, and the users' interface.
#pragma once

#include <string>

#include "api/user_api.hpp"
#include "io/http_message.hpp"
#include "io/task.hpp"
#include "workers/heartbeat_handler.hpp"

namespace hatchwind::controller {

class HttpRouter {
  public:
    HttpRouter(HeartbeatHandler& heartbeats, UserApi& user_api)
        : heartbeats_(heartbeats), user_api_(user_api) {}

    /// 404 for a path that nothing serves, 405 for a method that its path doesn't have.
    io::Task<io::HttpResponse> handle(io::HttpRequest request);

  private:
    io::HttpResponse handle_heartbeat(const io::HttpRequest& request);
    /// `/api/jobs/ID` and `/api/jobs/ID/cancel`.
    io::Task<io::HttpResponse> handle_job(std::string method, std::string id);

    HeartbeatHandler& heartbeats_;
    UserApi& user_api_;
};

}  // namespace hatchwind::controller
