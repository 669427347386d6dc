/// A bounded cache of how jobs ended. Final states never change, so an entry is never stale.
#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>

#include "wire/job_status.hpp"

namespace hatchwind::controller {

using wire::FinalState;

/// Evicts the entry that was inserted first.
class FinalStateCache {
  public:
    /// `capacity`: the most final states that it keeps.
    explicit FinalStateCache(std::size_t capacity) : capacity_(capacity) {}
    /// A final state that the store holds. One that is cached already stays as it is.
    void insert(const std::string& job, FinalState state) {
        if (!states_.emplace(job, state).second) return;
        insertion_order_.push_back(job);
        if (insertion_order_.size() <= capacity_) return;
        states_.erase(insertion_order_.front());
        insertion_order_.pop_front();
    }
    /// Null: not cached. Valid until the next insertion.
    const FinalState* find(const std::string& job) const {
        const auto found = states_.find(job);
        return found == states_.end() ? nullptr : &found->second;
    }

  private:
    std::size_t capacity_;
    std::unordered_map<std::string, FinalState> states_;  // by job
    std::list<std::string> insertion_order_;
};

}  // namespace hatchwind::controller
