// Where a loop's connections go: byte streams behind a small interface, so that the same programs run over
// TCP or over a simulated network. A loop is given its transport at construction.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "io/loop.hpp"
#include "io/task.hpp"

namespace hatchwind::io {

struct Address;
class Socket;

// What became of one attempt to move bytes.
struct Transfer {
    enum class Outcome : std::uint8_t {
        moved,        // `bytes` of them; receiving 0 bytes means the end of the stream
        would_block,  // wait for the stream's signal and try again
        failed,       // the connection is broken
    };
    Outcome outcome = Outcome::failed;
    std::size_t bytes = 0;
};

// One end of a connection. Destroying it closes the connection.
class Stream {
  public:
    explicit Stream(Loop& loop) : readable(loop), writable(loop) {}
    virtual ~Stream() = default;
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    virtual Transfer receive(char* into, std::size_t capacity) = 0;
    virtual Transfer send(std::string_view data) = 0;
    // True when there is something to receive, the end of the stream and a failure included.
    virtual bool has_input() const = 0;
    // Ends the stream in both directions; the object stays.
    virtual void shut() = 0;

    Signal readable;
    Signal writable;
};

class Acceptor {
  public:
    virtual ~Acceptor() = default;
    virtual Task<Socket> accept() = 0;
};

class Transport {
  public:
    // Nothing when the connection was refused or was not there by the deadline.
    virtual Task<std::optional<Socket>> connect(Loop& loop, Address to, Micros deadline) = 0;
    // Throws std::system_error when the address can't be had.
    virtual std::unique_ptr<Acceptor> listen(Loop& loop, Address at) = 0;

  protected:
    ~Transport() = default;
};

// The machine's own network.
Transport& tcp_transport();

}  // namespace hatchwind::io
