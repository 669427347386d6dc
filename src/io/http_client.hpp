/// An HTTP/1.1 client with a pool of connections.
///
/// Each request is a coroutine of its caller, who cancels it by destroying the task: its connection is
/// closed, and the server may have carried it out. The client owns the idle connections and must outlive its
/// requests.
#pragma once

#include <algorithm>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "io/http_message.hpp"
#include "io/http_message_parser.hpp"
#include "io/socket.hpp"

namespace hatchwind::io {

class HttpClient {
  public:
    static constexpr std::size_t kDefaultIdlePerAddress = 4;
    static constexpr std::size_t kDefaultConnections = 64;
    static constexpr std::size_t kDefaultMaxBodyBytes = std::size_t{4} << 20U;

    /// Keeps at most `max_idle_per_address` idle connections to each address, and `max_connections` in all,
    /// in use or idle.
    explicit HttpClient(Loop& loop, std::size_t max_idle_per_address = kDefaultIdlePerAddress,
                        std::size_t max_connections = kDefaultConnections)
        : loop_(loop),
          max_idle_per_address_(max_idle_per_address),
          max_connections_(std::max<std::size_t>(max_connections, 1)),
          connection_closed_(loop) {}

    /// Sends one request, over an idle connection or a new one, and waits for the response until `deadline`
    /// (monotonic). A request that finds all connections in use waits for one. A response with a body beyond
    /// `max_body_bytes` is an error. Nothing is repeated: that is for the caller, who knows what may be.
    Task<HttpResult> send(Address to, std::string method, std::string target, std::string body,
                          Micros deadline, std::size_t max_body_bytes = kDefaultMaxBodyBytes);
    /// Closes the idle connections to an address that is no longer used: they count against
    /// `max_connections`.
    void close_idle(Address to);
    /// In use or idle.
    std::size_t open_connections() const { return in_use_ + idle_.size(); }
    std::size_t max_connections() const { return max_connections_; }

  private:
    struct IdleConnection {
        Address to;
        Socket socket;
    };
    using IdleList = std::list<IdleConnection>;
    class ConnectionInUse;

    std::optional<Socket> take_idle(Address to);
    void keep_idle(Address to, Socket socket);
    void remove_idle(IdleList::iterator connection);
    /// An idle connection, or nothing when a new one may be opened.
    Task<base::Result<std::optional<Socket>, HttpError>> acquire(Address to, Micros deadline);
    /// Sends the request, and receives until `response` is complete.
    static Task<base::Result<void, HttpError>> exchange(Socket& socket, std::string_view request,
                                                        HttpMessageParser& response, Micros deadline);

    Loop& loop_;
    std::size_t max_idle_per_address_;
    std::size_t max_connections_;
    std::size_t in_use_ = 0;
    IdleList idle_;  // the least recently used first
    std::map<Address, std::vector<IdleList::iterator>> idle_by_address_;
    Signal connection_closed_;
};

}  // namespace hatchwind::io
