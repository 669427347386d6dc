#include "io/socket.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <system_error>

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
}  // namespace

std::optional<Address> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) return std::nullopt;
    const std::string host{text.substr(0, colon)};
    in_addr ip{};
    if (::inet_pton(AF_INET, host.c_str(), &ip) != 1) return std::nullopt;
    const auto port_text = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, ec] = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
    if (ec != std::errc{} || end != port_text.data() + port_text.size() || port == 0) return std::nullopt;
    return Address{ntohl(ip.s_addr), port};
}

Task<std::optional<std::size_t>> Socket::read(char* into, std::size_t room, Micros deadline) {
    while (true) {
        const auto n = ::recv(watch_->fd(), into, room, 0);
        if (n >= 0) co_return static_cast<std::size_t>(n);
        if (errno == EINTR) continue;
        if (!would_block()) co_return std::nullopt;
        const bool ready = co_await watch_->readable.wait(deadline);
        if (!ready) co_return std::nullopt;
    }
}

Task<bool> Socket::write(std::string_view data, Micros deadline) {
    while (!data.empty()) {
        const auto n = ::send(watch_->fd(), data.data(), data.size(), MSG_NOSIGNAL);
        if (n >= 0) {
            data.remove_prefix(static_cast<std::size_t>(n));
            continue;
        }
        if (errno == EINTR) continue;
        if (!would_block()) co_return false;
        const bool ready = co_await watch_->writable.wait(deadline);
        if (!ready) co_return false;
    }
    co_return true;
}

bool Socket::is_stale() const {
    char c = 0;
    const auto n = ::recv(watch_->fd(), &c, 1, MSG_PEEK);
    return n >= 0 || !would_block();
}

void Socket::shut() { ::shutdown(watch_->fd(), SHUT_RDWR); }

Task<std::optional<Socket>> connect(Loop& loop, Address to, Micros deadline) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) co_return std::nullopt;
    no_delay(fd);
    auto watch = std::make_unique<FdWatch>(loop, fd);
    const auto addr = to_sockaddr(to);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&addr), sizeof addr) != 0) {
        if (errno != EINPROGRESS) co_return std::nullopt;
        const bool ready = co_await watch->writable.wait(deadline);
        if (!ready) co_return std::nullopt;
        int err = 0;
        socklen_t len = sizeof err;
        if (::getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &len) != 0 || err != 0) co_return std::nullopt;
    }
    co_return Socket{std::move(watch)};
}

Listener::Listener(Loop& loop, Address at) : loop_(loop) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) throw std::system_error(errno, std::generic_category(), "socket");
    watch_ = std::make_unique<FdWatch>(loop, fd);
    const int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const auto addr = to_sockaddr(at);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&addr), sizeof addr) != 0 || ::listen(fd, 256) != 0) {
        throw std::system_error(errno, std::generic_category(), "listen");
    }
}

Task<Socket> Listener::accept() {
    while (true) {
        const int fd = ::accept4(watch_->fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd >= 0) {
            no_delay(fd);
            co_return Socket{std::make_unique<FdWatch>(loop_, fd)};
        }
        if (errno == EINTR || errno == ECONNABORTED) continue;
        if (would_block()) {
            co_await watch_->readable.wait();
        } else {
            // Out of sockets: wait for some to close. Edge-triggered readiness would not come again.
            co_await loop_.sleep(Micros{100'000});
        }
    }
}

}  // namespace hatchwind::io
