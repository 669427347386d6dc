#include "core/fair_share.hpp"

#include <algorithm>

namespace hatchwind::core {

double max_min_share(const std::vector<double>& demands, std::size_t index, double capacity) {
    std::vector<double> ascending = demands;
    std::sort(ascending.begin(), ascending.end());
    double left = capacity;
    std::size_t unserved = ascending.size();
    for (const double demand : ascending) {
        const double equal_part = left / static_cast<double>(unserved);
        // All that are still to come want more than an equal part of the rest.
        if (demand > equal_part) return std::min(demands[index], equal_part);
        left -= demand;
        --unserved;
    }
    return demands[index] + left / static_cast<double>(demands.size());
}

}  // namespace hatchwind::core
