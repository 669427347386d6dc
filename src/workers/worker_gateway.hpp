// Dealings with workers: their reports, and commands sent straight to them.
#pragma once

#include <map>
#include <set>

#include "cluster/node.hpp"

namespace hatchwind::controller {

class WorkerGateway {
  public:
    WorkerGateway(Node& n, io::Scope& scope) : node_(n), scope_(scope) {}

    io::Task<io::HttpResponse> handle_heartbeat(std::string body);
    // Queues a command; a routine for that machine sends it. Only ever for attempts that are recorded.
    void enqueue(const std::string& machine, std::uint64_t incarnation, core::WorkerCommand command);
    // True while a copy of this attempt's start, sent under the current epoch, may still be under way: then a
    // reap could be followed by a second start.
    bool start_pending(const std::string& job, std::uint32_t task, std::uint64_t attempt) const;
    // Asks machines that have yet to show that they hear us.
    io::Task<void> probe_unconfirmed_workers();
    // Watches whether this node can reach workers at all.
    io::Task<void> monitor_worker_connectivity();
    std::uint64_t malformed() const { return malformed_; }

  private:
    struct CommandQueue {
        std::uint64_t incarnation = 0;
        std::uint64_t epoch = 0;
        std::vector<core::WorkerCommand> commands;
        bool busy = false;
    };
    using AttemptKey = std::tuple<std::string, std::uint32_t, std::uint64_t>;
    io::Task<void> send(std::string machine);
    // Whoever renews a worker's lease stops its cancelled tasks: their owner may be out of reach. Stops need
    // no record, and unlike starts they do no harm when they are repeated or late.
    std::vector<core::WorkerCommand> stops_for_cancelled(const core::WorkerHeartbeat& heartbeat) const;
    void merge_status_response(const std::string& body);

    Node& node_;
    io::Scope& scope_;
    std::map<std::string, CommandQueue> command_queues_;
    // Copies of a start that were sent under an epoch and not answered. Each of them may still arrive: one
    // that came after the acknowledgement of its exit would start the task again.
    struct Sent {
        std::uint64_t epoch = 0;
        std::uint32_t copies = 0;
    };
    void start_copy_resolved(const core::WorkerCommand& o, std::uint64_t epoch);
    io::Task<void> probe(std::string machine);
    // Where a worker should report instead, when this node bears far more of them than its part.
    std::string less_loaded_controller();
    // Starts of earlier epochs are void and need not be remembered.
    void forget_earlier_epochs();
    std::map<AttemptKey, Sent> unanswered_;
    std::uint64_t unanswered_epoch_ = 0;  // no entry is older
    std::size_t probes_in_flight_ = 0;
    std::size_t turn_ = 0;                      // of the homes that are named
    io::Micros counted_{0};                     // steady: when the loads below were looked at
    io::Micros next_move_{0};                   // steady: when the next worker may be sent to another node
    std::size_t here_ = 0;                      // workers of this node
    std::map<std::string, std::size_t> loads_;  // of the other members
    std::uint64_t malformed_ = 0;
};

}  // namespace hatchwind::controller
