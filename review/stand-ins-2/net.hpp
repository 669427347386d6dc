// Small blocking HTTP/1.1 server and client on loopback, a thread for each connection, and a TCP relay.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline Clock::time_point& origin() {
    static Clock::time_point at = Clock::now();
    return at;
}
/// Seconds since the program began.
inline double now_s() { return std::chrono::duration<double>(Clock::now() - origin()).count(); }
inline void sleep_s(double seconds) {
    if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline std::string to_cbor(const Json& value) {
    std::string body;
    Json::to_cbor(value, body);
    return body;
}
inline Json from_cbor(const std::string& body) {
    if (body.empty()) return Json::object();
    Json value = Json::from_cbor(body, true, false);
    return value.is_discarded() ? Json::object() : value;
}

struct Response {
    int status = 200;
    Json body = Json::object();
    bool hang_up = false;  // close the connection without an answer
};

/// What happens on the way between two parties.
enum class Way {
    open,
    reset,   // connections are reset, new ones too
    refuse,  // the service answers 503
    hold,    // nothing is answered until the way is open again
};

inline int listen_on_loopback(std::uint16_t port = 0) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(port);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}
inline std::uint16_t port_of(int fd) {
    sockaddr_in at{};
    socklen_t size = sizeof at;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    return ntohs(at.sin_port);
}
/// A port that is free now, below those that the system hands out by itself.
inline std::uint16_t free_port() {
    static std::random_device device;
    while (true) {
        const auto port = static_cast<std::uint16_t>(10'000 + device() % 22'000);
        const int fd = listen_on_loopback(port);
        if (fd < 0) continue;
        ::close(fd);
        return port;
    }
}
inline std::string address_of(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

inline void close_with_reset(int fd) {
    const linger abort{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    ::shutdown(fd, SHUT_RDWR);
}

inline bool write_all(int fd, const std::string& data, double deadline) {
    std::size_t sent = 0;
    while (sent < data.size()) {
        pollfd ready{fd, POLLOUT, 0};
        const int wait_ms = static_cast<int>((deadline - now_s()) * 1000);
        if (wait_ms <= 0 || ::poll(&ready, 1, wait_ms) <= 0) return false;
        const auto count = ::send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) {
            sent += static_cast<std::size_t>(count);
        } else if (errno != EAGAIN && errno != EINTR) {
            return false;
        }
    }
    return true;
}

/// Appends what arrives. False at the deadline, at the end of the stream and at an error.
inline bool read_more(int fd, std::string& data, double deadline) {
    while (true) {
        pollfd ready{fd, POLLIN, 0};
        const int wait_ms = static_cast<int>((deadline - now_s()) * 1000) + 1;
        if (deadline <= now_s() || ::poll(&ready, 1, wait_ms) <= 0) return false;
        char buffer[16384];
        const auto count = ::recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);
        if (count > 0) {
            data.append(buffer, static_cast<std::size_t>(count));
            return true;
        }
        if (count == 0 || (errno != EAGAIN && errno != EINTR)) return false;
    }
}

struct Message {
    std::string first_line;
    std::string body;
    bool closes = false;
};

/// Reads one message, and leaves in `data` what follows it.
inline std::optional<Message> read_message(int fd, std::string& data, double deadline) {
    std::size_t head_end = std::string::npos;
    while ((head_end = data.find("\r\n\r\n")) == std::string::npos)
        if (!read_more(fd, data, deadline)) return std::nullopt;
    std::string head = data.substr(0, head_end);
    Message message;
    message.first_line = head.substr(0, head.find("\r\n"));
    for (char& c : head) c = static_cast<char>(::tolower(static_cast<unsigned char>(c)));
    std::size_t length = 0;
    if (const auto at = head.find("\r\ncontent-length:"); at != std::string::npos)
        length = std::strtoul(head.c_str() + at + 17, nullptr, 10);
    message.closes = head.find("\r\nconnection: close") != std::string::npos;
    data.erase(0, head_end + 4);
    while (data.size() < length)
        if (!read_more(fd, data, deadline)) return std::nullopt;
    message.body = data.substr(0, length);
    data.erase(0, length);
    return message;
}

/// A server on a port of its own; `way` tells how it treats its clients.
class Server {
  public:
    using Handler = std::function<Response(const std::string& method, const std::string& target,
                                           const std::string& body)>;
    explicit Server(Handler handler) : handler_(std::move(handler)), fd_(listen_on_loopback()) {
        port_ = port_of(fd_);
        acceptor_ = std::thread([this] { accept_for_good(); });
    }
    ~Server() { stop(); }
    std::uint16_t port() const { return port_; }
    std::string address() const { return address_of(port_); }

    void set_way(Way way) {
        way_ = way;
        if (way == Way::reset) reset_all();
    }
    Way way() const { return way_; }

    /// Ends all connections; later ones are refused.
    void stop() {
        if (stopped_.exchange(true)) return;
        ::shutdown(fd_, SHUT_RDWR);
        acceptor_.join();
        ::close(fd_);
        reset_all();
        while (open_ > 0) sleep_s(0.005);
    }

