// The users' interface: submit, poll, cancel, health.
#pragma once

#include <list>
#include <optional>
#include <unordered_map>

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
    struct Final {
        wire::JobStatus status;
        std::uint32_t done;
    };
    enum class Lookup : std::uint8_t { found, absent, failed };
    io::Task<Lookup> find_final(std::string id, Final& into, io::Micros deadline);
    // The answer that a job is cancelled. The other nodes are told first: one of them may keep the job's
    // tasks alive without sight of the state service.
    io::HttpResponse confirm_cancel(const std::string& id);
    io::HttpResponse describe(const core::JobEntry& e, int status) const;
    std::optional<std::string> impossible(const core::Job& j) const;

    Node& node_;
    Replica& replica_;
    std::size_t submitting_ = 0;
    std::size_t polling_ = 0;
    // Final answers never change, so a bounded memory of them is always right.
    std::unordered_map<std::string, Final> finals_;
    std::list<std::string> final_order_;
};

}  // namespace hatchwind::service
