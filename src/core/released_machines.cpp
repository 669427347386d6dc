#include "core/released_machines.hpp"

#include <algorithm>

namespace hatchwind::core {

bool ReleasedMachines::add(const std::string& machine, Micros monotonic_now) {
    if (!ids_.insert(machine).second) return false;
    order_.push_back({machine, monotonic_now});
    enforce_limits(monotonic_now);
    return true;
}

void ReleasedMachines::enforce_limits(Micros monotonic_now) {
    while (order_.size() > kMaxEntries || monotonic_now - order_.front().released_at > kRetention) {
        ids_.erase(order_.front().machine);
        order_.pop_front();
        ++first_position_;
    }
}

ReleasedMachines::Update ReleasedMachines::since(std::uint64_t position, std::size_t limit) const {
    const std::uint64_t first = std::max(position, first_position_);
    const std::uint64_t end = std::min<std::uint64_t>(first + limit, first_position_ + order_.size());
    Update update;
    update.position = std::max(first, end);
    for (std::uint64_t index = first; index < end; ++index)
        update.machines.push_back(order_[index - first_position_].machine);
    return update;
}

}  // namespace hatchwind::core
