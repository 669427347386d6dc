// Carries out the faults that concern controllers, network and state service; model_faults has the others.
//
// How to drive it: call begin() at a fault's time and end() when it has lasted; both return false for a kind
// that belongs elsewhere. `choose_machines` names the hosts that a fault of machines means.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "emulator/deployment.hpp"
#include "emulator/faults.hpp"

namespace hatchwind::emulator {

class ServiceFaults {
  public:
    using ChooseMachines = std::function<std::vector<std::string>(const MachineChoice&)>;
    ServiceFaults(World& world, Deployment& deployment, StateLatency usual, ChooseMachines choose_machines);

    bool begin(const Fault& fault);
    bool end(const Fault& fault);

  private:
    std::vector<std::size_t> choose_controllers(const Fault& fault);
    void crash(std::size_t node, KillMode mode, Micros pause);
    void crash_in_turn(const Fault& fault);
    void change_leaders(const Fault& fault);
    void freeze_controllers(const Fault& fault);
    void cut_controllers(const Fault& fault);
    void cut_off(const Fault& fault, std::set<std::string> hosts);
    void cut_zones(const Fault& fault);
    void keep(const Fault& fault, CutId cut) { cuts_[&fault].push_back(cut); }

    World& world_;
    Deployment& deployment_;
    StateLatency usual_;
    ChooseMachines choose_machines_;
    std::mt19937_64 random_;
    std::map<const Fault*, std::vector<CutId>> cuts_;
    std::map<const Fault*, std::vector<std::size_t>> refused_;  // controllers that the state service refuses
    std::map<const Fault*, std::vector<std::size_t>> frozen_;
};

}  // namespace hatchwind::emulator
