#include "io/http.hpp"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace hatchwind::io {

namespace {

// Collects one message from http-parser's callbacks.
struct Message {
    http_parser parser{};
    std::string target;
    std::string body;
    std::string field;
    std::string value;
    std::size_t head_bytes = 0;
    std::size_t body_limit = 0;
    int retry_after_s = 0;
    bool too_large = false;
    bool complete = false;
    bool keep_alive = false;

    Message(http_parser_type type, std::size_t limit) : body_limit(limit) {
        http_parser_init(&parser, type);
        parser.data = this;
    }
    void reset(http_parser_type type) {
        http_parser_init(&parser, type);
        target.clear();
        body.clear();
        field.clear();
        value.clear();
        head_bytes = 0;
        retry_after_s = 0;
        too_large = complete = keep_alive = false;
    }
    void end_header() {
        if (field.size() == 11 && std::equal(field.begin(), field.end(), "retry-after",
                                             [](char a, char b) { return (a | 0x20) == b; })) {
            std::from_chars(value.data(), value.data() + value.size(), retry_after_s);
        }
        field.clear();
        value.clear();
    }
};

Message& self(http_parser* p) { return *static_cast<Message*>(p->data); }

const http_parser_settings& settings() {
    static const http_parser_settings s = [] {
        http_parser_settings out;
        http_parser_settings_init(&out);
        out.on_url = [](http_parser* p, const char* at, std::size_t n) {
            self(p).target.append(at, n);
            return 0;
        };
        out.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
            auto& m = self(p);
            if (!m.value.empty()) m.end_header();
            m.field.append(at, n);
            return 0;
        };
        out.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
            self(p).value.append(at, n);
            return 0;
        };
        out.on_headers_complete = [](http_parser* p) {
            self(p).end_header();
            return 0;
        };
        out.on_body = [](http_parser* p, const char* at, std::size_t n) {
            auto& m = self(p);
            // An oversize body is read to its end but not kept, so that its sender still gets an answer.
            if (m.body.size() + n > m.body_limit) {
                m.too_large = true;
                m.body.clear();
            }
            if (!m.too_large) m.body.append(at, n);
            return 0;
        };
        out.on_message_complete = [](http_parser* p) {
            auto& m = self(p);
            m.complete = true;
            m.keep_alive = http_should_keep_alive(p) != 0;
            http_parser_pause(p, 1);
            return 0;
        };
        return out;
    }();
    return s;
}

// Feeds bytes; false when the message is broken. Reports how many bytes were taken.
bool feed(Message& m, std::string_view data, std::size_t& used) {
    used = http_parser_execute(&m.parser, &settings(), data.data(), data.size());
    const auto err = HTTP_PARSER_ERRNO(&m.parser);
    if (err == HPE_PAUSED) {
        http_parser_pause(&m.parser, 0);
        return true;
    }
    return err == HPE_OK;
}

const char* reason(int status) {
    switch (status) {
        case http_status::kOk:
            return "OK";
        case http_status::kCreated:
            return "Created";
        case http_status::kBadRequest:
            return "Bad Request";
        case http_status::kNotFound:
            return "Not Found";
        case http_status::kMethodNotAllowed:
            return "Method Not Allowed";
        case http_status::kConflict:
            return "Conflict";
        case http_status::kMisdirectedRequest:
            return "Misdirected Request";
        case http_status::kUnprocessableContent:
            return "Unprocessable Entity";
        case http_status::kTooManyRequests:
            return "Too Many Requests";
        case http_status::kServiceUnavailable:
            return "Service Unavailable";
        default:
            return "Status";
    }
}

std::string render(const HttpResponse& r, bool keep_alive) {
    std::string out;
    out.reserve(160 + r.body.size());
    out += "HTTP/1.1 ";
    out += std::to_string(r.status);
    out += ' ';
    out += reason(r.status);
    out += "\r\nContent-Type: application/cbor\r\nContent-Length: ";
    out += std::to_string(r.body.size());
    if (r.retry_after_s > 0) {
        out += "\r\nRetry-After: ";
        out += std::to_string(r.retry_after_s);
    }
    if (!keep_alive) out += "\r\nConnection: close";
    out += "\r\n\r\n";
    out += r.body;
    return out;
}

}  // namespace

HttpServer::HttpServer(Loop& loop, Address at, HttpLimits limits, Handler handler)
    : loop_(loop), listener_(loop, at), limits_(limits), handler_(std::move(handler)), closed_(loop) {}

Task<void> HttpServer::serve() {
    while (true) {
        // At the limit the connection that has rested longest makes place: half-open ones would else keep
        // users and health checks out. With none at rest nothing is accepted, and the load balancer tries
        // another node.
        while (open_ >= limits_.connections) {
            if (!resting_.empty()) {
                Socket& longest = *resting_.front().socket;
                resting_.pop_front();
                longest.shut();
            }
            co_await closed_.wait();
        }
        Socket socket = co_await listener_.accept();
        ++open_;
        connections_.spawn(connection(std::move(socket)));
    }
}

