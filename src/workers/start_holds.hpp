/// Holds on the starts of jobs whose cancellation is about to be committed. Owns the set of held jobs and the
/// end of each hold, in memory only.
#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>

#include "core/time.hpp"

namespace hatchwind::controller {

/// While a job is held, its shard owner sends no starts of its tasks. All times are monotonic.
///
/// A hold isn't removed when the cancellation is committed, since cancelled jobs never start. If the
/// cancellation is never committed, the job continues once its hold has expired.
class StartHolds {
  public:
    /// Duration of a hold. The store may carry out an unanswered commit after the user got an answer, and the
    /// protocol sets no bound on that delay. Users repeat an unanswered cancel within seconds, which renews
    /// the hold.
    static constexpr core::Micros kHoldTime{15'000'000};
    /// Bounds memory: beyond it, a new hold replaces the one that expires first.
    static constexpr std::size_t kMaxHolds = 4096;

    /// Holds the job for kHoldTime from now, also if it is already held.
    void hold(const std::string& job, core::Micros monotonic_now) {
        std::erase_if(held_until_, [&](const auto& held) { return held.second <= monotonic_now; });
        if (held_until_.size() >= kMaxHolds && !held_until_.contains(job)) drop_first_to_expire();
        held_until_[job] = monotonic_now + kHoldTime;
    }
    /// Returns true while no task of the job may be started.
    bool holds(const std::string& job, core::Micros monotonic_now) const {
        const auto held = held_until_.find(job);
        return held != held_until_.end() && monotonic_now < held->second;
    }
    /// The end of each hold, by job. May contain expired holds.
    const std::map<std::string, core::Micros>& all() const { return held_until_; }

  private:
    void drop_first_to_expire() {
        held_until_.erase(
            std::min_element(held_until_.begin(), held_until_.end(),
                             [](const auto& left, const auto& right) { return left.second < right.second; }));
    }

    std::map<std::string, core::Micros> held_until_;  // by job
};

}  // namespace hatchwind::controller
