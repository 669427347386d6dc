#include "io/http_server.hpp"

#include <array>
#include <string>
#include <utility>

namespace hatchwind::io {

namespace {

constexpr std::size_t kReadBufferBytes = 4096;

/// Oversize bodies are read and answered up to so many times their limit; what is longer ends the connection.
constexpr std::size_t kMaxBodyLimitsRead = 16;

HttpRequest take_request(HttpMessageParser& parser) {
    HttpRequest request;
    request.method = parser.method();
    request.target = parser.take_target();
    request.body = parser.take_body();
    request.body_too_large = parser.is_body_too_large();
    return request;
}

}  // namespace

/// What is read from one client.
struct HttpServer::Connection {
    Socket& socket;
    HttpMessageParser parser;
    std::string unparsed;  // received, and beyond the request that was parsed
    std::array<char, kReadBufferBytes> buffer;

    Connection(Socket& connected, std::size_t max_body_bytes)
        : socket(connected), parser(HttpMessageParser::MessageKind::request, max_body_bytes) {}

    /// Parses what was received, no further than to the end of a request; returns the number of bytes.
    std::size_t parse() {
        const std::size_t parsed = parser.parse(unparsed);
        unparsed.erase(0, parsed);
        return parsed;
    }
};

/// Uncounts a connection at its end, however that comes.
class HttpServer::OpenConnection {
  public:
    explicit OpenConnection(HttpServer& server) : server_(server) {}
    ~OpenConnection() {
        --server_.open_connections_;
        server_.connection_closed_.notify_all();
    }
    OpenConnection(const OpenConnection&) = delete;
    OpenConnection& operator=(const OpenConnection&) = delete;

  private:
    HttpServer& server_;
};

HttpServer::HttpServer(Loop& loop, Address at, HttpServerLimits limits, Handler handler)
    : listener_(loop, at), limits_(limits), handler_(std::move(handler)), connection_closed_(loop) {}

Task<void> HttpServer::serve() {
    while (true) {
        // Half-open connections would else keep users and health checks out. With none idle nothing is
        // accepted, and the load balancer tries another controller.
        while (open_connections_ >= limits_.max_connections) {
            close_longest_idle();
            co_await connection_closed_.wait();
        }
        Socket socket = co_await listener_.accept();
        ++open_connections_;
        connections_.spawn(serve_connection(std::move(socket)));
    }
}

void HttpServer::close_longest_idle() {
    if (idle_.empty()) return;
    Socket& longest = idle_.front().socket;
    idle_.pop_front();
    longest.shut_down();
}

Task<void> HttpServer::serve_connection(Socket socket) {
    const OpenConnection open{*this};
    Connection connection{socket, limits_.max_body_bytes};
    while (true) {
        auto reading = read_request(connection);
        const ReadOutcome outcome = co_await std::move(reading);
        if (outcome == ReadOutcome::connection_ended) co_return;
        const bool malformed = outcome == ReadOutcome::malformed;
        const bool keep_alive = !malformed && connection.parser.keeps_connection() &&
                                open_connections_ <= limits_.max_kept_connections;
        HttpResponse response;
        if (malformed) {
            response.status = http_status::kBadRequest;
        } else {
            auto handling = handler_(take_request(connection.parser));
            response = co_await std::move(handling);
        }
        const std::string rendered = render_response(response, keep_alive);
        const Micros deadline = steady_now() + limits_.request_timeout;
        const auto written = co_await socket.write(rendered, deadline);
        if (!written || !keep_alive) co_return;
    }
}

Task<HttpServer::ReadOutcome> HttpServer::read_request(Connection& connection) {
    connection.parser.reset();
    // After a pipelined request, the next one has begun already.
    if (connection.unparsed.empty()) {
        auto waiting = wait_for_request(connection);
        const bool begun = co_await std::move(waiting);
        if (!begun) co_return ReadOutcome::connection_ended;
    }
    const Micros deadline = steady_now() + limits_.request_timeout;
    std::size_t parsed_bytes = 0;
    while (true) {
        parsed_bytes += connection.parse();
        if (connection.parser.is_malformed()) co_return ReadOutcome::malformed;
        if (exceeds_limits(connection.parser, parsed_bytes)) co_return ReadOutcome::malformed;
        if (connection.parser.is_complete()) co_return ReadOutcome::complete;
        if (!connection.unparsed.empty()) continue;
        auto receiving = receive(connection, deadline);
        const bool received = co_await std::move(receiving);
        if (!received) co_return ReadOutcome::connection_ended;
    }
}

Task<bool> HttpServer::wait_for_request(Connection& connection) {
    IdleConnection idle{connection.socket};
    idle_.push_back(idle);
    auto receiving = receive(connection, steady_now() + limits_.idle_timeout);
    const bool received = co_await std::move(receiving);
    co_return received;
}

/// False when the connection has ended, or the deadline came first.
Task<bool> HttpServer::receive(Connection& connection, Micros deadline) {
    const auto received =
        co_await connection.socket.read(connection.buffer.data(), connection.buffer.size(), deadline);
    if (!received || *received == 0) co_return false;
    connection.unparsed.assign(connection.buffer.data(), *received);
    co_return true;
}

bool HttpServer::exceeds_limits(const HttpMessageParser& parser, std::size_t parsed_bytes) const {
    const bool endless_head =
        !parser.has_body() && parsed_bytes > limits_.max_head_bytes + limits_.max_body_bytes;
    const bool endless_body =
        parsed_bytes > limits_.max_head_bytes + kMaxBodyLimitsRead * limits_.max_body_bytes;
    return endless_head || endless_body;
}

}  // namespace hatchwind::io
