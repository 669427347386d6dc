// Reads from the store how jobs have ended, and remembers it.
#pragma once

#include <optional>

#include "core/dependency_graph.hpp"
#include "io/loop.hpp"
#include "store/final_state_cache.hpp"
#include "store/replica.hpp"
#include "store/store_client.hpp"

namespace hatchwind::controller {

enum class Lookup : std::uint8_t { found, absent, failed };

class FinalStateReader {
  public:
    FinalStateReader(io::Loop& loop, StoreClient& store, FinalStateCache& states)
        : loop_(loop), store_(store), states_(states) {}

    // What is remembered; null or nothing when it is not known here.
    const FinalState* known(const std::string& job) const { return states_.find(job); }
    std::optional<core::TerminalState> ending(const std::string& job) const;
    void note(const std::string& job, FinalState state) { states_.insert(job, state); }
    // `revision`, after `absent`: of the store when it held no final state of the job.
    io::Task<Lookup> find(std::string job, FinalState& into, core::Revision& revision, io::Micros deadline);
    // Reads those that are not known. False when not all reads were answered; what had been read by then is
    // kept, so that the next try gets further. What is not known afterwards had no final state in the store
    // at some moment after the call, and at `revision` at the latest.
    io::Task<bool> read_all(std::vector<std::string> jobs, core::Revision& revision, io::Micros deadline);

  private:
    struct Batch;
    io::Task<void> read_singly(Batch& batch);
    io::Task<bool> read_pages(std::vector<std::string> jobs, core::Revision& revision, io::Micros deadline);

    io::Loop& loop_;
    StoreClient& store_;
    FinalStateCache& states_;
};

}  // namespace hatchwind::controller
