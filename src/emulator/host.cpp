#include "emulator/host.hpp"

#include <algorithm>

#include "emulator/world.hpp"

namespace hatchwind::emulator {

using io::Micros;

namespace {
constexpr std::int64_t kMillion = 1'000'000;
constexpr std::int64_t kFarAhead = kMillion * kMillion * 1000;
}  // namespace

Host::Host(World& world, std::string name, std::uint32_t ip, std::size_t index, HostOptions options)
    : world_(world),
      name_(std::move(name)),
      ip_(ip),
      index_(index),
      options_(std::move(options)),
      network_(world.network(), *this),
      loop_(network_, *this) {}

Micros Host::steady() const {
    const std::int64_t true_now = world_.now().count();
    return World::kSteadyStart + options_.steady_start +
           Micros{true_now + true_now * options_.drift_ppm / kMillion};
}

Micros Host::wall() const { return world_.wall() + options_.wall_skew; }

Micros Host::true_time_of(Micros steady_time) const {
    const Micros own_now = steady();
    if (steady_time <= own_now) return world_.now();
    // Beyond any run, and far from where the product below would overflow.
    const std::int64_t ahead = std::min((steady_time - own_now).count(), kFarAhead);
    // Rounded up: a turn that comes early would find nothing due.
    return world_.now() + Micros{ahead - ahead * options_.drift_ppm / (kMillion + options_.drift_ppm) + 1};
}

void Host::start(const std::function<std::shared_ptr<void>()>& process) {
    unplugged_ = false;
    world_.note(name_, "event=start");
    world_.run_as(*this, [&] { process_ = process(); });
}

void Host::kill(KillMode mode) {
    world_.note(name_, mode == KillMode::reset ? "event=kill mode=reset" : "event=kill mode=silent");
    killing_ = true;
    closing_ = mode;
    world_.run_as(*this, [this] { process_.reset(); });
    killing_ = false;
    if (mode == KillMode::silent) unplugged_ = true;
    if (frozen_) resume();
}

void Host::freeze() {
    world_.note(name_, "event=freeze");
    frozen_ = true;
    next_turn_ = Micros::max();
}

void Host::resume() {
    if (!frozen_) return;
    world_.note(name_, "event=resume");
    frozen_ = false;
    world_.network().resumed(*this);
    wake();
}

void Host::wake() {
    if (running_ || frozen_) return;
    const Micros due = loop_.next_turn();
    if (due == Micros::max()) return;
    const Micros time = std::max(true_time_of(due), last_turn_ + kTurn);
    if (time >= next_turn_) return;
    next_turn_ = time;
    world_.schedule_turn(*this, time);
}

void Host::run_turn() {
    next_turn_ = Micros::max();
    last_turn_ = world_.now();
    running_ = true;
    world_.run_as(*this, [this] { loop_.turn(); });
    running_ = false;
    wake();
}

}  // namespace hatchwind::emulator
