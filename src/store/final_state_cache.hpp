// A bounded memory of how jobs ended. Final states never change, so what it holds is always right.
#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

#include "wire/job_status.hpp"

namespace hatchwind::controller {

struct FinalState {
    wire::JobStatus status = wire::JobStatus::done;
    std::uint32_t done = 0;  // tasks, for display
};

class FinalStateCache {
  public:
    // Keeps the latest `most` of them.
    explicit FinalStateCache(std::size_t most) : most_(most) {}
    void insert(const std::string& job, FinalState state) {
        if (!states_.emplace(job, state).second) return;
        order_.push_back(job);
        if (order_.size() <= most_) return;
        states_.erase(order_.front());
        order_.pop_front();
    }
    // Null: not remembered.
    const FinalState* find(const std::string& job) const {
        const auto it = states_.find(job);
        return it == states_.end() ? nullptr : &it->second;
    }

  private:
    std::size_t most_;
    std::unordered_map<std::string, FinalState> states_;
    std::list<std::string> order_;
};

}  // namespace hatchwind::controller