  private:
    void reset_all() {
        const std::lock_guard lock(mutex_);
        for (const int fd : connections_) close_with_reset(fd);
    }
    void accept_for_good() {
        while (!stopped_) {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (stopped_) return;
                sleep_s(0.01);
                continue;
            }
            if (way_ == Way::reset || stopped_) {
                close_with_reset(fd);
                ::close(fd);
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            ++open_;
            {
                const std::lock_guard lock(mutex_);
                connections_.insert(fd);
            }
            std::thread([this, fd] {
                serve(fd);
                {
                    const std::lock_guard lock(mutex_);
                    connections_.erase(fd);
                }
                ::close(fd);
                --open_;
            }).detach();
        }
    }
    void serve(int fd) {
        std::string data;
        while (!stopped_) {
            auto request = read_message(fd, data, now_s() + 600);
            if (!request) return;
            while (way_ == Way::hold && !stopped_) sleep_s(0.005);
            if (way_ == Way::reset || stopped_) return;
            const auto space = request->first_line.find(' ');
            const auto end = request->first_line.find(' ', space + 1);
            const std::string method = request->first_line.substr(0, space);
            const std::string target = request->first_line.substr(space + 1, end - space - 1);
            const Response response = handler_(method, target, request->body);
            while (way_ == Way::hold && !stopped_) sleep_s(0.005);
            if (response.hang_up || way_ == Way::reset) return;
            const std::string body = to_cbor(response.body);
            std::string text = "HTTP/1.1 " + std::to_string(response.status) +
                               " Answer\r\nContent-Type: application/cbor\r\nContent-Length: " +
                               std::to_string(body.size()) + "\r\n\r\n" + body;
            if (!write_all(fd, text, now_s() + 30) || request->closes) return;
        }
    }

    Handler handler_;
    int fd_;
    std::uint16_t port_ = 0;
    std::atomic<Way> way_{Way::open};
    std::atomic<bool> stopped_{false};
    std::atomic<int> open_{0};
    std::mutex mutex_;
    std::set<int> connections_;
    std::thread acceptor_;
};

struct Reply {
    int status = 0;  // 0: no response
    Json body = Json::object();
};

/// One request on a connection of its own.
inline Reply call(std::uint16_t port, const std::string& method, const std::string& target, const Json& body,
                  double timeout_s, const std::string* raw_body = nullptr) {
    const double deadline = now_s() + timeout_s;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    to.sin_port = htons(port);
    Reply reply;
    if (::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
        ::close(fd);
        return reply;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const std::string encoded = raw_body != nullptr ? *raw_body : method == "GET" ? "" : to_cbor(body);
    const std::string text = method + " " + target +
                             " HTTP/1.1\r\nHost: localhost\r\nContent-Type: application/cbor\r\n"
                             "Connection: close\r\nContent-Length: " +
                             std::to_string(encoded.size()) + "\r\n\r\n" + encoded;
    std::string data;
    if (write_all(fd, text, deadline)) {
        if (const auto answer = read_message(fd, data, deadline)) {
            reply.status = std::atoi(answer->first_line.c_str() + 9);
            reply.body = from_cbor(answer->body);
        }
    }
    ::close(fd);
    return reply;
}

/// Passes bytes on between two controllers. Closed: connections are refused or held.
class Relay {
  public:
    explicit Relay(std::uint16_t to) : to_(to), fd_(listen_on_loopback()) {
        port_ = port_of(fd_);
        acceptor_ = std::thread([this] { accept_for_good(); });
    }
    ~Relay() {
        stopped_ = true;
        ::shutdown(fd_, SHUT_RDWR);
        acceptor_.join();
        ::close(fd_);
        while (open_ > 0) sleep_s(0.005);
    }
    std::uint16_t port() const { return port_; }
    void set_way(Way way) { way_ = way; }

  private:
    void accept_for_good() {
        while (!stopped_) {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (stopped_) return;
                sleep_s(0.01);
                continue;
            }
            if (way_ == Way::reset) {
                close_with_reset(fd);
                ::close(fd);
                continue;
            }
            ++open_;
            std::thread([this, fd] {
                pass(fd);
                --open_;
            }).detach();
        }
    }
    void pass(int near) {
        const int far = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        to.sin_port = htons(to_);
        bool fine = ::connect(far, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0;
        while (fine && !stopped_ && way_ != Way::reset) {
            if (way_ == Way::hold) {
                sleep_s(0.005);
                continue;
            }
            pollfd ready[2] = {{near, POLLIN, 0}, {far, POLLIN, 0}};
            if (::poll(ready, 2, 20) <= 0) continue;
            for (int side = 0; side < 2 && fine; ++side) {
                if (ready[side].revents == 0) continue;
                char buffer[16384];
                const auto count = ::recv(ready[side].fd, buffer, sizeof buffer, 0);
                fine = count > 0 && write_all(side == 0 ? far : near,
                                              std::string(buffer, static_cast<std::size_t>(count)),
                                              now_s() + 5);
            }
        }
        close_with_reset(near);
        ::close(near);
        ::close(far);
    }

    std::uint16_t to_;
    int fd_;
    std::uint16_t port_ = 0;
    std::atomic<Way> way_{Way::open};
    std::atomic<bool> stopped_{false};
    std::atomic<int> open_{0};
    std::thread acceptor_;
};

}  // namespace standin
