/// A token bucket that may be overdrawn by requests that cannot wait. Its owner alone spends from it.
#pragma once

#include <algorithm>
#include <cstdint>

#include "core/time.hpp"

namespace hatchwind::controller {

/// Times are monotonic, and must not go back from call to call.
class TokenBucket {
  public:
    /// `rate`: tokens a second; `burst`: the most that it holds. It starts full.
    TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), available_(burst) {}
    /// From now on; tokens beyond the new burst are lost.
    void set(double rate, double burst) {
        rate_ = rate;
        burst_ = burst;
        available_ = std::min(available_, burst_);
    }
    /// Takes tokens, whether or not they are there.
    void spend(double tokens, core::Micros monotonic_now) {
        refill(monotonic_now);
        available_ -= tokens;
    }
    /// Tokens a second.
    double rate() const { return rate_; }
    /// What could be spent at once; negative while the bucket is overdrawn.
    double spare(core::Micros monotonic_now) {
        refill(monotonic_now);
        return available_;
    }
    /// How long until so many tokens can be spent; zero when now. Whoever then spends at once and sleeps for
    /// that time keeps its place: asking again after the sleep would let later ones pass, for ever under
    /// overload. `overdraft`: the part of the burst that may be owed for it.
    core::Micros wait(double tokens, core::Micros monotonic_now, double overdraft = 0) {
        refill(monotonic_now);
        const double missing = std::min(tokens, burst_) - available_ - overdraft * burst_;
        if (missing <= 0) return core::Micros{0};
        const double micros = missing / rate_ * core::kMicrosPerSecond;
        return core::Micros{static_cast<std::int64_t>(micros)} + kWaitMargin;
    }

  private:
    // So that rounding never leaves a token short after the wait.
    static constexpr core::Micros kWaitMargin{1000};

    void refill(core::Micros monotonic_now) {
        if (refilled_at_.count() != 0) {
            const double elapsed_micros = static_cast<double>((monotonic_now - refilled_at_).count());
            available_ = std::min(burst_, available_ + rate_ * elapsed_micros / core::kMicrosPerSecond);
        }
        refilled_at_ = monotonic_now;
    }

    double rate_;
    double burst_;
    double available_;
    core::Micros refilled_at_{0};  // 0: never
};

}  // namespace hatchwind::controller
