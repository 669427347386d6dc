/// Reads from the store how jobs ended, through the cache of final states.
///
/// Final states are no part of the replica: there are far more of them than of unfinished jobs. Whoever needs
/// one looks in the cache, then reads it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/dependency_graph.hpp"
#include "io/loop.hpp"
#include "io/task.hpp"
#include "store/final_state_cache.hpp"
#include "store/store_client.hpp"

namespace hatchwind::controller {

/// What a look-up in the store came to. `absent` is certain; `failed` says nothing.
enum class Lookup : std::uint8_t { found, absent, failed };

/// The final state of one job, as far as the store answered.
struct FinalStateResult {
    Lookup lookup = Lookup::failed;
    FinalState state;             ///< of a job that was found
    core::Revision revision = 0;  ///< after `absent`: of the store when it held no final state of the job
};

/// Deadlines are monotonic times.
class FinalStateReader {
  public:
    FinalStateReader(io::Loop& loop, StoreClient& store, FinalStateCache& cache)
        : loop_(loop), store_(store), cache_(cache) {}

    /// The cached final state; null when it is not known here, whether or not the job has ended.
    const FinalState* known(const std::string& job) const { return cache_.find(job); }
    /// The same as a terminal state.
    std::optional<core::TerminalState> ending(const std::string& job) const;
    /// A final state that this controller has committed.
    void record(const std::string& job, FinalState state) { cache_.insert(job, state); }
    /// From the cache, else from the store.
    io::Task<FinalStateResult> find(std::string job, io::Micros deadline);
    /// Reads those that are not cached. Nothing when not all reads were answered; what had been read by then
    /// is kept, so that a repeat gets further. What is not known afterwards had no final state in the store
    /// at some moment after the call, and at the returned revision at the latest; 0: nothing had to be read.
    io::Task<std::optional<core::Revision>> read_all(std::vector<std::string> jobs, io::Micros deadline);

  private:
    struct Batch;
    /// One of several readers that share the batch.
    io::Task<void> read_singly(Batch& batch);
    /// `jobs` must be sorted.
    io::Task<std::optional<core::Revision>> read_pages(std::vector<std::string> jobs, io::Micros deadline);
    /// Caches the final states on a page that are wanted; false when one can't be decoded.
    bool cache_wanted(const wire::StorePage& page, const std::vector<std::string>& sorted_jobs);

    io::Loop& loop_;
    StoreClient& store_;
    FinalStateCache& cache_;
};

}  // namespace hatchwind::controller
