// The users' interface: submit, poll, cancel, health.
#pragma once

#include <optional>

#include "service/node.hpp"
#include "service/replica.hpp"

namespace hatchwind::service {

class UsersApi {
  public:
    UsersApi(Node& n, Replica& r) : node_(n), replica_(r) {}
    io::Task<io::HttpResponse> submit(io::HttpRequest request);
    io::Task<io::HttpResponse> poll(std::string id);
    io::Task<io::HttpResponse> cancel(std::string id);
    io::HttpResponse health() const;

  private:
    enum class Lookup : std::uint8_t { found, absent, failed };
    // The answer that a job is cancelled. The other nodes are told first: one of them may keep the job's
    // tasks alive without sight of the state service.
    io::HttpResponse confirm_cancel(const std::string& id);
    // `revision`, after `absent`: of the store when it held no final state of the job.
    io::Task<Lookup> find_final(std::string id, FinalState& into, core::Stamp& revision, io::Micros deadline);
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
};

}  // namespace hatchwind::service
