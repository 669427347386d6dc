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
    Owner(Node& n, Replica& r, Workers& w) : node_(n), replica_(r), workers_(w) {}
    io::Task<void> run();

  private:
    struct Memo {
        std::uint64_t number = 0;
        io::Micros last_start{0};
        io::Micros last_stop{0};
    };
    struct FailureRecord {
        int errors = 0;
        io::Micros until{0};
        std::set<std::string> jobs;
    };
    struct Closed {
        std::string job;
        std::uint32_t task;
        core::Attempt attempt;
    };
    using ChunkKey = core::ChunkKey;
    // A chunk as it will be, and what made it so.
    struct Record {
        core::Chunk chunk;
        std::vector<Closed> closed;
        std::vector<Closed> started;
        bool urgent = false;  // a task waits for this record to start again
    };
    struct Staged {
        std::map<ChunkKey, Record> chunks;
        std::vector<std::string> finished;
    };
    // What is written together or not at all.
    struct Unit {
        int rank = 0;  // lower goes first
        std::vector<ChunkKey> keys;
        std::vector<std::pair<std::string, core::Stamp>> conditions;
        std::vector<wire::StoreItem> effects;  // written, and then part of the copy
        std::vector<wire::StoreItem> extra;    // written only
        std::vector<Closed> closed;
        std::vector<Closed> started;
        std::size_t bytes = 0;
    };

    void settle(Staged& s);
    // What is the same for all attempts on one machine.
    struct Place {
        const core::MachineView* view = nullptr;  // null: not in the picture
        bool quiet = false;                       // without news for so long that its leases may have ended
        io::Micros now{0};                        // steady
    };
    Place look_at(const core::MachineView* view, io::Micros now) const;
    // True when there is nothing to do for it before its machine, its record or its job changes.
    bool settle_attempt(Staged& s, const core::JobEntry& e, std::uint32_t task, const core::Attempt& a,
                        const Place& at);
    void settle_machines(Staged& s);
    void settle_cancelled(Staged& s);
    void note_exit(const core::JobEntry& e, const core::Attempt& a, core::ExitCause cause);
    void close(Staged& s, const core::JobEntry& e, std::uint32_t chunk, std::uint32_t task,
               const core::Attempt& a, bool done);
    Record& stage(Staged& s, const core::JobEntry& e, std::uint32_t chunk);
    // Returns how many jobs were left for another pass.
    std::size_t place(Staged& s, std::size_t records);
    std::vector<Unit> units(Staged& s);
    // The write of a page; in parts if it is larger than the store takes by now. `load` names the pages that
    // exist or will.
    void write_page(Unit& u, const core::AttemptPageKey& page,
                    const std::map<core::ChunkKey, const core::Chunk*>& content,
                    std::map<core::AttemptPageKey, std::size_t>& load);
    // A group commit as it was sent.
    struct Group {
        wire::Transaction transaction;
        std::vector<Unit> units;
    };
    // False when the pass must begin anew.
    io::Task<bool> commit(std::vector<Unit> all);
    io::Task<bool> send(Group group);
    void carried_out(Group& group, core::Stamp revision);
    // The end of an attempt may have been recorded by a copy of a transaction that got no answer.
    void reap_what_is_recorded(const Group& group);
    void reap();
    void stop(const std::string& job, std::uint32_t task, const core::Attempt& a, double grace_s,
              io::Micros every);

    Node& node_;
    Replica& replica_;
    Workers& workers_;
    // Machines with recorded attempts as the last pass left them, in order: most are as they were, and
    // looking at every attempt in every pass took half of a node's time.
    struct Settled {
        std::string machine;
        std::uint64_t session = 0;
        std::uint64_t content_tick = 0;
        std::uint64_t version = 0;
        bool calm = false;  // nothing to do before one of these changes
    };
    std::vector<Settled> settled_;
    std::vector<Settled> spare_settled_;  // its memory serves the next pass
    std::map<core::TaskRef, Memo> memos_;
    std::map<std::string, FailureRecord> machine_failures_;
    std::map<std::string, FailureRecord> job_failures_;
    std::map<core::TaskRef, core::Reservation> reservations_;
    std::map<core::TaskRef, io::Micros> announced_;  // until when the others know of a reservation
    std::map<core::TaskRef, io::Micros> stopping_;   // until when a stop for room may take
    std::vector<Closed> to_reap_;
    // Sent without an answer, so it may be carried out at any later time. Until it is, or is refuted, nothing
    // else is planned: a plan without it could start its tasks a second time, or others beyond the limit.
    std::optional<Group> in_doubt_;
    // Until when units are left out that the store refused by themselves, by their first key.
    std::map<std::string, io::Micros> refused_;
    io::Micros single_units_until_{0};  // a group was refused: until then each unit goes by itself
    std::map<ChunkKey, io::Micros> waiting_since_;  // ends that wait for company
    io::Micros last_pass_{0};
    std::map<std::tuple<std::string, std::string, std::uint32_t, std::uint64_t>, std::uint64_t> strays_;
    std::uint64_t epoch_seen_ = 0;
    io::Micros last_sweep_{0};
    io::Micros last_emptied_{0};
};

}  // namespace hatchwind::service
