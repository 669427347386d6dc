/// Fences the starts of a job before its cancellation is committed: the job's shard owner holds further
/// starts, waits for those that are under way, and stops tasks that have not begun to run. Whoever reads the
/// committed cancellation may then tell it at once, and nothing starts after that.
///
/// Owns the requests of this controller that have no acknowledgement yet. The holds themselves are in
/// StartHolds.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "cluster/leadership.hpp"
#include "cluster/peer_directory.hpp"
#include "cluster/peer_links.hpp"
#include "io/loop.hpp"
#include "io/task.hpp"
#include "store/change_signals.hpp"
#include "store/replicated_state.hpp"
#include "wire/peer_protocol.hpp"
#include "workers/command_sender.hpp"
#include "workers/start_holds.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

/// What fencing reads, and what it changes.
struct StartFenceContext {
    io::Loop& loop;
    io::Scope& scope;  ///< runs the requests of peers
    const ReplicatedState& replicated;
    const Leadership& leadership;
    const PeerDirectory& peers;
    const WorkerStatus& workers;
    PeerLinks& links;
    StartHolds& holds;
    CommandSender& commands;
    ChangeSignals& signals;
};

/// Every wait is for a fact, and bounded: a shard owner or worker that cannot be reached delays a cancel by
/// kMaxWait at most. What starts all the same is stopped like any task of a cancelled job.
class StartFence {
  public:
    /// A fifth of the 5 s for which a user waits for an answer to a cancel. Commands are answered within
    /// milliseconds unless something is wrong.
    static constexpr io::Micros kMaxWait{1'000'000};

    explicit StartFence(const StartFenceContext& context) : context_(context), acknowledged_(context.loop) {}

    /// True once the job's shard owner under the present epoch has fenced the job. False when that could not
    /// be had before the deadline, or there is nobody to ask.
    io::Task<bool> fence(std::string job, std::string team, io::Micros deadline);

    /// A peer asks this controller to fence a job of its shard.
    void handle_request(const std::string& from, const wire::StartHoldRequest& request);
    /// A peer has done so.
    void handle_acknowledgement(const wire::StartHoldAcknowledgement& acknowledgement);

  private:
    /// Holds the job here, and waits until none of its tasks can begin any more.
    io::Task<bool> fence_here(std::string job, io::Micros deadline);
    io::Task<bool> fence_at_peer(std::string owner, std::string job, io::Micros deadline);
    io::Task<void> serve(std::string from, wire::StartHoldRequest request);
    /// Stops the job's tasks that wait for their image, each once; `stopped`: those of earlier calls. True
    /// when there are none.
    bool stop_fetching_tasks(const std::string& job, std::set<core::TaskRef>& stopped);
    /// The peer is connected, and its heartbeats since then say that it knows the request: one that was
    /// replaced by an earlier version would end the connection at it.
    bool can_ask(const std::string& label) const;

    const StartFenceContext context_;
    std::uint64_t last_request_ = 0;
    std::set<std::uint64_t> unacknowledged_;
    io::Signal acknowledged_;
};

}  // namespace hatchwind::controller
