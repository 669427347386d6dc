/// Where a loop's connections go: byte streams behind small interfaces, so that the same programs run over
/// TCP or over a simulated network. A loop is given its transport at construction; only `socket.hpp` uses
/// these interfaces.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

#include "base/result.hpp"
#include "io/loop.hpp"
#include "io/task.hpp"

namespace hatchwind::io {

struct Address;
class Socket;

/// Why an operation on a connection did not succeed.
enum class IoError : std::uint8_t {
    timed_out,  ///< its deadline came first
    failed,     ///< the connection was refused, or it is broken
};

/// What became of one attempt to move bytes, which never waits.
struct Transfer {
    enum class Outcome : std::uint8_t {
        moved,        ///< `bytes` of them; receiving 0 bytes means the end of the stream
        would_block,  ///< wait for the stream's signal and try again
        failed,       ///< the connection is broken
    };
    Outcome outcome = Outcome::failed;
    std::size_t bytes = 0;
};

/// One end of a connection. Destroying it closes the connection.
class Stream {
  public:
    explicit Stream(Loop& loop) : readable(loop), writable(loop) {}
    virtual ~Stream() = default;
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    /// Receives up to `capacity` bytes to `destination`.
    virtual Transfer receive(char* destination, std::size_t capacity) = 0;
    /// Sends as many of the first bytes of `data` as the stream takes now.
    virtual Transfer send(std::string_view data) = 0;
    /// True when there is something to receive, the end of the stream and a failure included.
    virtual bool has_input() const = 0;
    /// Ends the stream in both directions. Whoever waits for it is notified; the object stays.
    virtual void shut_down() = 0;

    Signal readable;  ///< notified when `receive()` may do more than it did
    Signal
        writable;  ///< notified when `send()` may do more than it did, and when a connection is established
};

/// A listening address. Destroying it stops the listening; connections that were accepted stay.
class Acceptor {
  public:
    virtual ~Acceptor() = default;
    /// Waits for the next connection, without a deadline.
    virtual Task<Socket> accept() = 0;
};

/// A network. Outlives the loops that use it.
class Transport {
  public:
    /// Establishes a connection until `deadline` (monotonic).
    virtual Task<base::Result<Socket, IoError>> connect(Loop& loop, Address to, Micros deadline) = 0;
    /// Throws std::system_error when the address can't be had.
    virtual std::unique_ptr<Acceptor> listen(Loop& loop, Address at) = 0;

  protected:
    ~Transport() = default;
};

/// The machine's own network: TCP over IPv4.
Transport& tcp_transport();

}  // namespace hatchwind::io
