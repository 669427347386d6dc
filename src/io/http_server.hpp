/// An HTTP/1.1 server with one coroutine for each connection.
///
/// The server owns its connections and their coroutines; its owner runs `serve()` in a scope that ends before
/// the server. A client that closes its connection cancels nothing: the handler runs to its end, and its
/// response is written in vain.
#pragma once

#include <cstdint>
#include <functional>

#include "io/http_message.hpp"
#include "io/http_message_parser.hpp"
#include "io/socket.hpp"

namespace hatchwind::io {

/// What a server takes from its clients. The defaults are those of a controller.
struct HttpServerLimits {
    /// A request with a larger body still reaches the handler, but without its body.
    std::size_t max_body_bytes = std::size_t{64} * 1024;
    /// Request line and headers; what is longer ends the connection.
    std::size_t max_head_bytes = std::size_t{16} * 1024;
    /// From a request's first byte to its last, and then for the writing of the response: guards against slow
    /// clients.
    Micros request_timeout{10'000'000};
    /// From a connection's beginning, or its last response, to the next request: guards against half-open
    /// ones.
    Micros idle_timeout{90'000'000};
    /// Open at a time. A connection beyond it takes the place of the one that has been idle longest.
    std::size_t max_connections = 256;
    /// With more than these open, a connection is closed after its response. A fleet that sends its
    /// heartbeats to one surviving controller would else hold all its sockets between heartbeats, and users
    /// and health checks would find none.
    std::size_t max_kept_connections = 192;
};

class HttpServer {
  public:
    /// Answers one request. Runs as long as it likes; other connections are served meanwhile.
    using Handler = std::function<Task<HttpResponse>(HttpRequest)>;

    /// Listens from now on. Throws std::system_error when the address can't be had.
    HttpServer(Loop& loop, Address at, HttpServerLimits limits, Handler handler);
    /// Accepts connections until it is cancelled. Those that are open are served until the server is
    /// destroyed.
    Task<void> serve();
    std::size_t open_connections() const { return open_connections_; }

  private:
    struct Connection;
    class OpenConnection;
    enum class ReadOutcome : std::uint8_t { complete, malformed, connection_ended };

    /// A connection that waits for its next request. Lives in the coroutine that waits.
    struct IdleConnection : AutoUnlinkListHook {
        explicit IdleConnection(Socket& idle) : socket(idle) {}
        Socket& socket;
    };
    using IdleConnectionList =
        boost::intrusive::list<IdleConnection, boost::intrusive::base_hook<AutoUnlinkListHook>,
                               boost::intrusive::constant_time_size<false>>;

    void close_longest_idle();
    Task<void> serve_connection(Socket socket);
    Task<ReadOutcome> read_request(Connection& connection);
    Task<bool> wait_for_request(Connection& connection);
    static Task<bool> receive(Connection& connection, Micros deadline);
    bool exceeds_limits(const HttpMessageParser& parser, std::size_t parsed_bytes) const;

    Listener listener_;
    HttpServerLimits limits_;
    Handler handler_;
    std::size_t open_connections_ = 0;
    IdleConnectionList idle_;  // the longest idle first
    Signal connection_closed_;
    Scope connections_;
};

}  // namespace hatchwind::io
