// Group commit: writes units in as few transactions as the store's limits allow, and acts on what is
// committed.
#pragma once

#include <map>
#include <optional>
#include <span>
#include <vector>

#include "cluster/leadership.hpp"
#include "config/settings.hpp"
#include "io/loop.hpp"
#include "scheduling/attempt_page_writer.hpp"
#include "scheduling/command_dispatcher.hpp"
#include "scheduling/write_unit.hpp"
#include "store/change_signals.hpp"
#include "store/replica.hpp"
#include "store/replicated_state.hpp"
#include "store/store_client.hpp"
#include "wire/store_api.hpp"

namespace hatchwind::controller {

class GroupCommit {
  public:
    GroupCommit(io::Loop& loop, const Settings& settings, const ReplicatedState& replicated,
                const Leadership& leadership, StoreClient& store, Replica& replica, ChangeSignals& signals,
                AttemptPageWriter& pages, CommandDispatcher& dispatch)
        : loop_(loop),
          settings_(settings),
          replicated_(replicated),
          leadership_(leadership),
          store_(store),
          replica_(replica),
          signals_(signals),
          pages_(pages),
          dispatch_(dispatch) {}

    // False when the pass must begin anew.
    io::Task<bool> write(std::vector<WriteUnit> units);
    // True while a transaction of this epoch got no answer: it may be carried out at any later time. Until it
    // is, or is refuted, nothing else may be planned: a plan without it could start its tasks a second time,
    // or others beyond a team's limit.
    bool in_doubt();
    // Sends that transaction again.
    io::Task<void> repeat();
    // Erases a few pages that only speak of jobs that are over.
    io::Task<void> erase_unused_pages();

  private:
    // A group commit as it was sent.
    struct Group {
        wire::Transaction transaction;
        std::vector<WriteUnit> units;
        core::Revision epoch() const { return transaction.conditions.front().mod_revision; }
        // Its writes that do not only take what is unused.
        double pressing_writes() const;
    };
    // As many units from the front as go into one transaction.
    std::size_t fitting(std::span<const WriteUnit> units) const;
    // Over a limit that is lower than known. One unit too large must not hold up the others.
    void record_refused(const Group& group);
    wire::Transaction transaction(std::span<const WriteUnit> units) const;
    io::Task<bool> send(Group group);
    void committed(Group& group, core::Revision revision);
    void committed(WriteUnit& unit, core::Revision revision, core::Revision epoch);
    // The ends of attempts may have been recorded by a copy of a transaction that got no answer.
    void acknowledge_recorded_exits(const Group& group);
    void log_end(const std::string& job) const;
    bool unused(const core::AttemptPage& page) const;

    io::Loop& loop_;
    const Settings& settings_;
    const ReplicatedState& replicated_;
    const Leadership& leadership_;
    StoreClient& store_;
    Replica& replica_;
    ChangeSignals& signals_;
    AttemptPageWriter& pages_;
    CommandDispatcher& dispatch_;
    std::optional<Group> in_doubt_;
    // Until when units are left out that the store refused by themselves, by their first key; steady.
    std::map<std::string, io::Micros> refused_until_;
    io::Micros single_units_until_{0};  // a group was refused: until then each unit goes by itself
};

}  // namespace hatchwind::controller
