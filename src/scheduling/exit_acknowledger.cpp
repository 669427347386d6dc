#include "scheduling/exit_acknowledger.hpp"

#include <spdlog/spdlog.h>

#include <iterator>
#include <utility>

namespace hatchwind::controller {

using core::AttemptStatus;
using core::CommandKind;

namespace {
// After a new epoch, exits on most machines of the fleet are due at once.
constexpr std::size_t kMaxMachinesPerPass = 16;
}  // namespace

void ExitAcknowledger::queue(TaskAttempt closed) {
    std::string machine = closed.attempt.machine;
    due_[std::move(machine)].push_back(std::move(closed));
}

void ExitAcknowledger::send_due() {
    std::size_t machines = 0;
    while (machines < kMaxMachinesPerPass && !due_.empty()) {
        auto exits = due_.extract(due_.begin());
        bool sent = false;
        for (TaskAttempt& closed : exits.mapped()) sent = acknowledge_or_defer(std::move(closed)) || sent;
        if (sent) ++machines;
    }
}

bool ExitAcknowledger::acknowledge_or_defer(TaskAttempt closed) {
    const core::Attempt& attempt = closed.attempt;
    if (commands_.start_may_arrive(closed.job, closed.task, attempt.number)) {
        spdlog::debug("event=exit_deferred job={} task={} attempt={} machine={}", closed.job, closed.task,
                      attempt.number, attempt.machine);
        deferred_[attempt.machine].push_back(std::move(closed));
        return false;
    }
    const auto view = core::view_attempt(workers_.cluster_view(), closed.job, closed.task, attempt);
    if (view.status != AttemptStatus::exited) return false;
    commands_.enqueue(attempt.machine, attempt.incarnation,
                      {CommandKind::acknowledge_exit, closed.job, closed.task, attempt.number, 0},
                      CommandReason::ended);
    return true;
}

void ExitAcknowledger::start_epoch() {
    for (auto& [machine, exits] : std::exchange(deferred_, {})) {
        auto& due = due_[machine];
        std::move(exits.begin(), exits.end(), std::back_inserter(due));
    }
}

}  // namespace hatchwind::controller
