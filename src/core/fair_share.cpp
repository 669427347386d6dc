#include "core/fair_share.hpp"

#include <algorithm>

namespace hatchwind::core {

double max_min_share(const std::vector<double>& demands, std::size_t index, double capacity) {
    std::vector<double> ascending = demands;
    std::sort(ascending.begin(), ascending.end());
    double remaining = capacity;
    std::size_t remaining_demands = ascending.size();
    for (const double demand : ascending) {
        const double equal_share = remaining / static_cast<double>(remaining_demands);
        // All remaining demands exceed an equal share of the remaining capacity.
        if (demand > equal_share) return std::min(demands[index], equal_share);
        remaining -= demand;
        --remaining_demands;
    }
    return demands[index] + remaining / static_cast<double>(demands.size());
}

}  // namespace hatchwind::core
