// What users are told of jobs that wait for others, and what a submission that names others comes to.
#pragma once

#include "cluster/leadership.hpp"
#include "cluster/peer_directory.hpp"
#include "config/settings.hpp"
#include "store/final_state_reader.hpp"
#include "store/replica.hpp"
#include "store/replicated_state.hpp"
#include "store/store_client.hpp"

namespace hatchwind::controller {

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

    enum class DependencyStatus : std::uint8_t {
        none,            // all are done: the job is like any other
        wait,            // the job has become a waiting one
        cancelled,       // one of them is cancelled, and so is the job
        never_accepted,  // one of them, which is certain
        undecided,       // for now
    };
    // Looks at the jobs that a submission names, and makes the job a waiting one if it has to wait. The
    // store's news of them is from after the call.
    io::Task<DependencyStatus> resolve_dependencies(core::Job& job, io::Micros deadline);

    enum class Verdict : std::uint8_t { not_cancelled, cancelled, undecided };
    // Whether the waiting job is cancelled because of a job that it needs. The replica must be as new as the
    // question. A cancellation told to any user decides from that moment on, whether or not it has been
    // written into the records of the jobs that depend on it, so that no node gives an older answer.
    io::Task<Verdict> cancelled_by_dependency(std::string id, io::Micros deadline);

  private:
    // True when every node that may act or answer understands waiting jobs.
    bool everyone_knows_waiting_jobs() const;
    bool knows_waiting_jobs(const core::Member& member) const;
    // Nothing: undecided. Unfinished ones are left in the list.
    io::Task<std::optional<DependencyStatus>> drop_ended(std::vector<std::string>& dependencies,
                                                         io::Micros deadline);
    // Reads the endings of those that are neither known nor unfinished in the replica.
    io::Task<bool> read_terminal_states(std::vector<std::string> jobs, io::Micros deadline);
    std::vector<std::string> undecided(const std::vector<std::string>& dependencies) const;
    // Puts a list that is too long for the job's record into records beside it.
    io::Task<bool> store_list(core::Job& job, io::Micros deadline);

    const Settings& settings_;
    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    const PeerDirectory& peers_;
    StoreClient& store_;
    Replica& replica_;
    FinalStateReader& final_states_;
};

}  // namespace hatchwind::controller
