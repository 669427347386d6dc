/// A token bucket that requests which cannot wait may overdraw. Not shared between owners.
#pragma once

#include <algorithm>
#include <cstdint>

#include "core/time.hpp"

namespace hatchwind::controller {

/// Times are monotonic and must not decrease from one call to the next.
class TokenBucket {
  public:
    /// `rate`: tokens a second; `burst`: maximum number of tokens. The bucket starts full.
    TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), available_(burst) {}
    /// Changes rate and burst. Tokens in excess of the new burst are discarded.
    void set(double rate, double burst) {
        rate_ = rate;
        burst_ = burst;
        available_ = std::min(available_, burst_);
    }
    /// Takes tokens even if fewer are available; the bucket is then overdrawn.
    void spend(double tokens, core::Micros monotonic_now) {
        refill(monotonic_now);
        available_ -= tokens;
    }
    /// Tokens a second.
    double rate() const { return rate_; }
    /// Returns the tokens that can be spent immediately; negative while the bucket is overdrawn.
    double available(core::Micros monotonic_now) {
        refill(monotonic_now);
        return available_;
    }
    /// Returns the time until `tokens` can be spent; zero if they can be spent now. Callers should spend the
    /// tokens immediately and then sleep for that time, which keeps their place in the queue. A caller that
    /// sleeps first and asks again can be overtaken by later callers, forever under overload. `overdraft`:
    /// fraction of the burst by which the bucket may be overdrawn.
    core::Micros wait(double tokens, core::Micros monotonic_now, double overdraft = 0) {
        refill(monotonic_now);
        const double missing = std::min(tokens, burst_) - available_ - overdraft * burst_;
        if (missing <= 0) return core::Micros{0};
        const double micros = missing / rate_ * core::kMicrosPerSecond;
        return core::Micros{static_cast<std::int64_t>(micros)} + kWaitMargin;
    }

  private:
    // Ensures that rounding never leaves the bucket short of a token after the wait.
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
