#include "service/service.hpp"

namespace hatchwind::service {

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

Service::Service(io::Loop& loop, Settings s, Tunables t)
    : node_(loop, std::move(s), t),
      replica_(node_),
      membership_(node_, replica_),
      mesh_(node_, membership_),
      workers_(node_, scope_),
      finals_(node_, replica_),
      users_(node_, replica_, finals_),
      dependencies_(node_, replica_, finals_),
      owner_(node_, replica_, workers_),
      leader_(node_, replica_),
      cancel_enforcement_(node_, workers_, leader_),
      server_(loop, node_.settings.api, limits(node_.settings),
              [this](HttpRequest r) { return handle(std::move(r)); }) {}

void Service::start() {
    scope_.spawn(server_.serve());
    scope_.spawn(replica_.run());
    scope_.spawn(membership_.keep_grant());
    scope_.spawn(membership_.keep_epoch());
    mesh_.start(scope_);
    scope_.spawn(workers_.watch_reach());
    scope_.spawn(workers_.keep_reach());
    scope_.spawn(owner_.run());
    scope_.spawn(leader_.keep_catalog());
    scope_.spawn(leader_.keep_list());
    scope_.spawn(leader_.rent());
    scope_.spawn(leader_.drain());
    scope_.spawn(leader_.give_back());
    scope_.spawn(cancel_enforcement_.run());
    scope_.spawn(dependencies_.run());
}

Task<HttpResponse> Service::handle(HttpRequest request) {
    constexpr std::string_view jobs = "/api/jobs";
    constexpr std::string_view cancel = "/cancel";
    const std::string target = request.target.substr(0, request.target.find('?'));
    const std::string method = request.method;
    if (target == "/hello") {
        if (method != "POST") co_return status(405);
        if (request.body_too_large) co_return status(400);
        auto task = workers_.hello(std::move(request.body));
        HttpResponse r = co_await std::move(task);
        co_return r;
    }
    if (target == "/healthz") co_return method == "GET" ? users_.health() : status(405);
    if (target == jobs) {
        if (method != "POST") co_return status(405);
        auto task = users_.submit(std::move(request));
        HttpResponse r = co_await std::move(task);
        co_return r;
    }
    if (!target.starts_with("/api/jobs/")) co_return status(404);
    std::string id = target.substr(jobs.size() + 1);
    if (id.ends_with(cancel)) {
        id.resize(id.size() - cancel.size());
        if (method != "POST") co_return status(405);
        auto task = users_.cancel(std::move(id));
        HttpResponse r = co_await std::move(task);
        co_return r;
    }
    if (id.find('/') != std::string::npos) co_return status(404);
    if (method != "GET") co_return status(405);
    auto task = users_.poll(std::move(id));
    HttpResponse r = co_await std::move(task);
    co_return r;
}

}  // namespace hatchwind::service
