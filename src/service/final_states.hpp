// How jobs have ended, as far as this node has read it from the store. Final states never change, so a
// bounded memory of them is always right.
#pragma once

#include <list>
#include <optional>
#include <unordered_map>

#include "core/dependency_graph.hpp"
#include "service/node.hpp"
#include "service/replica.hpp"

namespace hatchwind::service {

struct FinalState {
    wire::JobStatus status = wire::JobStatus::done;
    std::uint32_t done = 0;  // tasks
};

enum class Lookup : std::uint8_t { found, absent, failed };

class FinalStates {
  public:
    explicit FinalStates(Node& node);

    const FinalState* known(const std::string& job) const;
    std::optional<core::Ending> ending(const std::string& job) const;
    void note(const std::string& job, FinalState state);
    // `revision`, after `absent`: of the store when it held no final state of the job.
    io::Task<Lookup> find(std::string job, FinalState& into, core::Stamp& revision, io::Micros deadline);
    // Reads those that are not known. False when not all reads were answered; what had been read by then is
    // kept, so that the next try gets further. What is not known afterwards had no final state in the store
    // at some moment after the call, and at `revision` at the latest.
    io::Task<bool> read_all(std::vector<std::string> jobs, core::Stamp& revision, io::Micros deadline);

  private:
    struct Batch;
    io::Task<void> read_singly(Batch& batch);
    io::Task<bool> read_pages(std::vector<std::string> jobs, core::Stamp& revision, io::Micros deadline);

    Node& node_;
    const std::size_t kept_;
    std::unordered_map<std::string, FinalState> states_;
    std::list<std::string> order_;  // oldest first
};

}  // namespace hatchwind::service
