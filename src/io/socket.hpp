// Connections: addresses, sockets and listeners over the loop's transport.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "io/loop.hpp"
#include "io/task.hpp"
#include "io/transport.hpp"

namespace hatchwind::io {

struct Address {
    std::uint32_t ip = 0;  // host order
    std::uint16_t port = 0;
    friend bool operator==(const Address&, const Address&) = default;
    friend auto operator<=>(const Address&, const Address&) = default;
};
// Accepts "1.2.3.4:80" and nothing else.
std::optional<Address> parse_address(std::string_view text);

class Socket {
  public:
    explicit Socket(std::unique_ptr<Stream> stream) : stream_(std::move(stream)) {}

    // Bytes read; 0 at the end of the stream; nothing on an error or at the deadline.
    Task<std::optional<std::size_t>> read(char* into, std::size_t capacity, Micros deadline);
    // Writes everything, or says that it could not.
    Task<bool> write(std::string_view data, Micros deadline);
    // True when an idle connection has been closed, or has said something that nobody asked for.
    bool is_stale() const { return stream_->has_input(); }
    // Ends the connection: whoever waits for its bytes sees the end of the stream.
    void shut() { stream_->shut(); }

  private:
    std::unique_ptr<Stream> stream_;
};

Task<std::optional<Socket>> connect(Loop& loop, Address to, Micros deadline);

class Listener {
  public:
    Listener(Loop& loop, Address at);
    Task<Socket> accept();

  private:
    std::unique_ptr<Acceptor> acceptor_;
};

}  // namespace hatchwind::io
