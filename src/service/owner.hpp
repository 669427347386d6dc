// The duty of a team's owner: settles attempts, places tasks, records both ahead of every order.
#pragma once

#include <map>
#include <set>

#include "service/node.hpp"
#include "service/replica.hpp"
#include "service/workers.hpp"

namespace hatchwind::service {

class Owner {
  public:
    Owner(Node& n, Replica& r, Workers& w) : n_(n), replica_(r), workers_(w) {}
    io::Task<void> run();

  private:
    struct Memo {
        std::uint64_t number = 0;
        io::Micros last_start{0};
        io::Micros last_stop{0};
    };
    struct Trouble {
        int errors = 0;
        io::Micros until{0};
        std::set<std::string> jobs;
    };
    struct Closed {
        std::string job;
        std::uint32_t task;
        core::Attempt attempt;
    };
    using ChunkKey = std::pair<std::string, std::uint32_t>;
    struct Staged {
        std::map<ChunkKey, core::Chunk> chunks;
        std::set<std::string> opened_jobs;  // their starts are conditional on the job as it is known
        std::vector<std::string> finished;
        std::vector<Closed> closed;
    };

    void settle(Staged& s);
    void settle_attempt(Staged& s, const core::JobEntry& e, std::uint32_t chunk, std::uint32_t task,
                        const core::Attempt& a);
    void note_exit(const core::JobEntry& e, const core::Attempt& a, core::ExitCause cause);
    void close(Staged& s, const core::JobEntry& e, std::uint32_t chunk, std::uint32_t task, const core::Attempt& a,
               bool done);
    core::Chunk& stage(Staged& s, const core::JobEntry& e, std::uint32_t chunk);
    void place(Staged& s);
    // False when the pass must begin anew.
    io::Task<bool> commit(Staged s);
    void reap();
    void stop(const std::string& job, std::uint32_t task, const core::Attempt& a, double grace_s, io::Micros every);

    Node& n_;
    Replica& replica_;
    Workers& workers_;
    std::map<core::TaskRef, Memo> memos_;
    std::map<std::string, Trouble> machine_trouble_;
    std::map<std::string, Trouble> job_trouble_;
    std::map<core::TaskRef, core::Reservation> reservations_;
    std::map<core::TaskRef, io::Micros> stopping_;  // until when a stop for room may take
    std::vector<Closed> to_reap_;
    std::map<std::tuple<std::string, std::string, std::uint32_t, std::uint64_t>, std::uint64_t> strays_;
    std::uint64_t epoch_seen_ = 0;
    io::Micros last_sweep_{0};
};

}  // namespace hatchwind::service
