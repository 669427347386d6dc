// Simulated time: one queue of events for all hosts. The same seed and the same calls give the same run, to
// the byte, since nothing depends on real time, pointer values or hash order. Computing takes no simulated
// time beyond a microsecond a turn, so a node's time bounds on its own work never strike here.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "emulator/host.hpp"
#include "emulator/network.hpp"
#include "emulator/trace.hpp"

namespace hatchwind::emulator {

struct WorldOptions {
    std::uint64_t seed = 1;
    NetworkOptions network;
    bool trace_packets = false;
    // The service's log lines of this level and above enter the trace (spdlog's numbers; 6: none).
    int log_level = 2;
};

class World final : public io::Clock {
  public:
    explicit World(WorldOptions options);
    ~World();
    World(const World&) = delete;
    World& operator=(const World&) = delete;

    // True time since the start.
    io::Micros now() const { return now_; }
    std::uint64_t seed() const { return options_.seed; }
    // Time of day outside of any host.
    io::Micros steady() const override { return kSteadyStart + now_; }
    io::Micros wall() const override { return kWallStart + now_; }

    // Hosts live as long as the world. Names are unique.
    Host& add_host(std::string name, HostOptions options = {});
    Host& host(std::string_view name);
    Host* find_host(std::uint32_t ip);
    std::vector<const Host*> hosts() const;  // in the order of their names
    Network& network() { return network_; }
    Trace& trace() { return trace_; }
    void note(std::string_view where, std::string_view what) { trace_.line(now_, where, what); }

    // A stream of random numbers of its own for each purpose: more draws for one don't change another's.
    std::mt19937_64 random(std::string_view purpose) const;

    // Actions run between the turns of the hosts, in the order of their times, then of their scheduling.
    void at(io::Micros time, std::function<void()> action);
    void after(io::Micros delay, std::function<void()> action) { at(now_ + delay, std::move(action)); }

    void run_until(io::Micros time);
    void run_for(io::Micros duration) { run_until(now_ + duration); }
    // Until the condition holds, looking after every event; false if the time came first.
    bool run_until(io::Micros limit, const std::function<bool()>& condition);
    // Runs something under a host's clock, as if that host did it.
    void run_as(const Host& host, const std::function<void()>& action);
    std::uint64_t events() const { return last_event_; }

    static constexpr io::Micros kSteadyStart{1'000'000'000};
    static constexpr io::Micros kWallStart{1'790'000'000'000'000};

  private:
    friend class Host;
    struct Event {
        io::Micros at;
        std::uint64_t number;
        Host* turn;  // null: an action
        std::function<void()> action;
    };
    struct Later {
        bool operator()(const Event& a, const Event& b) const {
            return a.at != b.at ? a.at > b.at : a.number > b.number;
        }
    };
    class LogCapture;
    void schedule_turn(Host& host, io::Micros time);
    void push(Event event);
    Event pop();
    void run_next();
    const std::string& current_name() const;

    WorldOptions options_;
    io::Micros now_{0};
    std::vector<Event> events_;  // a heap
    std::uint64_t last_event_ = 0;
    Trace trace_;
    Network network_;
    const Host* current_ = nullptr;  // whose clock is installed
    std::unique_ptr<LogCapture> log_;
    std::map<std::string, std::unique_ptr<Host>, std::less<>> hosts_;
    std::map<std::uint32_t, Host*> by_ip_;
};

}  // namespace hatchwind::emulator
