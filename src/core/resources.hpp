/// Amounts of the resources that tasks request and machines offer.
#pragma once

namespace hatchwind::core {

/// Amounts are decimal fractions: sums of them are compared with this tolerance.
constexpr double kResourceTolerance = 1e-6;

/// Amounts of each resource. Differences may be negative.
struct Resources {
    double cpus = 0;       ///< cores
    double gpus = 0;       ///< devices
    double memory_gb = 0;  ///< gigabytes

    /// Adds each amount.
    Resources& operator+=(const Resources& other) {
        cpus += other.cpus;
        gpus += other.gpus;
        memory_gb += other.memory_gb;
        return *this;
    }
    /// Subtracts each amount.
    Resources& operator-=(const Resources& other) {
        cpus -= other.cpus;
        gpus -= other.gpus;
        memory_gb -= other.memory_gb;
        return *this;
    }
    /// Each amount times the factor.
    friend Resources operator*(Resources amount, double factor) {
        return {amount.cpus * factor, amount.gpus * factor, amount.memory_gb * factor};
    }
    /// Each amount is at most that of `capacity`, up to kResourceTolerance.
    bool fits_in(const Resources& capacity) const {
        return cpus <= capacity.cpus + kResourceTolerance && gpus <= capacity.gpus + kResourceTolerance &&
               memory_gb <= capacity.memory_gb + kResourceTolerance;
    }
};

}  // namespace hatchwind::core
