/// Sends commands to workers: one queue for each machine, commands of the same turn of the loop in one
/// request.
///
/// Owns the queues and the record of starts without an answer. Both are memory only and end with their epoch
/// and the worker's incarnation: reconciliation sends again what is recorded and not seen.
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
#include "workers/reachability_probes.hpp"
#include "workers/start_holds.hpp"
#include "workers/worker_status.hpp"

namespace hatchwind::controller {

/// What sending reads, and what it changes.
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

/// Commands are sent only while this controller holds its leadership lease.
class CommandSender {
  public:
    explicit CommandSender(const CommandSenderContext& context) : context_(context) {}

    /// Queues a command for that incarnation of the machine's worker. The attempt must be recorded in the
    /// store. A command beyond the queue's bound is dropped; reconciliation repeats it.
    void enqueue(const std::string& machine, std::uint64_t incarnation, core::WorkerCommand command);
    /// True while a copy of this attempt's start, sent under the current epoch, may still be under way: then
    /// the acknowledgement of its exit could be followed by a second start.
    bool start_pending(const std::string& job, std::uint32_t task, std::uint64_t attempt) const;
    /// True while a request with a start of the job has been sent and may still be answered.
    bool start_in_flight(const std::string& job) const { return starts_in_flight_.contains(job); }

  private:
    struct CommandQueue {
        std::uint64_t incarnation = 0;
        std::uint64_t epoch = 0;
        std::vector<core::WorkerCommand> commands;
        bool sending = false;
    };
    /// Sendings of one start under an epoch that were not answered. Each of them may still arrive: one that
    /// came after the exit was acknowledged would start the task again.
    struct UnansweredStart {
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
    /// Sends the machine's queue until it is empty, or nothing may be sent any more.
    io::Task<void> send(std::string machine);
    /// Starts of cancelled or held jobs leave the queue unsent: what was right when it was queued may not be
    /// right any more.
    void drop_forbidden_starts(CommandQueue& queue);
    bool is_forbidden(const CommandQueue& queue, std::size_t position) const;
    void count_in_flight(const std::vector<core::WorkerCommand>& commands);
    void resolve_in_flight(const std::vector<core::WorkerCommand>& commands);
    void handle_reply(const std::string& machine, std::uint64_t epoch,
                      const std::vector<core::WorkerCommand>& commands, const io::HttpResult& reply);
    void count_start(const core::WorkerCommand& command);
    /// One copy of a start that was sent under that epoch can't arrive any more.
    void resolve_start_copy(const core::WorkerCommand& command, std::uint64_t epoch);
    void resolve_start_copies(const std::vector<core::WorkerCommand>& commands, std::uint64_t epoch);
    /// Workers refuse starts of earlier epochs, which so need not be remembered.
    void forget_earlier_epochs();

    const CommandSenderContext context_;
    std::map<std::string, CommandQueue> queues_;  // by machine
    std::map<AttemptKey, UnansweredStart> unanswered_starts_;
    std::map<std::string, std::size_t> starts_in_flight_;  // by job: sent, and the request is not over
    std::uint64_t oldest_unanswered_epoch_ = 0;            // no entry is of an earlier epoch
};

}  // namespace hatchwind::controller
