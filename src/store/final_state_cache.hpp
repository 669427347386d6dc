/// Bounded cache of the final states of jobs. Final states never change, so an entry is never stale.
#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>

#include "wire/job_status.hpp"

namespace hatchwind::controller {

using wire::FinalState;

/// First-in-first-out eviction.
class FinalStateCache {
  public:
    /// `capacity`: maximum number of final states.
    explicit FinalStateCache(std::size_t capacity) : capacity_(capacity) {}
    /// Inserts a final state that has been committed to the store. Does nothing if the job is cached already.
    void insert(const std::string& job, FinalState state) {
        if (!states_.emplace(job, state).second) return;
        insertion_order_.push_back(job);
        if (insertion_order_.size() <= capacity_) return;
        states_.erase(insertion_order_.front());
        insertion_order_.pop_front();
    }
    /// Returns null if the job is not cached. The pointer is valid until the next insertion.
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
