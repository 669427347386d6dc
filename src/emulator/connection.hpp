// The two ends of a simulated connection; used by the network alone.
#pragma once

#include <array>
#include <string>

#include "emulator/network.hpp"

namespace hatchwind::emulator {

class SimulatedStream;

// One direction of a connection.
struct Way {
    std::string arrived;
    std::size_t read = 0;         // of what arrived
    std::size_t outstanding = 0;  // sent and not read yet
    bool ended = false;           // the sender's last word has arrived
    bool lost = false;            // a cut swallowed a packet: nothing after it can be delivered
    bool sender_waits = false;    // for the window to open
    io::Micros last_arrival{0};   // packets of one direction stay in order
};

struct Connection {
    std::array<Host*, 2> hosts{};            // who connected, who accepted
    std::array<SimulatedStream*, 2> ends{};  // null: closed, or not there yet
    std::array<bool, 2> reset{};             // the end has been told that the connection is broken
    std::array<Way, 2> ways;                 // by the sending end
    io::Address to;
    bool opened = false;  // who connected knows it
};

class SimulatedStream final : public io::Stream {
  public:
    SimulatedStream(Network& network, std::shared_ptr<Connection> connection, int end);
    ~SimulatedStream() override;
    io::Transfer receive(char* into, std::size_t capacity) override;
    io::Transfer send(std::string_view data) override;
    bool has_input() const override;
    void shut_down() override;
    bool is_shut() const { return shut_; }

  private:
    Way& incoming() const { return connection_->ways[static_cast<std::size_t>(1 - end_)]; }
    Way& outgoing() const { return connection_->ways[static_cast<std::size_t>(end_)]; }
    bool reset() const { return connection_->reset[static_cast<std::size_t>(end_)]; }
    void open_window();

    Network& network_;
    std::shared_ptr<Connection> connection_;
    int end_;
    bool shut_ = false;
};

class SimulatedAcceptor final : public io::Acceptor {
  public:
    SimulatedAcceptor(Network& network, Host& host, io::Address at);
    ~SimulatedAcceptor() override;
    io::Task<io::Socket> accept() override;
    // False when too many wait already.
    bool offer(std::unique_ptr<SimulatedStream> stream);
    const Host& host() const { return host_; }

  private:
    Network& network_;
    Host& host_;
    io::Address at_;
    io::Signal ready_;
    std::deque<std::unique_ptr<SimulatedStream>> waiting_;
};

}  // namespace hatchwind::emulator
