#include "core/released_machines.hpp"

#include <algorithm>

namespace hatchwind::core {

bool ReleasedMachines::add(const std::string& machine, Micros monotonic_now) {
    if (!ids_.insert(machine).second) return false;
    order_.push_back({machine, monotonic_now});
    drop_old(monotonic_now);
    return true;
}

void ReleasedMachines::drop_old(Micros monotonic_now) {
    while (order_.size() > kMostKept || monotonic_now - order_.front().released_at > kKeptFor) {
        ids_.erase(order_.front().machine);
        order_.pop_front();
        ++first_position_;
    }
}

ReleasedMachines::News ReleasedMachines::since(std::uint64_t position, std::size_t limit) const {
    const std::uint64_t first = std::max(position, first_position_);
    const std::uint64_t end = std::min<std::uint64_t>(first + limit, first_position_ + order_.size());
    News news;
    news.position = std::max(first, end);
    for (std::uint64_t next = first; next < end; ++next)
        news.machines.push_back(order_[next - first_position_].machine);
    return news;
}

}  // namespace hatchwind::core
