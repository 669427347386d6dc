// One run of a scenario: the world, the deployment and all actors, joined; the faults at their times; the
// rules held against it all.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "emulator/checker.hpp"
#include "emulator/cloud.hpp"
#include "emulator/deployment.hpp"
#include "emulator/model_faults.hpp"
#include "emulator/report.hpp"
#include "emulator/scenario.hpp"
#include "emulator/service_faults.hpp"
#include "emulator/users.hpp"
#include "emulator/world.hpp"

namespace hatchwind::emulator {

struct PlayOptions {
    bool trace_packets = false;
    int log_level = 2;  // of the service's lines in the trace; spdlog's numbers
    // Called about every ten simulated seconds.
    std::function<void(Micros now)> progress;
};

class Play {
  public:
    Play(Scenario scenario, PlayOptions options);
    ~Play();
    Play(const Play&) = delete;
    Play& operator=(const Play&) = delete;

    // To the scenario's end; once.
    void run();

    World& world() { return world_; }
    Deployment& deployment() { return deployment_; }
    const Checker& checker() const { return checker_; }
    bool right() const { return run_is_right(checker_); }
    std::string figures() const { return figures_.figures_text(cloud_->spent()); }
    std::string verdict() const { return verdict_text(checker_); }

  private:
    // Writes what the models see into the trace.
    class TraceWriter final : public EventSink {
      public:
        explicit TraceWriter(World& world) : world_(world) {}
        void observe(const Event& event) override { world_.note("model", describe(event.body)); }

      private:
        World& world_;
    };

    std::vector<NodeAddress> controllers() const;
    void make_actors();
    void boot(const MachineIdentity& machine, io::Address address);
    void remove(std::string machine);
    void schedule(const Fault& fault);
    void begin(const Fault& fault);
    void end(const Fault& fault);
    void heartbeat_sequence();

    Scenario scenario_;
    PlayOptions options_;
    World world_;
    TraceWriter trace_writer_;
    Checker checker_;
    Figures figures_;
    Recorder recorder_;
    JobBoard board_;
    GangHall gangs_;
    Host& cloud_host_;
    Deployment deployment_;
    Host& users_host_;
    WorkerWorld workers_;
    Fleet fleet_;
    Random random_;
    std::unique_ptr<Cloud> cloud_;
    std::unique_ptr<Users> users_;
    std::unique_ptr<ModelFaults> model_faults_;
    std::unique_ptr<ServiceFaults> service_faults_;
    std::string last_leader_;
};

}  // namespace hatchwind::emulator
