/// The users' interface: submit, poll and cancel a job, and the health check of the load balancer.
///
/// Any controller serves any user. It owns no state but counts of the requests under way: answers come from
/// the replica of the store, once that is as new as the question, and from the store itself.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "api/dependency_admission.hpp"
#include "cluster/leadership.hpp"
#include "cluster/peer_directory.hpp"
#include "cluster/peer_links.hpp"
#include "config/settings.hpp"
#include "io/http_message.hpp"
#include "store/change_signals.hpp"
#include "store/final_state_reader.hpp"
#include "store/replica.hpp"
#include "store/replicated_state.hpp"
#include "workers/start_fence.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

/// What the users' interface reads, and what it changes.
struct UserApiContext {
    const Settings& settings;
    const std::optional<core::Catalog>& catalog;  ///< nothing until the cloud has answered
    const ReplicatedState& replicated;
    const Leadership& leadership;
    const PeerDirectory& peers;
    const WorkerStatus& workers;
    StoreClient& store;              ///< commits of acceptances and cancellations
    Replica& replica;                ///< takes these commits before the watch brings them
    FinalStateReader& final_states;  ///< caches what it reads
    PeerLinks& links;                ///< broadcasts cancellations
    StartFence& start_fence;         ///< before a cancellation is committed
    ChangeSignals& signals;
};

/// Requests are answered within seconds, with 503 or 429 and a `Retry-After` when there is no certain answer
/// by then. Each may be repeated: a job id is accepted once, and every repeat gets the job's present state.
class UserApi {
  public:
    explicit UserApi(const UserApiContext& context)
        : context_(context),
          dependency_admission_(context.settings, context.replicated, context.leadership, context.peers,
                                context.store, context.replica, context.final_states) {}

    /// 201 for a job that is accepted now, 200 for one that was accepted before, 400 for a body that can't be
    /// decoded, 422 for a job that could never run.
    io::Task<io::HttpResponse> submit(io::HttpRequest request);
    /// 200 with the state of the job at a moment after the call; 404 for one that was never accepted.
    io::Task<io::HttpResponse> poll(std::string id);
    /// 200 with the final state: cancelled, unless the job had ended before; 404 for one that was never
    /// accepted.
    io::Task<io::HttpResponse> cancel(std::string id);
    /// 200 while users should be sent here, else 503.
    io::HttpResponse health() const;

  private:
    /// Submissions and cancellations under way at a time.
    static constexpr std::size_t kMaxWritesUnderWay = 64;

    /// A description of a job for users; the response counts only when the job was found.
    struct JobDescription {
        Lookup lookup = Lookup::failed;
        io::HttpResponse response;
    };

    /// The replica has been read, and the store answers: without both, questions about jobs can't be decided.
    bool is_ready() const;

    /// Decides on a well-formed submission.
    io::Task<io::HttpResponse> decide_submission(core::Job job);
    /// Decides on a job that can run and is not known yet: its dependencies first, then its acceptance.
    io::Task<io::HttpResponse> admit(core::Job job);
    /// Commits the job as queued, or its final state if it is cancelled because a dependency is.
    io::Task<io::HttpResponse> accept(core::Job job, wire::JobStatus initial_status, io::Micros deadline);
    /// The state that a job had in the store at that revision.
    io::Task<io::HttpResponse> describe_known(std::string id, core::Revision revision, io::Micros deadline);
    /// `refusal`, unless the job was accepted before: then its state.
    io::Task<io::HttpResponse> refuse_unless_accepted(std::string id, io::HttpResponse refusal);

    /// The answer to a cancellation of a job that the replica does not have.
    io::Task<io::HttpResponse> answer_ended(std::string id, io::Micros deadline);
    /// Nothing when the record has changed meanwhile, and the replica has caught up with that.
    io::Task<std::optional<io::HttpResponse>> commit_cancel(const core::JobEntry& entry, io::Micros deadline);
    /// The answer that a job is cancelled. It is broadcast to the peers first: one of them may keep the job's
    /// tasks alive without sight of the store.
    io::HttpResponse confirm_cancel(const std::string& id) const;

    /// Tasks of the job that are running, as far as this controller knows.
    std::uint32_t count_running_tasks(const core::JobEntry& entry) const;
    /// An unfinished job, as the replica has it.
    io::HttpResponse describe_entry(const core::JobEntry& entry) const;
    /// The state of an unfinished job from the replica, which must be as new as the question; `absent` when
    /// the replica has no such job.
    io::Task<JobDescription> describe_unfinished(std::string id, io::Micros deadline);
    /// The state of a job at a moment after the call; `absent` is certain: it was never accepted.
    io::Task<JobDescription> current_state(std::string id, io::Micros deadline);

    /// Fewer users would be served if the load balancer left this controller out, since its peers don't reach
    /// the store either.
    bool peers_are_no_better() const;

    const UserApiContext context_;
    std::size_t writes_under_way_ = 0;
    std::size_t polls_under_way_ = 0;
    DependencyAdmission dependency_admission_;
};

}  // namespace hatchwind::controller
