// The users' interface: submit, poll, cancel, health.
#pragma once

#include <optional>

#include "api/dependency_admission.hpp"
#include "cluster/leadership.hpp"
#include "cluster/peer_directory.hpp"
#include "cluster/peer_links.hpp"
#include "config/settings.hpp"
#include "store/change_signals.hpp"
#include "store/final_state_reader.hpp"
#include "store/replica.hpp"
#include "store/replicated_state.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

/// What the users' interface reads, and what it changes.
struct UserApiContext {
    const Settings& settings;
    const std::optional<core::Catalog>& catalog;
    const ReplicatedState& replicated;
    const Leadership& leadership;
    const PeerDirectory& peers;
    const WorkerStatus& workers;
    StoreClient& store;
    Replica& replica;
    FinalStateReader& final_states;
    PeerLinks& links;
    ChangeSignals& signals;
};

class UserApi {
  public:
    explicit UserApi(const UserApiContext& context)
        : context_(context),
          dependency_admission_(context.settings, context.replicated, context.leadership, context.peers,
                                context.store, context.replica, context.final_states) {}
    io::Task<io::HttpResponse> submit(io::HttpRequest request);
    io::Task<io::HttpResponse> poll(std::string id);
    io::Task<io::HttpResponse> cancel(std::string id);
    io::HttpResponse health() const;

  private:
    // Submissions and cancellations under way at a time.
    static constexpr std::size_t kMostSubmitting = 64;

    // A well-formed submission.
    io::Task<io::HttpResponse> decide_submission(core::Job job);
    // Commits the job, or that it is cancelled because a job that it needs is.
    io::Task<io::HttpResponse> accept(core::Job job, bool cancelled_by_dependency, io::Micros deadline);
    // The state of a job that the store had at that revision.
    io::Task<io::HttpResponse> describe_known(std::string id, core::Revision revision, io::Micros deadline);
    void drop_unknown_types(core::Job& job) const;
    // The answer to a cancellation of a job that the replica does not have.
    io::Task<io::HttpResponse> answer_ended(std::string id, io::Micros deadline);
    // Nothing when the record has changed meanwhile, and the replica has caught up with that.
    io::Task<std::optional<io::HttpResponse>> commit_cancel(const core::JobEntry& entry, io::Micros deadline);
    // The answer that a job is cancelled. The other nodes are told first: one of them may keep the job's
    // tasks alive without sight of the store.
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

    const UserApiContext context_;
    std::size_t submitting_ = 0;
    std::size_t polling_ = 0;
    DependencyAdmission dependency_admission_;
};

}  // namespace hatchwind::controller
