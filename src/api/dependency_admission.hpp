/// Decides about jobs with dependencies: what a submission that names other jobs comes to, and whether a
/// waiting job is cancelled because of one of them.
///
/// Writes nothing but the stored parts of long dependency lists. See `core/dependency_graph.hpp` for the DAG.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/leadership.hpp"
#include "cluster/peer_directory.hpp"
#include "config/settings.hpp"
#include "io/task.hpp"
#include "store/final_state_reader.hpp"
#include "store/replica.hpp"
#include "store/replicated_state.hpp"
#include "store/store_client.hpp"

namespace hatchwind::controller {

/// Deadlines are monotonic times.
class DependencyAdmission {
  public:
    DependencyAdmission(const Settings& settings, const ReplicatedState& replicated,
                        const Leadership& leadership, const PeerDirectory& peers, StoreClient& store,
                        Replica& replica, FinalStateReader& final_states)
        : settings_(settings),
          replicated_(replicated),
          leadership_(leadership),
          peers_(peers),
          store_(store),
          replica_(replica),
          final_states_(final_states) {}

    /// What the dependencies of a submission mean for it.
    enum class DependencyStatus : std::uint8_t {
        none,            ///< all are done: the job is like any other
        wait,            ///< some are unfinished: the job has become a waiting one
        cancelled,       ///< one is cancelled, and so is the job
        never_accepted,  ///< one was certainly never accepted
        undecided,  ///< for now: the store could not be read, or a controller does not support dependencies
    };
    /// Looks up the dependencies of a job, as they are at a moment after the call, and makes the job a
    /// waiting one if it has to wait. A list that is too long for the job's record is stored beside it.
    io::Task<DependencyStatus> resolve_dependencies(core::Job& job, io::Micros deadline);

    /// Whether a job is cancelled; `undecided` when that can't be told now.
    enum class Verdict : std::uint8_t { not_cancelled, cancelled, undecided };
    /// Whether a waiting job is cancelled because of one of its ancestors. The replica must be as new as the
    /// question. A cancellation that was acknowledged to any user decides from that moment on, whether or not
    /// it has been written into the records of the dependent jobs, so that no controller gives an older
    /// answer.
    io::Task<Verdict> cancelled_by_dependency(std::string id, io::Micros deadline);

  private:
    /// Every controller that may act or answer users supports waiting jobs.
    bool all_support_waiting_jobs() const;
    bool supports_waiting_jobs(const core::Member& member) const;
    /// What the dependencies come to; nothing when that can't be told now. Those that are done are removed
    /// from the list.
    io::Task<std::optional<DependencyStatus>> remove_ended(std::vector<std::string>& dependencies,
                                                           io::Micros deadline);
    /// Looks up jobs until each is either in the replica or known to have ended. Returns those that were
    /// neither in two looks; nothing when the store could not be read.
    io::Task<std::optional<std::vector<std::string>>> look_up(const std::vector<std::string>& jobs,
                                                              io::Micros deadline);
    /// Reads the final states of those that are not cached, then waits until the replica has what had not
    /// ended by then.
    io::Task<bool> read_terminal_states(std::vector<std::string> jobs, io::Micros deadline);
    /// Those that are neither in the replica nor known to have ended.
    std::vector<std::string> undecided(const std::vector<std::string>& jobs) const;
    core::TerminalStateLookup terminal_state_lookup() const;

    /// Stores a dependency list that is too long for the job's record in parts beside it.
    io::Task<bool> store_list(core::Job& job, io::Micros deadline);
    /// Numbers of the list's parts that the replica does not have.
    std::vector<std::uint32_t> missing_parts(const core::Job& job) const;

    const Settings& settings_;
    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    const PeerDirectory& peers_;
    StoreClient& store_;
    Replica& replica_;
    FinalStateReader& final_states_;
};

}  // namespace hatchwind::controller
