// A stabilization window, as the Kubernetes horizontal pod autoscaler has one: what was given back as
// unneeded of late is not rented again at once, whatever the queue asks for.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>

#include "core/model.hpp"

namespace hatchwind::core {

class StabilizationWindow {
  public:
    // As long as a new machine is paid for at the least.
    static constexpr Micros kLength{60'000'000};
    // So many are rented in a round in any case: what is idle may not be what the queue needs.
    static constexpr std::size_t kLeastRentals = 2;

    // `now`: steady, and never earlier than before.
    void given_back(std::size_t machines, Micros now) {
        if (machines > 0) batches_.push_back({machines, now});
        recent_ += machines;
        drop_old(now);
    }
    // How many of `wanted` machines may be rented in a round.
    std::size_t allowed(std::size_t wanted, Micros now) {
        drop_old(now);
        return std::max(std::min(wanted, kLeastRentals), wanted - std::min(wanted, recent_));
    }

  private:
    struct Batch {
        std::size_t machines = 0;
        Micros at{};
    };
    void drop_old(Micros now) {
        while (!batches_.empty() && now - batches_.front().at > kLength) {
            recent_ -= batches_.front().machines;
            batches_.pop_front();
        }
    }

    std::deque<Batch> batches_;
    std::size_t recent_ = 0;
};

}  // namespace hatchwind::core
