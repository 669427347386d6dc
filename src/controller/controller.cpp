#include "controller/controller.hpp"

namespace hatchwind::controller {

using io::HttpRequest;
using io::HttpResponse;
using io::Task;

namespace {
io::HttpLimits limits(const Settings& s) {
    io::HttpLimits l;
    // What workers, store, cloud and mesh need goes out through sockets of their own; see Node. A
    // connection's buffers take some 8 KiB.
    const auto by_memory = static_cast<std::size_t>(s.memory_mb * 1024 / 2 / 32);
    l.connections = std::min(s.max_connections * 5 / 8, std::max<std::size_t>(by_memory, 64));
    l.kept = l.connections * 3 / 4;
    return l;
}
HttpResponse status(int code) {
    HttpResponse r;
    r.status = code;
    return r;
}
}  // namespace

Controller::Controller(io::Loop& loop, Settings s, Tunables t)
    : node_(loop, std::move(s), t),
      replica_(node_),
      membership_(node_, replica_),
      peer_mesh_(node_, membership_),
      workers_(node_, scope_),
      final_states_(node_, replica_),
      user_api_(node_, replica_, final_states_),
      dependency_reconciler_(node_, replica_, final_states_),
      shard_scheduler_(node_, replica_, workers_),
      scaling_(node_, replica_),
      cancellation_enforcer_(node_, workers_, scaling_),
      server_(loop, node_.settings.api, limits(node_.settings),
              [this](HttpRequest r) { return handle(std::move(r)); }) {}

void Controller::start() {
    scope_.spawn(server_.serve());
    scope_.spawn(replica_.run());
    scope_.spawn(membership_.keep_store_lease());
    scope_.spawn(membership_.keep_epoch());
    peer_mesh_.start(scope_);
    scope_.spawn(workers_.monitor_worker_connectivity());
    scope_.spawn(workers_.probe_unconfirmed_workers());
    scope_.spawn(shard_scheduler_.run());
    scope_.spawn(scaling_.keep_catalog());
    scope_.spawn(scaling_.keep_list());
    scope_.spawn(scaling_.scale_out());
    scope_.spawn(scaling_.drain());
    scope_.spawn(scaling_.scale_in());
    scope_.spawn(cancellation_enforcer_.run());
    scope_.spawn(dependency_reconciler_.run());
}

Task<HttpResponse> Controller::handle(HttpRequest request) {
    constexpr std::string_view jobs = "/api/jobs";
    constexpr std::string_view cancel = "/cancel";
    const std::string target = request.target.substr(0, request.target.find('?'));
    const std::string method = request.method;
    if (target == "/hello") {
        if (method != "POST") co_return status(405);
        if (request.body_too_large) co_return status(400);
        auto task = workers_.handle_heartbeat(std::move(request.body));
        HttpResponse r = co_await std::move(task);
        co_return r;
    }
    if (target == "/healthz") co_return method == "GET" ? user_api_.health() : status(405);
    if (target == jobs) {
        if (method != "POST") co_return status(405);
        auto task = user_api_.submit(std::move(request));
        HttpResponse r = co_await std::move(task);
        co_return r;
    }
    if (!target.starts_with("/api/jobs/")) co_return status(404);
    std::string id = target.substr(jobs.size() + 1);
    if (id.ends_with(cancel)) {
        id.resize(id.size() - cancel.size());
        if (method != "POST") co_return status(405);
        auto task = user_api_.cancel(std::move(id));
        HttpResponse r = co_await std::move(task);
        co_return r;
    }
    if (id.find('/') != std::string::npos) co_return status(404);
    if (method != "GET") co_return status(405);
    auto task = user_api_.poll(std::move(id));
    HttpResponse r = co_await std::move(task);
    co_return r;
}

}  // namespace hatchwind::controller
