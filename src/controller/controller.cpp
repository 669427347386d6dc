#include "controller/controller.hpp"

#include <algorithm>
#include <utility>

namespace hatchwind::controller {

namespace {
constexpr std::size_t kIdleWorkerConnections = 1;  // to each worker
constexpr std::size_t kIdleCloudConnections = 2;

// What workers, store, cloud and peers need goes out through sockets of their own: a quarter of them to
// workers, five eighths for incoming connections. A connection's buffers take some 8 KiB.
io::HttpServerLimits http_limits(const Settings& settings) {
    constexpr std::size_t kLeastConnections = 64;
    constexpr double kKilobytesPerMegabyte = 1024;
    constexpr double kMemoryPart = 1.0 / 2;
    constexpr double kKilobytesPerConnection = 32;
    const auto by_memory = static_cast<std::size_t>(settings.memory_mb * kKilobytesPerMegabyte * kMemoryPart /
                                                    kKilobytesPerConnection);
    io::HttpServerLimits limits;
    limits.max_connections =
        std::min(settings.max_connections * 5 / 8, std::max(by_memory, kLeastConnections));
    limits.max_kept_connections = limits.max_connections * 3 / 4;
    return limits;
}
}  // namespace

Controller::Controller(io::Loop& loop, Settings settings, const Tunables& tunables)
    : settings_(std::move(settings)),
      tunables_(tunables),
      signals_(loop),
      store_(loop, settings_),
      leadership_(settings_, replicated_),
      peers_(settings_),
      links_(loop, settings_),
      worker_http_(loop, kIdleWorkerConnections, settings_.max_connections / 4),
      cloud_http_(loop, kIdleCloudConnections),
      leases_(settings_, replicated_, peers_, leadership_),
      workers_({settings_, replicated_, catalog_, leases_, probes_, links_, signals_, worker_http_}),
      replica_(loop, settings_, tunables_, store_, replicated_, signals_),
      membership_({loop, settings_, tunables_, replicated_, peers_, health_, epoch_renewal_, store_, replica_,
                   signals_, leadership_, links_}),
      write_share_(replicated_, leadership_, peers_, store_),
      commands_({loop, scope_, replicated_, leadership_, workers_, probes_, signals_, worker_http_, holds_}),
      start_fence_(
          {loop, scope_, replicated_, leadership_, peers_, workers_, links_, holds_, commands_, signals_}),
      peer_messages_({replicated_, leadership_, replica_, peers_, links_, reservations_, membership_,
                      workers_, probes_, write_share_, start_fence_}),
      peer_heartbeats_({loop, replicated_, leadership_, peers_, health_, workers_, probes_, store_, leases_,
                        links_, write_share_}),
      peer_mesh_(loop, settings_, workers_, links_, peer_messages_),
      heartbeats_(replicated_, leadership_, peers_, leases_, workers_),
      reachability_(
          {loop, scope_, settings_, replicated_, workers_, probes_, health_, signals_, worker_http_}),
      final_states_(loop, store_, replica_.final_states()),
      user_api_({settings_, catalog_, replicated_, leadership_, peers_, workers_, store_, replica_,
                 final_states_, links_, start_fence_, signals_}),
      dependency_reconciler_(loop, settings_, replicated_, leadership_, store_, replica_, signals_,
                             final_states_),
      shard_scheduler_({loop, settings_, tunables_, catalog_, replicated_, leadership_, workers_, leases_,
                        store_, replica_, reservations_, links_, commands_, holds_, free_capacity_cache_,
                        signals_, epoch_renewal_}),
      scaling_({loop, settings_, tunables_, replicated_, leadership_, probes_, health_, store_, replica_,
                workers_, catalog_, free_capacity_cache_, signals_, cloud_http_}),
      cancellation_enforcer_(loop, settings_, replicated_, leadership_, workers_, probes_, commands_,
                             scaling_),
      router_(heartbeats_, user_api_),
      server_(loop, settings_.api, http_limits(settings_),
              [this](io::HttpRequest request) { return router_.handle(std::move(request)); }) {}

void Controller::start() {
    scope_.spawn(server_.serve());
    scope_.spawn(replica_.run());
    scope_.spawn(membership_.keep_store_lease());
    scope_.spawn(membership_.keep_epoch());
    scope_.spawn(peer_heartbeats_.run());
    peer_mesh_.start(scope_);
    scope_.spawn(reachability_.monitor_worker_connectivity());
    scope_.spawn(reachability_.probe_unconfirmed_workers());
    scope_.spawn(shard_scheduler_.run());
    scaling_.start(scope_);
    scope_.spawn(cancellation_enforcer_.run());
    scope_.spawn(dependency_reconciler_.run());
}

}  // namespace hatchwind::controller
