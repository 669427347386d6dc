// Non-blocking TCP over IPv4, watched by the loop's epoll.
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <system_error>

#include "io/socket.hpp"
#include "io/transport.hpp"

namespace hatchwind::io {

namespace {

sockaddr_in to_sockaddr(Address a) {
    sockaddr_in s{};
    s.sin_family = AF_INET;
    s.sin_addr.s_addr = htonl(a.ip);
    s.sin_port = htons(a.port);
    return s;
}
void no_delay(int fd) {
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}
bool would_block() { return errno == EAGAIN || errno == EWOULDBLOCK; }

class TcpStream final : public Stream {
  public:
    TcpStream(Loop& loop, int fd) : Stream(loop), watch_(loop, fd, readable, writable) {}

    Transfer receive(char* into, std::size_t capacity) override {
        return moved([&] { return ::recv(watch_.fd(), into, capacity, 0); });
    }
    Transfer send(std::string_view data) override {
        return moved([&] { return ::send(watch_.fd(), data.data(), data.size(), MSG_NOSIGNAL); });
    }
    bool has_input() const override {
        char c = 0;
        const auto n = ::recv(watch_.fd(), &c, 1, MSG_PEEK);
        return n >= 0 || !would_block();
    }
    void shut() override { ::shutdown(watch_.fd(), SHUT_RDWR); }

    // Starts connecting. False: failed at once. Otherwise the stream becomes writable when it is decided.
    bool start_connect(Address to) {
        const auto addr = to_sockaddr(to);
        return ::connect(watch_.fd(), reinterpret_cast<const sockaddr*>(&addr), sizeof addr) == 0 ||
               errno == EINPROGRESS;
    }
    bool connected() const {
        int error = 0;
        socklen_t length = sizeof error;
        return ::getsockopt(watch_.fd(), SOL_SOCKET, SO_ERROR, &error, &length) == 0 && error == 0;
    }

  private:
    template <typename Call>
    static Transfer moved(Call call) {
        while (true) {
            const auto n = call();
            if (n >= 0) return {Transfer::Outcome::moved, static_cast<std::size_t>(n)};
            if (errno == EINTR) continue;
            return {would_block() ? Transfer::Outcome::would_block : Transfer::Outcome::failed, 0};
        }
    }
    FdWatch watch_;
};

class TcpAcceptor final : public Acceptor {
  public:
    TcpAcceptor(Loop& loop, int fd)
        : loop_(loop), readable_(loop), unused_(loop), watch_(loop, fd, readable_, unused_) {}

    Task<Socket> accept() override {
        while (true) {
            const int fd = ::accept4(watch_.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd >= 0) {
                no_delay(fd);
                co_return Socket{std::make_unique<TcpStream>(loop_, fd)};
            }
            if (errno == EINTR || errno == ECONNABORTED) continue;
            if (would_block()) {
                co_await readable_.wait();
            } else {
                // Out of sockets: wait for some to close. Edge-triggered readiness would not come again.
                co_await loop_.sleep(Micros{100'000});
            }
        }
    }

  private:
    Loop& loop_;
    Signal readable_;
    Signal unused_;
    FdWatch watch_;
};

class TcpTransport final : public Transport {
  public:
    Task<std::optional<Socket>> connect(Loop& loop, Address to, Micros deadline) override {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (fd < 0) co_return std::nullopt;
        no_delay(fd);
        auto stream = std::make_unique<TcpStream>(loop, fd);
        const bool started = stream->start_connect(to);
        if (!started) co_return std::nullopt;
        const bool decided = co_await stream->writable.wait(deadline);
        if (!decided || !stream->connected()) co_return std::nullopt;
        co_return Socket{std::move(stream)};
    }

    std::unique_ptr<Acceptor> listen(Loop& loop, Address at) override {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (fd < 0) throw std::system_error(errno, std::generic_category(), "socket");
        auto acceptor = std::make_unique<TcpAcceptor>(loop, fd);
        const int one = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        const auto addr = to_sockaddr(at);
        if (::bind(fd, reinterpret_cast<const sockaddr*>(&addr), sizeof addr) != 0 ||
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
