// The leader's duty: the cloud. These are the loops; the list of instances, renting, drains and giving back
// are modules of their own.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cluster/leadership.hpp"
#include "cluster/local_health.hpp"
#include "config/settings.hpp"
#include "io/http_client.hpp"
#include "scaling/cloud_client.hpp"
#include "scaling/cordon_record.hpp"
#include "scaling/eviction_controller.hpp"
#include "scaling/instance_inventory.hpp"
#include "scaling/scale_in.hpp"
#include "scaling/scale_out.hpp"
#include "store/change_signals.hpp"
#include "store/replica.hpp"
#include "store/replicated_state.hpp"
#include "workers/reachability_probes.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

/// What scaling reads, and what it changes.
struct ScalingContext {
    io::Loop& loop;
    const Settings& settings;
    const Tunables& tunables;
    const ReplicatedState& replicated;
    const Leadership& leadership;
    const ReachabilityProbes& probes;
    const LocalHealth& health;
    StoreClient& store;
    Replica& replica;
    WorkerStatus& workers;
    std::optional<core::Catalog>& catalog;
    core::FreeCapacityCache& free_capacity_cache;
    ChangeSignals& signals;
    io::HttpClient& cloud_http;
};

class ScalingController {
  public:
    explicit ScalingController(const ScalingContext& context);
    // Every node needs the machine types, for submissions too.
    io::Task<void> keep_catalog();
    io::Task<void> keep_list();
    io::Task<void> scale_out();
    io::Task<void> drain();
    io::Task<void> scale_in();
    // Gives machines back to the cloud; true once it has confirmed that they are gone. Any node may call it.
    io::Task<bool> release(std::vector<std::string> machines);

  private:
    io::Task<void> read_catalog();
    // Returns how many machines the cloud listed.
    io::Task<std::size_t> read_list();
    std::vector<std::string> vanished_machines() const;
    io::Task<void> release_in_batches(std::vector<std::string> machines);
    void start_term();
    void record_epoch();

    const ScalingContext context_;
    CloudClient cloud_;
    InstanceInventory inventory_;
    ScaleOut scale_out_;
    CordonRecord cordons_;
    EvictionController evictions_;
    ScaleIn scale_in_;
    std::uint64_t epoch_ = 0;   // that this node last led in
    io::Micros term_began_{0};  // steady: since when it leads, over epochs that follow one another
    bool list_fresh_ = false;   // the cloud's list was read in this term
};

}  // namespace hatchwind::controller
