#include "core/released_machines.hpp"

#include <algorithm>

namespace hatchwind::core {

bool ReleasedMachines::add(const std::string& machine, Micros now) {
    if (!names_.insert(machine).second) return false;
    order_.push_back({machine, now});
    while (order_.size() > kMostKept || now - order_.front().released > kKeptFor) {
        names_.erase(order_.front().machine);
        order_.pop_front();
        ++dropped_;
    }
    return true;
}

ReleasedMachines::News ReleasedMachines::since(std::uint64_t position, std::size_t most) const {
    const std::uint64_t first = std::max(position, dropped_);
    const std::uint64_t end = std::min<std::uint64_t>(first + most, dropped_ + order_.size());
    News news;
    news.position = std::max(first, end);
    for (std::uint64_t i = first; i < end; ++i) news.machines.push_back(order_[i - dropped_].machine);
    return news;
}

}  // namespace hatchwind::core
