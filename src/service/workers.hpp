// Dealings with workers: their reports, and orders sent straight to them.
#pragma once

#include <map>
#include <set>

#include "service/node.hpp"

namespace hatchwind::service {

class Workers {
  public:
    Workers(Node& n, io::Scope& scope) : node_(n), scope_(scope) {}

    io::Task<io::HttpResponse> hello(std::string body);
    // Queues an order; a routine for that machine sends it. Only ever for attempts that are recorded.
    void order(const std::string& machine, std::uint64_t session, core::Order o);
    // True while a copy of this attempt's start, sent under the current epoch, may still be under way: then a
    // reap could be followed by a second start.
    bool start_pending(const std::string& job, std::uint32_t task, std::uint64_t attempt) const;
    // Asks machines that have yet to show that they hear us.
    io::Task<void> keep_reach();
    // Watches whether this node can reach workers at all.
    io::Task<void> watch_reach();
    std::uint64_t malformed() const { return malformed_; }

  private:
    struct Outbox {
        std::uint64_t session = 0;
        std::uint64_t epoch = 0;
        std::vector<core::Order> orders;
        bool busy = false;
    };
    using AttemptKey = std::tuple<std::string, std::uint32_t, std::uint64_t>;
    io::Task<void> send(std::string machine);
    // Whoever renews a worker's lease stops its cancelled tasks: their owner may be out of reach. Stops need
    // no record, and unlike starts they do no harm when they are repeated or late.
    std::vector<core::Order> stops_for_cancelled(const core::WorkerReport& report) const;
    void absorb_answer(const std::string& body);

    Node& node_;
    io::Scope& scope_;
    std::map<std::string, Outbox> outboxes_;
    // Copies of a start that were sent under an epoch and not answered. Each of them may still arrive: one
    // that came after a reap would start the task again.
    struct Sent {
        std::uint64_t epoch = 0;
        std::uint32_t copies = 0;
    };
    void settle_copy(const core::Order& o, std::uint64_t epoch);
    io::Task<void> ask(std::string machine);
    // Where a worker should report instead, when this node bears far more of them than its part.
    std::string better_home();
    // Starts of earlier epochs are void and need not be remembered.
    void forget_earlier_epochs();
    std::map<AttemptKey, Sent> unanswered_;
    std::uint64_t unanswered_epoch_ = 0;  // no entry is older
    std::size_t asking_ = 0;
    std::size_t turn_ = 0;                      // of the homes that are named
    io::Micros counted_{0};                     // steady: when the loads below were looked at
    io::Micros next_move_{0};                   // steady: when the next worker may be sent to another node
    std::size_t here_ = 0;                      // workers of this node
    std::map<std::string, std::size_t> loads_;  // of the other members
    std::uint64_t malformed_ = 0;
};

}  // namespace hatchwind::service
