// A token bucket that may be overdrawn by requests that cannot wait.
#pragma once

#include <algorithm>

#include "io/loop.hpp"

namespace hatchwind::controller {

class TokenBucket {
  public:
    TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), left_(burst) {}
    void set(double rate, double burst) {
        rate_ = rate;
        burst_ = burst;
        left_ = std::min(left_, burst_);
    }
    void spend(double n, io::Micros now) {
        refill(now);
        left_ -= n;
    }
    double rate() const { return rate_; }
    // What could be spent at once; negative while it is owed.
    double spare(io::Micros now) {
        refill(now);
        return left_;
    }
    // How long until n can be spent; zero when now. Whoever then spends at once and sleeps for that time
    // keeps its place: asking again after the sleep would let later ones pass, for ever under overload.
    // `debt` is a part of the burst that may be owed for it.
    io::Micros wait(double n, io::Micros now, double debt = 0) {
        refill(now);
        const double missing = std::min(n, burst_) - left_ - debt * burst_;
        if (missing <= 0) return io::Micros{0};
        return io::Micros{static_cast<std::int64_t>(missing / rate_ * 1e6) + 1000};
    }

  private:
    void refill(io::Micros now) {
        if (last_.count() != 0) {
            left_ = std::min(burst_, left_ + rate_ * static_cast<double>((now - last_).count()) / 1e6);
        }
        last_ = now;
    }
    double rate_, burst_, left_;
    io::Micros last_{0};
};

}  // namespace hatchwind::controller
