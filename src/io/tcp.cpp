/// The transport of production: non-blocking TCP over IPv4, watched by the loop's epoll.
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <system_error>

#include "io/socket.hpp"
#include "io/transport.hpp"

namespace hatchwind::io {

namespace {

/// How long to wait before another connection is accepted when the process is out of descriptors.
constexpr Micros kAcceptRetryInterval{100'000};

sockaddr_in to_socket_address(Address address) {
    sockaddr_in converted{};
    converted.sin_family = AF_INET;
    converted.sin_addr.s_addr = htonl(address.ip);
    converted.sin_port = htons(address.port);
    return converted;
}

void enable_option(int fd, int level, int option) {
    const int enabled = 1;
    ::setsockopt(fd, level, option, &enabled, sizeof enabled);
}
/// Requests and responses are written whole, so waiting for more to send with them only delays them.
void send_without_delay(int fd) { enable_option(fd, IPPROTO_TCP, TCP_NODELAY); }

/// A new socket, or -1 with `errno`.
int open_socket() { return ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

/// Whether the call that just failed has to be repeated once the descriptor is ready.
bool would_block() { return errno == EAGAIN || errno == EWOULDBLOCK; }

class TcpStream final : public Stream {
  public:
    TcpStream(Loop& loop, int fd) : Stream(loop), watch_(loop, fd, readable, writable) {}

    Transfer receive(char* destination, std::size_t capacity) override {
        return transfer([&] { return ::recv(watch_.fd(), destination, capacity, 0); });
    }
    Transfer send(std::string_view data) override {
        return transfer([&] { return ::send(watch_.fd(), data.data(), data.size(), MSG_NOSIGNAL); });
    }
    bool has_input() const override {
        char next = 0;
        const auto received = ::recv(watch_.fd(), &next, sizeof next, MSG_PEEK);
        return received >= 0 || !would_block();
    }
    void shut_down() override { ::shutdown(watch_.fd(), SHUT_RDWR); }

    /// Starts connecting. False: failed at once. Otherwise the stream becomes writable when it is decided.
    bool start_connecting(Address to) {
        const auto address = to_socket_address(to);
        return ::connect(watch_.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 ||
               errno == EINPROGRESS;
    }
    /// Once it is decided: whether the connection was established.
    bool is_connected() const {
        int error = 0;
        socklen_t length = sizeof error;
        return ::getsockopt(watch_.fd(), SOL_SOCKET, SO_ERROR, &error, &length) == 0 && error == 0;
    }

  private:
    template <typename SystemCall>
    static Transfer transfer(SystemCall system_call) {
        while (true) {
            const auto bytes = system_call();
            if (bytes >= 0) return {Transfer::Outcome::moved, static_cast<std::size_t>(bytes)};
            if (errno == EINTR) continue;
            return {would_block() ? Transfer::Outcome::would_block : Transfer::Outcome::failed, 0};
        }
    }

    FdWatch watch_;
};

class TcpAcceptor final : public Acceptor {
  public:
    TcpAcceptor(Loop& loop, int fd)
        : loop_(loop), readable_(loop), writable_(loop), watch_(loop, fd, readable_, writable_) {}

    Task<Socket> accept() override {
        while (true) {
            const int fd = ::accept4(watch_.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd >= 0) {
                send_without_delay(fd);
                co_return Socket{std::make_unique<TcpStream>(loop_, fd)};
            }
            if (errno == EINTR || errno == ECONNABORTED) continue;
            if (would_block()) {
                co_await readable_.wait();
            } else {
                // Out of descriptors: wait for some to close. Edge-triggered readiness would not come again.
                co_await loop_.sleep(kAcceptRetryInterval);
            }
        }
    }

  private:
    Loop& loop_;
    Signal readable_;
    Signal writable_;  // the watch needs one; a listening descriptor never becomes writable
    FdWatch watch_;
};

class TcpTransport final : public Transport {
  public:
    Task<base::Result<Socket, IoError>> connect(Loop& loop, Address to, Micros deadline) override {
        const int fd = open_socket();
        if (fd < 0) co_return IoError::failed;
        send_without_delay(fd);
        auto stream = std::make_unique<TcpStream>(loop, fd);
        const bool started = stream->start_connecting(to);
        if (!started) co_return IoError::failed;
        const bool decided = co_await stream->writable.wait(deadline);
        if (!decided) co_return IoError::timed_out;
        if (!stream->is_connected()) co_return IoError::failed;
        co_return Socket{std::move(stream)};
    }

    std::unique_ptr<Acceptor> listen(Loop& loop, Address at) override {
        const int fd = open_socket();
        if (fd < 0) throw std::system_error(errno, std::generic_category(), "socket");
        auto acceptor = std::make_unique<TcpAcceptor>(loop, fd);
        enable_option(fd, SOL_SOCKET, SO_REUSEADDR);
        const auto address = to_socket_address(at);
        if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
            ::listen(fd, SOMAXCONN) != 0)
            throw std::system_error(errno, std::generic_category(), "listen");
        return acceptor;
    }
};

}  // namespace

Transport& tcp_transport() {
    static TcpTransport transport;
    return transport;
}

}  // namespace hatchwind::io
