/// Max-min fair sharing of a rate limit between controllers (Bertsekas and Gallager, Data Networks,
/// section 6.5.2): whoever wants little gets all of it, and those that want more than an equal part share
/// what is left evenly.
#pragma once

#include <cstddef>
#include <vector>

namespace hatchwind::core {

/// The part of `capacity` that belongs to `demands[index]`; demands and capacity in the same unit, none of
/// them negative. The parts of all add up to the capacity: what nobody wants is spread evenly.
double max_min_share(const std::vector<double>& demands, std::size_t index, double capacity);

}  // namespace hatchwind::core
