/// Sends commands to workers. Each machine has a queue; commands that are queued in the same iteration of the
/// event loop go out in one request.
///
/// Owns the queues and the record of issued starts. Both are kept in memory only and are discarded with
/// the epoch and the worker incarnation that they belong to: reconciliation repeats the commands for attempts
/// that the store records and the worker does not report.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/leadership.hpp"
#include "io/http_client.hpp"
#include "io/loop.hpp"
#include "io/task.hpp"
#include "store/change_signals.hpp"
#include "store/replicated_state.hpp"
#include "workers/command_counters.hpp"
#include "workers/reachability_probes.hpp"
#include "workers/start_holds.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

/// Why a command is allowed; logged with it.
enum class CommandReason : std::uint8_t {
    recorded,   ///< start: the attempt's record has just been committed
    unlisted,   ///< the attempt is recorded and its worker does not list it
    cancelled,  ///< stop: the job is cancelled
    held,       ///< stop: the job is being cancelled
    evacuated,  ///< stop: the machine is drained or reclaimed
    preempted,  ///< stop: another task needs the capacity
    ended,      ///< the attempt's end is recorded
    no_record,  ///< the store has no record of the attempt
};

/// The modules that CommandSender reads and changes.
struct CommandSenderContext {
    io::Loop& loop;
    io::Scope& scope;
    const ReplicatedState& replicated;
    const Leadership& leadership;
    WorkerStatus& workers;
    ReachabilityProbes& probes;
    ChangeSignals& signals;
    io::HttpClient& worker_http;
    const StartHolds& holds;
};

/// Sends commands only while this controller holds leadership.
class CommandSender {
  public:
    explicit CommandSender(const CommandSenderContext& context) : context_(context) {}

    /// Queues a command for the given incarnation of the machine's worker. The attempt must be recorded in
    /// the store. Drops the command if the machine's queue is full; reconciliation repeats it.
    void enqueue(const std::string& machine, std::uint64_t incarnation, core::WorkerCommand command,
                 CommandReason reason);
    /// Returns true if a copy of this attempt's start that was issued under the current epoch may still reach
    /// the worker; also true after the worker has answered, because a duplicate may follow. The attempt's
    /// exit must not be acknowledged before: a late copy would start the task again.
    bool start_may_arrive(const std::string& job, std::uint32_t task, std::uint64_t attempt) const;
    /// Returns true if a request that contains a start of the job has been sent and is not completed yet.
    bool start_in_flight(const std::string& job) const { return starts_in_flight_.contains(job); }
    /// Logs how many commands were sent and how their requests ended. Called every few seconds.
    void log_counters() { counters_.log(io::steady_now(), epoch_number()); }

  private:
    struct CommandQueue {
        std::uint64_t incarnation = 0;
        std::uint64_t epoch = 0;
        std::vector<core::WorkerCommand> commands;
        bool sending = false;
    };
    /// Copies of one start that were issued under one epoch, less those that were not sent or were refused.
    /// Each of them may still arrive, once or more often.
    struct IssuedStart {
        std::uint64_t epoch = 0;
        std::uint32_t copies = 0;
    };
    struct AttemptKey {
        std::string job;
        std::uint32_t task = 0;
        std::uint64_t attempt = 0;

        friend auto operator<=>(const AttemptKey&, const AttemptKey&) = default;
    };

    std::uint64_t epoch_number() const { return context_.replicated.epoch().number; }
    /// Sends the machine's queued commands until the queue is empty, the machine has no known address, or
    /// this controller loses leadership.
    io::Task<void> send(std::string machine);
    /// Removes the starts of jobs that have been cancelled or held since the start was queued.
    void drop_forbidden_starts(CommandQueue& queue);
    /// Returns true for a start of a job that is cancelled or held.
    bool is_forbidden(const core::WorkerCommand& command) const;
    void count_in_flight(const std::vector<core::WorkerCommand>& commands);
    void resolve_in_flight(const std::vector<core::WorkerCommand>& commands);
    void handle_reply(const std::string& machine, std::uint64_t epoch,
                      const std::vector<core::WorkerCommand>& commands, const io::HttpResult& reply);
    void count_start(const core::WorkerCommand& command);
    /// Records that one copy of a start that was issued under `epoch` can no longer arrive.
    void resolve_start_copy(const core::WorkerCommand& command, std::uint64_t epoch);
    void resolve_start_copies(const std::vector<core::WorkerCommand>& commands, std::uint64_t epoch);
    /// Removes the starts of earlier epochs.
    void forget_earlier_epochs();

    const CommandSenderContext context_;
    std::map<std::string, CommandQueue> queues_;  // by machine
    std::map<AttemptKey, IssuedStart> issued_starts_;
    std::map<std::string, std::size_t> starts_in_flight_;  // by job: in requests that are not completed
    std::uint64_t oldest_issued_epoch_ = 0;                // no issued start is older
    CommandCounters counters_;
};

}  // namespace hatchwind::controller
