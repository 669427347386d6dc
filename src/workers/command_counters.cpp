#include "workers/command_counters.hpp"

#include <spdlog/spdlog.h>

namespace hatchwind::controller {

using core::CommandKind;
using core::Micros;

namespace {
constexpr Micros kLogInterval{60'000'000};
}  // namespace

std::uint64_t& CommandCounters::count_of(CommandKind kind) {
    switch (kind) {
        case CommandKind::start:
            return current_.starts;
        case CommandKind::stop:
            return current_.stops;
        case CommandKind::acknowledge_exit:
            break;
    }
    return current_.acknowledgements;
}

void CommandCounters::record_sent(const std::vector<core::WorkerCommand>& commands) {
    for (const auto& command : commands) ++count_of(command.kind);
}

void CommandCounters::record_outcome(CommandOutcome outcome) {
    switch (outcome) {
        case CommandOutcome::answered:
            ++current_.answered;
            break;
        case CommandOutcome::refused:
            ++current_.refused;
            break;
        case CommandOutcome::unanswered:
            ++current_.unanswered;
            break;
    }
}

void CommandCounters::log(Micros monotonic_now, std::uint64_t fencing_token) {
    if (monotonic_now - logged_at_ < kLogInterval || current_ == logged_) return;
    logged_at_ = monotonic_now;
    logged_ = current_;
    spdlog::info(
        "event=command_counters token={} starts={} stops={} acknowledgements={} dropped_starts={} "
        "answered={} refused={} unanswered={}",
        fencing_token, current_.starts, current_.stops, current_.acknowledgements, current_.dropped_starts,
        current_.answered, current_.refused, current_.unanswered);
}

}  // namespace hatchwind::controller
