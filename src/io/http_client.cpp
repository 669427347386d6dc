#include "io/http_client.hpp"

#include <array>
#include <iterator>
#include <utility>

namespace hatchwind::io {

namespace {

constexpr std::size_t kReadBufferBytes = 8192;

/// Of a connection that was established.
HttpError http_error(IoError error) {
    return error == IoError::timed_out ? HttpError::timed_out : HttpError::connection_lost;
}

HttpResponse take_response(HttpMessageParser& parser) {
    HttpResponse response;
    response.status = parser.status();
    response.body = parser.take_body();
    response.retry_after_s = parser.retry_after_s();
    return response;
}

}  // namespace

/// Counts a connection, from before it is established to its end or its return to the idle ones.
class HttpClient::ConnectionInUse {
  public:
    explicit ConnectionInUse(HttpClient& client) : client_(client) { ++client_.in_use_; }
    ~ConnectionInUse() {
        --client_.in_use_;
        client_.connection_closed_.notify_all();
    }
    ConnectionInUse(const ConnectionInUse&) = delete;
    ConnectionInUse& operator=(const ConnectionInUse&) = delete;

  private:
    HttpClient& client_;
};

void HttpClient::remove_idle(IdleList::iterator connection) {
    const auto pool = idle_by_address_.find(connection->to);
    std::erase(pool->second, connection);
    if (pool->second.empty()) idle_by_address_.erase(pool);
    idle_.erase(connection);
}

void HttpClient::close_idle(Address to) {
    const auto pool = idle_by_address_.find(to);
    if (pool == idle_by_address_.end()) return;
    for (const auto& connection : pool->second) idle_.erase(connection);
    idle_by_address_.erase(pool);
    connection_closed_.notify_all();
}

std::optional<Socket> HttpClient::take_idle(Address to) {
    while (true) {
        const auto pool = idle_by_address_.find(to);
        if (pool == idle_by_address_.end()) return std::nullopt;
        const auto latest = pool->second.back();
        Socket socket = std::move(latest->socket);
        remove_idle(latest);
        if (!socket.is_stale()) return socket;
    }
}

void HttpClient::keep_idle(Address to, Socket socket) {
    auto& pool = idle_by_address_[to];
    if (pool.size() >= max_idle_per_address_) return;
    idle_.push_back({to, std::move(socket)});
    pool.push_back(std::prev(idle_.end()));
}

Task<base::Result<std::optional<Socket>, HttpError>> HttpClient::acquire(Address to, Micros deadline) {
    std::optional<Socket> socket = take_idle(to);
    // One bound for what is in use and what is idle: with an idle connection to each worker of a large fleet
    // there would be none left for those that are due.
    while (!socket && open_connections() >= max_connections_) {
        if (!idle_.empty()) {
            remove_idle(idle_.begin());
            continue;
        }
        const bool closed = co_await connection_closed_.wait(deadline);
        if (!closed) co_return HttpError::pool_exhausted;
        socket = take_idle(to);
    }
    co_return socket;
}

Task<base::Result<void, HttpError>> HttpClient::exchange(Socket& socket, std::string_view request,
                                                         HttpMessageParser& response, Micros deadline) {
    const auto written = co_await socket.write(request, deadline);
    if (!written) co_return http_error(written.error());
    std::array<char, kReadBufferBytes> buffer;
    while (!response.is_complete()) {
        const auto received = co_await socket.read(buffer.data(), buffer.size(), deadline);
        if (!received) co_return http_error(received.error());
        // The end of the stream is parsed too: it is the end of a response without a length.
        response.parse({buffer.data(), *received});
        if (response.is_complete()) break;
        if (*received == 0) co_return HttpError::connection_lost;
        if (response.is_malformed()) co_return HttpError::malformed_response;
    }
    co_return base::Result<void, HttpError>{};
}

Task<HttpResult> HttpClient::send(Address to, std::string method, std::string target, std::string body,
                                  Micros deadline, std::size_t max_body_bytes) {
    auto acquiring = acquire(to, deadline);
    auto acquired = co_await std::move(acquiring);
    if (!acquired) co_return acquired.error();
    std::optional<Socket> socket = std::move(*acquired);
    const ConnectionInUse in_use{*this};
    if (!socket) {
        auto connecting = connect(loop_, to, deadline);
        auto connected = co_await std::move(connecting);
        if (!connected) co_return HttpError::connect_failed;
        socket.emplace(std::move(*connected));
    }
    const std::string request = render_request(method, target, body);
    HttpMessageParser response{HttpMessageParser::MessageKind::response, max_body_bytes};
    auto exchanging = exchange(*socket, request, response, deadline);
    const auto exchanged = co_await std::move(exchanging);
    if (!exchanged) co_return exchanged.error();
    if (response.is_body_too_large()) co_return HttpError::response_too_large;
    if (response.keeps_connection()) keep_idle(to, std::move(*socket));
    // The library accepts "000".
    if (response.status() == 0) co_return HttpError::malformed_response;
    co_return take_response(response);
}

}  // namespace hatchwind::io
