/// Fences the starts of a job before its cancellation is committed: the job's shard owner holds further
/// starts, waits for the starts in flight, and stops tasks that have not begun to run. Any controller that
/// reads the committed cancellation can then confirm it to a user at once, and no task starts after the
/// confirmation.
///
/// Owns this controller's unacknowledged requests to peers. The holds themselves are in StartHolds.
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

/// The modules that StartFence reads and changes.
struct StartFenceContext {
    io::Loop& loop;
    io::Scope& scope;  ///< runs the coroutines that serve requests of peers
    const ReplicatedState& replicated;
    const Leadership& leadership;
    const PeerDirectory& peers;
    const WorkerStatus& workers;
    PeerLinks& links;
    StartHolds& holds;
    CommandSender& commands;
    ChangeSignals& signals;
};

/// Every wait ends with the condition it waits for or at its deadline: an unreachable shard owner or worker
/// delays a cancel by at most kMaxWait. A task that starts despite the fence is stopped like any other task
/// of a cancelled job.
class StartFence {
  public:
    /// A fifth of the 5 s that a user waits for the answer to a cancel. Without a failure, commands are
    /// answered within milliseconds.
    static constexpr io::Micros kMaxWait{1'000'000};

    explicit StartFence(const StartFenceContext& context)
        : context_(context), acknowledgement_received_(context.loop) {}

    /// Returns true once the job's shard owner under the current epoch has fenced the job. Returns false if
    /// that takes longer than kMaxWait or the deadline (monotonic clock), or if the shard owner doesn't exist
    /// or can't be asked.
    io::Task<bool> fence(std::string job, std::string team, io::Micros deadline);

    /// Handles the request of a peer to fence a job of this controller's shard.
    void handle_request(const std::string& from, const wire::StartHoldRequest& request);
    /// Handles a peer's acknowledgement that it has fenced the job.
    void handle_acknowledgement(const wire::StartHoldAcknowledgement& acknowledgement);

  private:
    /// Holds the job on this controller and waits until none of its tasks can begin to run.
    io::Task<bool> fence_locally(std::string job, io::Micros deadline);
    io::Task<bool> fence_at_peer(std::string owner, std::string job, io::Micros deadline);
    io::Task<void> serve_request(std::string from, wire::StartHoldRequest request);
    /// Sends one stop to each of the job's tasks whose image is being fetched. `stopped` holds the tasks that
    /// earlier calls have stopped. Returns true if no such task remains.
    bool stop_fetching_tasks(const std::string& job, std::set<core::TaskRef>& stopped);
    /// Returns true if the peer is connected and has announced on the current connection that it supports the
    /// request. A peer that was replaced by an earlier version would close the connection when it receives
    /// one.
    bool supports_request(const std::string& label) const;

    const StartFenceContext context_;
    std::uint64_t last_request_number_ = 0;
    std::set<std::uint64_t> unacknowledged_requests_;
    io::Signal acknowledgement_received_;
};

}  // namespace hatchwind::controller
