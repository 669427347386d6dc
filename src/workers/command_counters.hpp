/// Counters of the commands that this controller sends to workers, for the log.
#pragma once

#include <cstdint>
#include <vector>

#include "core/time.hpp"
#include "core/worker_protocol.hpp"

namespace hatchwind::controller {

/// How a request with commands ended.
enum class CommandOutcome : std::uint8_t {
    answered,    ///< carried out
    refused,     ///< a higher fencing token or another incarnation
    unanswered,  ///< not sent, or without an answer: may still be carried out
};

/// Counts since the process began, and logs them regularly as long as they change.
class CommandCounters {
  public:
    /// Counts commands that are handed to the HTTP client in one request.
    void record_sent(const std::vector<core::WorkerCommand>& commands);
    /// Counts a start that is not sent, because its job is cancelled or held.
    void record_dropped_start() { ++current_.dropped_starts; }
    /// Counts a completed request.
    void record_outcome(CommandOutcome outcome);
    /// Logs the counters, at most once a minute. `fencing_token`: that of the commands sent now.
    void log(core::Micros monotonic_now, std::uint64_t fencing_token);

  private:
    struct Counts {
        std::uint64_t starts = 0;
        std::uint64_t stops = 0;
        std::uint64_t acknowledgements = 0;
        std::uint64_t dropped_starts = 0;
        std::uint64_t answered = 0;
        std::uint64_t refused = 0;
        std::uint64_t unanswered = 0;
        friend bool operator==(const Counts&, const Counts&) = default;
    };

    std::uint64_t& count_of(core::CommandKind kind);

    Counts current_;
    Counts logged_;
    core::Micros logged_at_{0};  // monotonic clock
};

}  // namespace hatchwind::controller
