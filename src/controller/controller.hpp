// One controller: the duties, joined.
#pragma once

#include "api/user_api.hpp"
#include "cluster/membership.hpp"
#include "cluster/node.hpp"
#include "cluster/peer_mesh.hpp"
#include "io/http.hpp"
#include "scaling/scaling_controller.hpp"
#include "scheduling/cancellation_enforcer.hpp"
#include "scheduling/dependency_reconciler.hpp"
#include "scheduling/shard_scheduler.hpp"
#include "store/final_state_reader.hpp"
#include "store/replica.hpp"
#include "workers/worker_gateway.hpp"

namespace hatchwind::controller {

class Controller {
  public:
    Controller(io::Loop& loop, Settings s, Tunables t);
    void start();

  private:
    io::Task<io::HttpResponse> handle(io::HttpRequest request);

    Node node_;
    io::Scope scope_;
    Replica replica_;
    Membership membership_;
    PeerMesh peer_mesh_;
    WorkerGateway workers_;
    FinalStateReader final_states_;
    UserApi user_api_;
    DependencyReconciler dependency_reconciler_;
    ShardScheduler shard_scheduler_;
    ScalingController scaling_;
    CancellationEnforcer cancellation_enforcer_;
    io::HttpServer server_;
};

}  // namespace hatchwind::controller
