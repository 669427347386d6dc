/// Max-min fair sharing of a rate limit between controllers (Bertsekas and Gallager, Data Networks, section
/// 6.5.2): a demand below an equal share is met in full, and larger demands split the rest evenly.
#pragma once

#include <cstddef>
#include <vector>

namespace hatchwind::core {

/// Returns the share of `capacity` that is assigned to `demands[index]`. Demands and capacity have the same
/// unit and are not negative. All shares add up to the capacity: capacity beyond the total demand is spread
/// evenly.
double max_min_share(const std::vector<double>& demands, std::size_t index, double capacity);

}  // namespace hatchwind::core
