/// Reads final states of jobs from the store, through the cache of final states.
///
/// Final states are not part of the replica because there are far more of them than of unfinished jobs. They
/// are looked up in the cache first, then read from the store on demand.
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

/// The outcome of a look-up in the store.
enum class Lookup : std::uint8_t {
    found,
    absent,  ///< the store answered that it has no final state of the job
    failed   ///< no usable answer: the final state may or may not exist
};

/// The result of looking up the final state of one job.
struct FinalStateResult {
    Lookup lookup = Lookup::failed;
    FinalState state;             ///< set only if `found`
    core::Revision revision = 0;  ///< if `absent`: the store's revision at which there was no final state
};

/// All deadlines are monotonic times.
class FinalStateReader {
  public:
    FinalStateReader(io::Loop& loop, StoreClient& store, FinalStateCache& cache)
        : loop_(loop), store_(store), cache_(cache) {}

    /// Returns the cached final state, or null if it is not cached. Null does not mean that the job has not
    /// ended.
    const FinalState* known(const std::string& job) const { return cache_.find(job); }
    /// Returns the terminal state of a job whose final state is cached; nothing otherwise.
    std::optional<core::TerminalState> terminal_state(const std::string& job) const;
    /// Caches a final state that this controller has committed.
    void record(const std::string& job, FinalState state) { cache_.insert(job, state); }
    /// Returns the final state from the cache or, if it is not cached, from the store.
    io::Task<FinalStateResult> find(std::string job, io::Micros deadline);
    /// Reads the final states of the jobs that are not cached, and caches them. Returns nothing if a read was
    /// not answered; results read before the failure stay cached, so a retry reads only the rest. Jobs that
    /// are still not cached after success had no final state in the store at some moment after the call, at a
    /// revision no later than the returned one. Revision 0: all jobs were cached, nothing was read.
    io::Task<std::optional<core::Revision>> read_all(std::vector<std::string> jobs, io::Micros deadline);

  private:
    struct Batch;
    /// Reads the batch's jobs one by one. Several such coroutines share a batch.
    io::Task<void> read_from_batch(Batch& batch);
    /// Reads pages of keys that cover the jobs, which must be sorted.
    io::Task<std::optional<core::Revision>> read_pages(std::vector<std::string> jobs, io::Micros deadline);
    /// Caches the final states on the page that belong to `sorted_jobs`. Returns false if one of these cannot
    /// be decoded.
    bool cache_requested(const wire::StorePage& page, const std::vector<std::string>& sorted_jobs);

    io::Loop& loop_;
    StoreClient& store_;
    FinalStateCache& cache_;
};

}  // namespace hatchwind::controller