// One state machine, from the first byte to the last answer.
// NOLINTNEXTLINE(readability-function-cognitive-complexity)
Task<void> HttpServer::connection(Socket socket) {
    struct Count {
        HttpServer& s;
        ~Count() {
            --s.open_;
            s.closed_.notify_all();
        }
    } count{*this};
    auto m = std::make_unique<Message>(HTTP_REQUEST, limits_.body_bytes);
    std::string pending;
    std::array<char, 4096> buffer;
    while (true) {
        m->reset(HTTP_REQUEST);
        bool broken = false;
        bool started = !pending.empty();
        std::size_t seen = 0;
        Micros deadline = steady_now() + (started ? limits_.request_time : limits_.idle_time);
        while (!m->complete && !broken) {
            if (pending.empty()) {
                Resting rest{socket};
                if (!started) resting_.push_back(rest);
                const auto n = co_await socket.read(buffer.data(), buffer.size(), deadline);
                if (!n || *n == 0) co_return;
                if (!started) {
                    started = true;
                    deadline = steady_now() + limits_.request_time;
                }
                pending.assign(buffer.data(), *n);
            }
            std::size_t used = 0;
            broken = !feed(*m, pending, used);
            seen += used;
            pending.erase(0, used);
            // Unbounded heads, and bodies far beyond the limit, end the connection.
            if (m->body.empty() && !m->too_large && seen > limits_.head_bytes + limits_.body_bytes)
                broken = true;
            if (seen > limits_.head_bytes + 16 * limits_.body_bytes) broken = true;
        }
        HttpResponse response;
        bool keep = !broken && m->keep_alive && open_ <= limits_.kept;
        if (broken) {
            response.status = http_status::kBadRequest;
        } else {
            HttpRequest request;
            request.method = http_method_str(static_cast<http_method>(m->parser.method));
            request.target = std::move(m->target);
            request.body = std::move(m->body);
            request.body_too_large = m->too_large;
            response = co_await handler_(std::move(request));
        }
        const std::string out = render(response, keep);
        const Micros write_deadline = steady_now() + limits_.request_time;
        const bool sent = co_await socket.write(out, write_deadline);
        if (!sent || !keep) co_return;
    }
}

void HttpClient::drop(IdleList::iterator at) {
    const auto pool = by_address_.find(at->to);
    std::erase(pool->second, at);
    if (pool->second.empty()) by_address_.erase(pool);
    idle_.erase(at);
}

void HttpClient::forget(Address to) {
    const auto pool = by_address_.find(to);
    if (pool == by_address_.end()) return;
    for (const auto& at : pool->second) idle_.erase(at);
    by_address_.erase(pool);
    closed_.notify_all();
}

std::optional<Socket> HttpClient::take_idle(Address to) {
    for (auto pool = by_address_.find(to); pool != by_address_.end(); pool = by_address_.find(to)) {
        const auto at = pool->second.back();
        Socket socket = std::move(at->socket);
        drop(at);
        if (!socket.is_stale()) return socket;
    }
    return std::nullopt;
}

void HttpClient::keep(Address to, Socket socket) {
    auto& pool = by_address_[to];
    if (pool.size() >= idle_limit_) return;
    idle_.push_back({to, std::move(socket)});
    pool.push_back(std::prev(idle_.end()));
}

Task<HttpReply> HttpClient::send(Address to, std::string method, std::string target, std::string body,
                                 Micros deadline, std::size_t most_bytes) {
    HttpReply reply;
    // One bound for what is in use and what is idle: with an idle connection to each worker of a large fleet
    // there would be none left for those that report.
    std::optional<Socket> socket = take_idle(to);
    while (!socket && in_use_ + idle_.size() >= most_) {
        if (!idle_.empty()) {
            drop(idle_.begin());
            continue;
        }
        const bool some = co_await closed_.wait(deadline);
        if (!some) {
            reply.never_sent = true;
            reply.pool_exhausted = true;
            co_return reply;
        }
        socket = take_idle(to);
    }
    struct Use {
        HttpClient& c;
        explicit Use(HttpClient& client) : c(client) { ++c.in_use_; }
        ~Use() {
            --c.in_use_;
            c.closed_.notify_all();
        }
        Use(const Use&) = delete;
        Use& operator=(const Use&) = delete;
    } use{*this};
    if (!socket) {
        auto fresh = co_await connect(loop_, to, deadline);
        if (!fresh) {
            reply.never_sent = true;
            co_return reply;
        }
        socket.emplace(std::move(*fresh));
    }
    std::string out;
    out.reserve(160 + target.size() + body.size());
    out += method;
    out += ' ';
    out += target;
    out += " HTTP/1.1\r\nHost: hatchwind\r\nContent-Type: application/cbor\r\nContent-Length: ";
    out += std::to_string(body.size());
    out += "\r\n\r\n";
    out += body;
    const bool sent = co_await socket->write(out, deadline);
    if (!sent) co_return reply;
    auto m = std::make_unique<Message>(HTTP_RESPONSE, most_bytes);
    std::array<char, 8192> buffer;
    while (!m->complete) {
        const auto n = co_await socket->read(buffer.data(), buffer.size(), deadline);
        if (!n) co_return reply;
        std::size_t used = 0;
        if (!feed(*m, std::string_view(buffer.data(), *n), used)) co_return reply;
        if (*n == 0 && !m->complete) co_return reply;
    }
    // An answer beyond the limit is malformed: treated as no answer.
    if (m->too_large) {
        reply.too_large = true;
        co_return reply;
    }
    reply.status = static_cast<int>(m->parser.status_code);
    reply.body = std::move(m->body);
    reply.retry_after_s = m->retry_after_s;
    if (m->keep_alive) keep(to, std::move(*socket));
    co_return reply;
}

}  // namespace hatchwind::io
