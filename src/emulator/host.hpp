// One simulated computer: its loop, its clock, its place in the network, and the process that runs on it.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "emulator/network.hpp"
#include "io/loop.hpp"

namespace hatchwind::emulator {

class World;

enum class HostRole : std::uint8_t { other, controller, machine, users };

struct HostOptions {
    // Empty: belongs to the region, to no zone.
    std::string zone;
    // How much faster its steady clock runs than true time: at most 0.05% either way in PROTOCOL.
    std::int64_t drift_ppm = 0;
    // How far its time of day is from the true one.
    io::Micros wall_skew{0};
    // Where its steady clock begins. Hosts whose actors call each other directly keep the same beginning: a
    // routine that is started from another host's turn reads that host's clock until it first waits.
    io::Micros steady_start{0};
    // 0: the next free one of 10.0.0.0/16.
    std::uint32_t ip = 0;
    HostRole role = HostRole::other;
};

// How a process ends.
enum class KillMode : std::uint8_t {
    reset,   // the process alone: the machine's kernel resets its connections
    silent,  // the whole machine: nobody is told, packets to it vanish until it is started again
};

class Host final : public io::Clock, private io::LoopDriver {
  public:
    Host(World& world, std::string name, std::uint32_t ip, std::size_t index, HostOptions options);

    const std::string& name() const { return name_; }
    const std::string& zone() const { return options_.zone; }
    HostRole role() const { return options_.role; }
    std::uint32_t ip() const { return ip_; }
    io::Address address(std::uint16_t port) const { return {ip_, port}; }
    std::size_t index() const { return index_; }
    io::Loop& loop() { return loop_; }

    // Its own clock.
    io::Micros steady() const override;
    io::Micros wall() const override;

    // Makes the host's process and keeps it until kill(). The factory runs under the host's clock; the
    // process holds whatever lives on the host: service, servers, clients, scopes of routines.
    void start(const std::function<std::shared_ptr<void>()>& process);
    void kill(KillMode mode);
    bool started() const { return process_ != nullptr; }
    // Nothing of it runs and packets to it wait, until resume().
    void freeze();
    void resume();
    bool frozen() const { return frozen_; }

  private:
    friend class World;
    friend class Network;
    friend class SimulatedStream;
    // Each turn takes at least so long, so that routines that only yield make time go on.
    static constexpr io::Micros kTurn{1};

    void wake() override;
    void run_turn();
    io::Micros true_time_of(io::Micros steady) const;

    World& world_;
    std::string name_;
    std::uint32_t ip_;
    std::size_t index_;
    HostOptions options_;
    HostNetwork network_;
    io::Loop loop_;
    std::shared_ptr<void> process_;
    io::Micros next_turn_{io::Micros::max()};  // true time of the turn that is scheduled
    io::Micros last_turn_{0};
    bool running_ = false;  // in a turn
    bool frozen_ = false;
    bool unplugged_ = false;  // killed silently: packets to it vanish
    KillMode closing_ = KillMode::reset;
    bool killing_ = false;
};

}  // namespace hatchwind::emulator
