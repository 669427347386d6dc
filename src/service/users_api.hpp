// The users' interface: submit, poll, cancel, health.
#pragma once

#include <optional>

#include "service/final_state_reader.hpp"
#include "service/node.hpp"
#include "service/replica.hpp"
#include "service/waiting_jobs.hpp"

namespace hatchwind::service {

class UsersApi {
  public:
    UsersApi(Node& n, Replica& r, FinalStateReader& finals)
        : node_(n), replica_(r), finals_(finals), waiting_jobs_(n, r, finals) {}
    io::Task<io::HttpResponse> submit(io::HttpRequest request);
    io::Task<io::HttpResponse> poll(std::string id);
    io::Task<io::HttpResponse> cancel(std::string id);
    io::HttpResponse health() const;

  private:
    // The answer that a job is cancelled. The other nodes are told first: one of them may keep the job's
    // tasks alive without sight of the state service.
    io::HttpResponse confirm_cancel(const std::string& id) const;
    // The state of an unfinished job from the replica, which must be as new as the question; `absent` when
    // the replica has no such job.
    io::Task<Lookup> describe_unfinished(std::string id, io::HttpResponse& answer, io::Micros deadline);
    // The state of a job at a moment after the call, and certainty when it was never accepted.
    io::Task<Lookup> current_state(std::string id, io::HttpResponse& answer, io::Micros deadline);
    // `refusal`, unless the job was accepted before: then its state.
    io::Task<io::HttpResponse> refuse_unless_accepted(std::string id, io::HttpResponse refusal);
    io::HttpResponse describe(const core::JobEntry& e, int status) const;
    std::optional<std::string> impossible(const core::Job& j) const;

    Node& node_;
    Replica& replica_;
    std::size_t submitting_ = 0;
    std::size_t polling_ = 0;
    FinalStateReader& finals_;
    WaitingJobs waiting_jobs_;
};

}  // namespace hatchwind::service
