// HTTP/1.1: a server with a routine for each connection, and a client with a pool for each address.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "io/socket.hpp"

namespace hatchwind::io {

struct HttpRequest {
    std::string method;
    std::string target;
    std::string body;
    bool body_too_large = false;
};

struct HttpResponse {
    int status = 200;
    std::string body;
    int retry_after_s = 0;  // 0: no such header
};

struct HttpLimits {
    std::size_t body_bytes = 64 * 1024;
    std::size_t head_bytes = 16 * 1024;
    Micros request_time{10'000'000};  // from its first byte to its last: guards against slow senders
    Micros idle_time{90'000'000};     // guards against half-open connections
    std::size_t connections = 256;
};

class HttpServer {
  public:
    using Handler = std::function<Task<HttpResponse>(HttpRequest)>;
    HttpServer(Loop& loop, Address at, HttpLimits limits, Handler handler);
    Task<void> serve();
    std::size_t open_connections() const { return open_; }

  private:
    Task<void> connection(Socket socket);
    Loop& loop_;
    Listener listener_;
    HttpLimits limits_;
    Handler handler_;
    std::size_t open_ = 0;
    Signal closed_;
    Scope connections_;
};

struct HttpReply {
    int status = 0;  // 0: no answer, and the request may have been carried out all the same
    std::string body;
    int retry_after_s = 0;
    bool too_large = false;   // with status 0: it was answered, beyond the limit
    bool never_sent = false;  // with status 0: the other side cannot have seen it
};

class HttpClient {
  public:
    explicit HttpClient(Loop& loop, std::size_t idle_per_address = 4)
        : loop_(loop), idle_limit_(idle_per_address) {}
    Task<HttpReply> send(Address to, std::string method, std::string target, std::string body,
                         Micros deadline, std::size_t most_bytes = 4U << 20U);
    // Closes the idle connections to somebody who is gone: their sockets count against the machine's limit.
    void forget(Address to) { idle_.erase(to); }

  private:
    Loop& loop_;
    std::size_t idle_limit_;
    std::map<Address, std::vector<Socket>> idle_;
};

}  // namespace hatchwind::io
