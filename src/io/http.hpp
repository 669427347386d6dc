// HTTP/1.1: a server with a routine for each connection, and a client with a pool for each address.
#pragma once

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "io/http_status.hpp"
#include "io/socket.hpp"

namespace hatchwind::io {

struct HttpRequest {
    std::string method;
    std::string target;
    std::string body;
    bool body_too_large = false;
};

struct HttpResponse {
    int status = http_status::kOk;
    std::string body;
    int retry_after_s = 0;  // 0: no such header
};

struct HttpLimits {
    std::size_t body_bytes = std::size_t{64} * 1024;
    std::size_t head_bytes = std::size_t{16} * 1024;
    Micros request_time{10'000'000};  // from its first byte to its last: guards against slow senders
    Micros idle_time{90'000'000};     // guards against half-open connections
    std::size_t connections = 256;
    // Beyond so many, an answered connection is not kept. A fleet that reports to one surviving node would
    // else hold all its sockets between reports, and users and health checks would find none.
    std::size_t kept = 192;
};

class HttpServer {
  public:
    using Handler = std::function<Task<HttpResponse>(HttpRequest)>;
    HttpServer(Loop& loop, Address at, HttpLimits limits, Handler handler);
    Task<void> serve();
    std::size_t open_connections() const { return open_; }

  private:
    // A connection between two requests.
    struct Resting : UnlinkList {
        explicit Resting(Socket& s) : socket(&s) {}
        Socket* socket;
    };
    using RestingList = boost::intrusive::list<Resting, boost::intrusive::base_hook<UnlinkList>,
                                               boost::intrusive::constant_time_size<false>>;
    Task<void> connection(Socket socket);
    Loop& loop_;
    Listener listener_;
    HttpLimits limits_;
    Handler handler_;
    std::size_t open_ = 0;
    RestingList resting_;  // the longest rest first
    Signal closed_;
    Scope connections_;
};

struct HttpReply {
    int status = 0;  // 0: no answer, and the request may have been carried out all the same
    std::string body;
    int retry_after_s = 0;
    bool too_large = false;   // with status 0: it was answered, beyond the limit
    bool never_sent = false;  // with status 0: the other side cannot have seen it
    // With never_sent: all of the client's own sockets were in use until the deadline. It says nothing about
    // the other side.
    bool pool_exhausted = false;
};

class HttpClient {
  public:
    // `most`: sockets in all, in use or idle. A call that finds none waits for one until its deadline.
    explicit HttpClient(Loop& loop, std::size_t idle_per_address = 4, std::size_t most = 64)
        : loop_(loop), idle_limit_(idle_per_address), most_(std::max<std::size_t>(most, 1)), closed_(loop) {}
    Task<HttpReply> send(Address to, std::string method, std::string target, std::string body,
                         Micros deadline, std::size_t most_bytes = 4U << 20U);
    // Closes the idle connections to somebody who is gone: their sockets count against the machine's limit.
    void forget(Address to);
    std::size_t open_connections() const { return in_use_ + idle_.size(); }
    std::size_t most_connections() const { return most_; }

  private:
    struct Idle {
        Address to;
        Socket socket;
    };
    using IdleList = std::list<Idle>;
    std::optional<Socket> take_idle(Address to);
    void keep(Address to, Socket socket);
    void drop(IdleList::iterator at);

    Loop& loop_;
    std::size_t idle_limit_;
    std::size_t most_;
    std::size_t in_use_ = 0;
    IdleList idle_;  // the least recently used first
    std::map<Address, std::vector<IdleList::iterator>> by_address_;
    Signal closed_;
};

}  // namespace hatchwind::io
