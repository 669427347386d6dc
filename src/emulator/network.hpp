// The simulated network: byte streams between hosts with latency and jitter, that can be cut, held, delayed,
// refused and reset. Bandwidth is not modelled.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "io/socket.hpp"

namespace hatchwind::emulator {

class Host;
class World;
class Network;
struct Connection;
class SimulatedAcceptor;

// What a cut does with packets that meet it.
enum class CutMode : std::uint8_t {
    hold,    // they wait, and arrive in order when the cut heals
    lose,    // they vanish, and what the connection sends that way stays without an answer for good
    refuse,  // a packet filter: connection attempts are refused, open connections reset
};

struct Latency {
    io::Micros base{0};
    io::Micros jitter{0};  // up to so much more
};

struct NetworkOptions {
    Latency same_zone{io::Micros{150}, io::Micros{150}};
    Latency between_zones{io::Micros{500}, io::Micros{500}};
    Latency region{io::Micros{400}, io::Micros{400}};  // with one end in no zone
    std::size_t window_bytes = 256 * 1024;             // under way or not read yet, one way
    std::size_t backlog = 256;                         // connections that nobody has accepted yet
};

using CutId = std::uint64_t;

// Where a host stands in a cut.
enum class Side : std::uint8_t { neither, one, two };

// A piece of a connection's life, from one end to the other.
struct Packet {
    enum class Kind : std::uint8_t { open, opened, data, end, reset };
    std::shared_ptr<Connection> connection;
    int from_end = 0;  // 0: who connected, 1: who accepted
    Kind kind = Kind::data;
    std::string bytes;
};

// The transport of one host's loop.
class HostNetwork final : public io::Transport {
  public:
    HostNetwork(Network& network, Host& host) : network_(network), host_(host) {}
    io::Task<base::Result<io::Socket, io::IoError>> connect(io::Loop& loop, io::Address to,
                                                            io::Micros deadline) override;
    std::unique_ptr<io::Acceptor> listen(io::Loop& loop, io::Address at) override;

  private:
    Network& network_;
    Host& host_;
};

class Network {
  public:
    Network(World& world, NetworkOptions options, std::uint64_t seed);

    // Cuts every path that leads from one of `from` to one of `to`; for both directions cut twice, or use
    // cut_between(). Cuts may overlap; the hardest holds (refuse before lose before hold).
    CutId cut(const std::vector<const Host*>& from, const std::vector<const Host*>& to, CutMode mode);
    // Cuts both ways between whoever is on side one and whoever is on side two, hosts that come later
    // included.
    CutId cut_sides(std::function<Side(const Host&)> side_of, CutMode mode);
    CutId cut_between(const std::vector<const Host*>& one, const std::vector<const Host*>& other,
                      CutMode mode);
    void heal(CutId id);
    // The next `count` pieces of data from one host to the other arrive so much later, each connection's
    // pieces in order. This is how copies come late: whoever sent them has mostly given up by then.
    void delay_next(const Host& from, const Host& to, std::size_t count, io::Micros by);
    // More latency on a path, until set to 0.
    void slow(const Host& from, const Host& to, io::Micros by);

    std::uint64_t packets() const { return packets_; }

  private:
    friend class HostNetwork;
    friend class Host;
    friend class World;
    friend class SimulatedStream;
    friend class SimulatedAcceptor;
    using PathKey = std::pair<std::size_t, std::size_t>;  // indexes of hosts
    struct Path {
        std::map<CutId, CutMode> cuts;
        std::deque<Packet> held;
        std::size_t delayed = 0;
        io::Micros delay{0};
        io::Micros slower{0};
    };
    struct Cut {
        CutMode mode = CutMode::hold;
        std::vector<PathKey> paths;
        std::function<Side(const Host&)> side_of;  // may be empty
    };

    Path& path(const Host& from, const Host& to) { return paths_[{index_of(from), index_of(to)}]; }
    static std::size_t index_of(const Host& host);
    void add_path(CutId id, const Host& from, const Host& to);
    // A host has come into the world.
    void joined(const Host& host);
    // Sends a packet on its way, through the cuts.
    void transmit(Packet packet);
    void schedule(Packet packet);
    void arrive(Packet packet);
    void arrive_open(const Packet& packet);
    void refuse(const Packet& packet);
    void break_end(Connection& connection, int end);
    io::Micros latency(const Host& from, const Host& to);
    // The host runs again: what waited for it arrives.
    void resumed(Host& host);

    World& world_;
    NetworkOptions options_;
    std::mt19937_64 random_;
    std::map<PathKey, Path> paths_;
    std::map<CutId, Cut> cuts_;
    CutId last_cut_ = 0;
    std::map<io::Address, SimulatedAcceptor*> listeners_;
    std::map<std::size_t, std::deque<Packet>> waiting_;  // for frozen hosts
    std::uint64_t packets_ = 0;
};

}  // namespace hatchwind::emulator
