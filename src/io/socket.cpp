#include "io/socket.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <charconv>
#include <string>

namespace hatchwind::io {

std::optional<Address> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) return std::nullopt;
    const std::string host{text.substr(0, colon)};
    in_addr ip{};
    if (::inet_pton(AF_INET, host.c_str(), &ip) != 1) return std::nullopt;
    const auto port_text = text.substr(colon + 1);
    const char* const port_end = port_text.data() + port_text.size();
    std::uint16_t port = 0;
    const auto [parsed_end, error] = std::from_chars(port_text.data(), port_end, port);
    if (error != std::errc{} || parsed_end != port_end || port == 0) return std::nullopt;
    return Address{ntohl(ip.s_addr), port};
}

Task<base::Result<std::size_t, IoError>> Socket::read(char* destination, std::size_t capacity,
                                                      Micros deadline) {
    while (true) {
        const Transfer received = stream_->receive(destination, capacity);
        if (received.outcome == Transfer::Outcome::moved) co_return received.bytes;
        if (received.outcome == Transfer::Outcome::failed) co_return IoError::failed;
        const bool ready = co_await stream_->readable.wait(deadline);
        if (!ready) co_return IoError::timed_out;
    }
}

Task<base::Result<void, IoError>> Socket::write(std::string_view data, Micros deadline) {
    while (!data.empty()) {
        const Transfer sent = stream_->send(data);
        if (sent.outcome == Transfer::Outcome::moved) {
            data.remove_prefix(sent.bytes);
            continue;
        }
        if (sent.outcome == Transfer::Outcome::failed) co_return IoError::failed;
        const bool ready = co_await stream_->writable.wait(deadline);
        if (!ready) co_return IoError::timed_out;
    }
    co_return base::Result<void, IoError>{};
}

Task<base::Result<Socket, IoError>> connect(Loop& loop, Address to, Micros deadline) {
    return loop.transport().connect(loop, to, deadline);
}

Listener::Listener(Loop& loop, Address at) : acceptor_(loop.transport().listen(loop, at)) {}

Task<Socket> Listener::accept() { return acceptor_->accept(); }

}  // namespace hatchwind::io
