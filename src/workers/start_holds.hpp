/// Holds on the starts of jobs whose cancellation is about to be committed. Owns which job is held, and until
/// when; memory only.
#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>

#include "core/time.hpp"

namespace hatchwind::controller {

/// While a job is held, its shard owner sends no start of it. Times are of the monotonic clock.
///
/// A hold needs no end of its own when the cancellation is committed: cancelled jobs never start. A job whose
/// cancellation is never committed runs on once its hold has expired.
class StartHolds {
  public:
    /// How long one request holds a job. A commit without an answer may be carried out later than the answer
    /// to its user; the protocol names no bound, and users repeat a cancel without an answer within seconds,
    /// which holds the job anew.
    static constexpr core::Micros kHoldTime{15'000'000};
    /// Of a bound on memory: the hold that expires first gives way to a new one.
    static constexpr std::size_t kMaxHolds = 4096;

    /// Holds the job for kHoldTime from now on, also one that is held already.
    void hold(const std::string& job, core::Micros monotonic_now) {
        std::erase_if(until_, [&](const auto& held) { return held.second <= monotonic_now; });
        if (until_.size() >= kMaxHolds && !until_.contains(job)) drop_first_to_expire();
        until_[job] = monotonic_now + kHoldTime;
    }
    /// True while the job must not start anything.
    bool holds(const std::string& job, core::Micros monotonic_now) const {
        const auto held = until_.find(job);
        return held != until_.end() && monotonic_now < held->second;
    }
    /// Until when each job is held; may have entries that have expired.
    const std::map<std::string, core::Micros>& all() const { return until_; }

  private:
    void drop_first_to_expire() {
        until_.erase(std::min_element(until_.begin(), until_.end(), [](const auto& left, const auto& right) {
            return left.second < right.second;
        }));
    }

    std::map<std::string, core::Micros> until_;  // by job
};

}  // namespace hatchwind::controller
