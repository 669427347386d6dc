#include "config/settings_error.hpp"

#include <sstream>

namespace hatchwind::controller {

std::string number_range(double least, double most) {
    std::ostringstream range;
    range << "a number from " << least << " to " << most;
    return range.str();
}

}  // namespace hatchwind::controller
