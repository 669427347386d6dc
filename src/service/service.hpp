// One controller: the duties, joined.
#pragma once

#include "io/http.hpp"
#include "service/cancel_enforcement.hpp"
#include "service/dependencies.hpp"
#include "service/final_state_reader.hpp"
#include "service/leader.hpp"
#include "service/membership.hpp"
#include "service/mesh.hpp"
#include "service/node.hpp"
#include "service/owner.hpp"
#include "service/replica.hpp"
#include "service/users_api.hpp"
#include "service/workers.hpp"

namespace hatchwind::service {

class Service {
  public:
    Service(io::Loop& loop, Settings s, Tunables t);
    void start();

  private:
    io::Task<io::HttpResponse> handle(io::HttpRequest request);

    Node node_;
    io::Scope scope_;
    Replica replica_;
    Membership membership_;
    Mesh mesh_;
    Workers workers_;
    FinalStateReader finals_;
    UsersApi users_;
    Dependencies dependencies_;
    Owner owner_;
    Leader leader_;
    CancelEnforcement cancel_enforcement_;
    io::HttpServer server_;
};

}  // namespace hatchwind::service
