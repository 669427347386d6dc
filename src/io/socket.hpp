/// Connections: addresses, sockets and listeners over the loop's transport.
///
/// A `Socket` owns its connection, and is itself owned by the coroutine that serves it: cancelling that one
/// closes the connection. One coroutine at a time reads, and one writes. All deadlines are of the monotonic
/// clock.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "base/result.hpp"
#include "io/loop.hpp"
#include "io/task.hpp"
#include "io/transport.hpp"

namespace hatchwind::io {

/// An IPv4 address with a port.
struct Address {
    std::uint32_t ip = 0;    ///< in the host's byte order
    std::uint16_t port = 0;  ///< in the host's byte order
    friend bool operator==(const Address&, const Address&) = default;
    friend auto operator<=>(const Address&, const Address&) = default;
};
/// Accepts "1.2.3.4:80", with a port from 1 on, and nothing else: host names are not resolved.
std::optional<Address> parse_address(std::string_view text);

/// One end of an established connection.
class Socket {
  public:
    explicit Socket(std::unique_ptr<Stream> stream) : stream_(std::move(stream)) {}

    /// Waits for bytes, and returns how many were read to `destination`: at most `capacity`, and 0 at the end
    /// of the stream. `destination` must outlive the call.
    Task<base::Result<std::size_t, IoError>> read(char* destination, std::size_t capacity, Micros deadline);
    /// Hands all of `data` to the transport, or fails; the other end may have got a part of it then. `data`
    /// must outlive the call.
    Task<base::Result<void, IoError>> write(std::string_view data, Micros deadline);
    /// True when a connection on which nothing is expected has been closed, or has received something all the
    /// same.
    bool is_stale() const { return stream_->has_input(); }
    /// Ends the connection in both directions: whoever waits for its bytes sees the end of the stream.
    void shut_down() { stream_->shut_down(); }

  private:
    std::unique_ptr<Stream> stream_;
};

/// Establishes a connection over the loop's transport.
Task<base::Result<Socket, IoError>> connect(Loop& loop, Address to, Micros deadline);

/// Accepts connections to an address for as long as it lives.
class Listener {
  public:
    /// Throws std::system_error when the address can't be had.
    Listener(Loop& loop, Address at);
    /// Waits for the next connection. Cancelling the call loses none.
    Task<Socket> accept();

  private:
    std::unique_ptr<Acceptor> acceptor_;
};

}  // namespace hatchwind::io
