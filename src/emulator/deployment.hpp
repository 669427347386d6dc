// A deployment in the simulated world: the state service and the controllers, each the real service on a
// host of its own. Workers, cloud and users are other actors on hosts of theirs.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "controller/controller.hpp"
#include "emulator/state_service.hpp"
#include "emulator/world.hpp"

namespace hatchwind::emulator {

struct DeploymentOptions {
    std::size_t nodes = 3;
    // What all controllers have in common. Label, zone, addresses and peers are filled in.
    controller::Settings settings;
    // Given to the controllers in turn; empty: the settings' zones.
    std::vector<std::string> node_zones;
    // Called with each controller's tunables, which begin as the service's own defaults.
    std::function<void(controller::Tunables&)> adjust;
    // Clocks run apart by up to so much, drawn from the seed.
    std::int64_t most_drift_ppm = 500;
};

class Deployment {
  public:
    static constexpr std::uint16_t kApiPort = 8000;
    static constexpr std::uint16_t kMeshPort = 8001;

    // Nothing runs until start().
    Deployment(World& world, DeploymentOptions options);

    std::size_t size() const { return nodes_.size(); }
    Host& node(std::size_t index) { return *nodes_.at(index); }
    const std::string& label(std::size_t index) const { return nodes_.at(index)->name(); }
    io::Address api(std::size_t index) const { return nodes_.at(index)->address(kApiPort); }
    Host& state_host() { return *state_host_; }
    StateService& state() { return *state_; }
    // The settings that a controller is started with; changes hold from its next start.
    controller::Settings& settings(std::size_t index) { return settings_.at(index); }

    void start(std::size_t index);
    void start_all();
    void kill(std::size_t index, KillMode mode = KillMode::reset) { node(index).kill(mode); }
    // Killed now, back after the pause.
    void restart(std::size_t index, io::Micros pause, KillMode mode = KillMode::reset);
    // The state service alone refuses this controller.
    void refuse_state(std::size_t index, bool on) { state_->refuse(label(index), on); }

    // As the store's own record says; empty and 0 before there is one.
    std::string leader() const;
    std::uint64_t epoch() const;
    // The leader's index; size() for none.
    std::size_t leader_index() const;

  private:
    World& world_;
    DeploymentOptions options_;
    Host* state_host_;
    std::unique_ptr<StateService> state_;
    std::vector<Host*> nodes_;
    std::vector<controller::Settings> settings_;
};

}  // namespace hatchwind::emulator
