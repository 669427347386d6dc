/// Sends commands straight to workers: one queue for each machine, commands of the same turn together.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "cluster/leadership.hpp"
#include "io/http_client.hpp"
#include "io/loop.hpp"
#include "io/task.hpp"
#include "store/change_signals.hpp"
#include "store/replicated_state.hpp"
#include "workers/reachability_probes.hpp"
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
};

class CommandSender {
  public:
    explicit CommandSender(const CommandSenderContext& context) : context_(context) {}

    /// Queues a command. Only ever for attempts that are recorded. A command beyond the queue's bound is
    /// dropped; whoever wants it repeats it.
    void enqueue(const std::string& machine, std::uint64_t incarnation, core::WorkerCommand command);
    /// True while a copy of this attempt's start, sent under the current epoch, may still be under way: then
    /// the acknowledgement of its exit could be followed by a second start.
    bool start_pending(const std::string& job, std::uint32_t task, std::uint64_t attempt) const;

  private:
    struct CommandQueue {
        std::uint64_t incarnation = 0;
        std::uint64_t epoch = 0;
        std::vector<core::WorkerCommand> commands;
        bool sending = false;
    };
    /// Copies of a start that were sent under an epoch and not answered. Each of them may still arrive: one
    /// that came after the exit was acknowledged would start the task again.
    struct UnansweredStart {
        std::uint64_t epoch = 0;
        std::uint32_t copies = 0;
    };
    using AttemptKey = std::tuple<std::string, std::uint32_t, std::uint64_t>;

    io::Task<void> send(std::string machine);
    void handle_reply(const std::string& machine, std::uint64_t epoch,
                      const std::vector<core::WorkerCommand>& commands, const io::HttpResult& reply);
    void count_start(const core::WorkerCommand& command);
    /// One copy of the start can't arrive any more.
    void resolve_start_copy(const core::WorkerCommand& command, std::uint64_t epoch);
    void resolve_start_copies(const std::vector<core::WorkerCommand>& commands, std::uint64_t epoch);
    /// Starts of earlier epochs are void and need not be remembered.
    void forget_earlier_epochs();

    const CommandSenderContext context_;
    std::map<std::string, CommandQueue> queues_;  // by machine
    std::map<AttemptKey, UnansweredStart> unanswered_starts_;
    std::uint64_t unanswered_epoch_ = 0;  // no entry is older
};

}  // namespace hatchwind::controller
