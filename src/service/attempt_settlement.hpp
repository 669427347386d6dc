// Settlement of attempts: compares what is recorded as open with what the machines report, closes what has
// ended, repeats what has not arrived and stops what must not go on.
#pragma once

#include <string>
#include <vector>

#include "service/failure_records.hpp"
#include "service/node.hpp"
#include "service/open_attempt.hpp"
#include "service/order_dispatch.hpp"
#include "service/staged_records.hpp"

namespace hatchwind::service {

class AttemptSettlement {
  public:
    AttemptSettlement(Node& node, OrderDispatch& dispatch, FailureRecords& failures)
        : node_(node), dispatch_(dispatch), failures_(failures) {}

    // Stages the ends of this owner's attempts, and its jobs that are over with them.
    void settle(StagedRecords& staged);
    void start_epoch() { settled_.clear(); }

  private:
    // What is the same for all attempts on one machine.
    struct MachineState {
        const core::MachineView* view = nullptr;  // null: not in the cluster view
        bool quiet = false;                       // without news for so long that its leases may have ended
        io::Micros now{0};                        // steady
    };
    // A machine with recorded attempts, as the last pass left it.
    struct SettledMachine {
        std::string machine;
        std::uint64_t session = 0;
        std::uint64_t content_tick = 0;
        std::uint64_t version = 0;
        bool calm = false;  // nothing to do before one of these changes
    };

    MachineState look_at(const core::MachineView* view, io::Micros now) const;
    bool owns_a_team() const;
    bool leaving(const core::MachineView& view, const std::string& machine) const;

    void settle_machines(StagedRecords& staged);
    bool still_calm(const SettledMachine* before, const SettledMachine& now, const MachineState& state) const;
    // True when there is nothing to do for the machine before something of it changes.
    bool settle_machine(StagedRecords& staged, const std::string& machine, const core::HeldTasks& tasks,
                        const MachineState& state);
    void settle_cancelled(StagedRecords& staged);
    void find_finished(StagedRecords& staged) const;

    // True when there is nothing to do for it before its machine, its record or its job changes.
    bool settle_attempt(StagedRecords& staged, const OpenAttempt& open, const MachineState& state);
    void settle_exited(StagedRecords& staged, const OpenAttempt& open, core::ExitCause cause);
    void settle_unlisted(StagedRecords& staged, const OpenAttempt& open, const MachineState& state);
    bool settle_live(const OpenAttempt& open, const MachineState& state, core::TaskState task);
    void save_before_notice(const OpenAttempt& open, io::Micros time_left, core::TaskState task);
    void move_off(const OpenAttempt& open, core::TaskState task);

    Node& node_;
    OrderDispatch& dispatch_;
    FailureRecords& failures_;
    // In order: most are as they were, and looking at every attempt in every pass took half of a node's time.
    std::vector<SettledMachine> settled_;
    std::vector<SettledMachine> spare_settled_;  // its memory serves the next pass
};

}  // namespace hatchwind::service
