// Carries out the faults that concern workers, cloud and users. Those of controllers, network and state
// service belong to whoever made these.
//
// How to drive it: keep the fleet up to date from the cloud's hooks; call begin() at a fault's time and end()
// when it has lasted. Both return false for a kind that belongs elsewhere.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "emulator/cloud.hpp"
#include "emulator/faults.hpp"
#include "emulator/users.hpp"

namespace hatchwind::emulator {

/// The workers that are up, by machine.
using Fleet = std::map<std::string, Worker*>;

/// Draws the machines that a fault names, in name order.
std::vector<std::string> choose_machines(const Fleet& fleet, const MachineChoice& choice, Random& random);

class ModelFaults {
  public:
    ModelFaults(io::Loop& loop, Fleet& fleet, Cloud& cloud, Users& users, std::uint64_t seed)
        : loop_(loop), fleet_(fleet), cloud_(cloud), users_(users), random_(seed, "faults") {}

    bool begin(const Fault& fault);
    bool end(const Fault& fault);
    /// For Users' hook: the machine hangs for that long.
    void hang_for(const std::string& machine, Micros for_time);
    /// A machine that has come up takes part in the faults that concern all of them.
    void join(Worker& worker);
    /// Copies of reports kept for the next leader arrive at these controllers.
    void leader_has_begun(const std::vector<io::Address>& controllers);

  private:
    void begin_on_machines(const Fault& fault);
    void end_on_machine(FaultKind kind, Worker& worker);
    void take_spot(const Fault& fault);
    io::Task<void> take_later(std::string machine, Micros delay, Micros notice);
    io::Task<void> resume_later(std::string machine, Micros delay);

    io::Loop& loop_;
    Fleet& fleet_;
    Cloud& cloud_;
    Users& users_;
    Random random_;
    std::map<const Fault*, std::vector<std::string>> struck_;  // machines of each fault under way
    LateReports late_reports_;
    LateCommands late_commands_;
    DuplicateCommands duplicate_commands_;
    io::Scope scope_;
};

}  // namespace hatchwind::emulator
