/// Resource amounts requested by tasks and offered by machines.
#pragma once

namespace hatchwind::core {

/// Tolerance for comparisons, because sums of floating-point amounts have rounding errors.
constexpr double kResourceTolerance = 1e-6;

/// An amount of each resource. Amounts may be negative after subtraction.
struct Resources {
    double cpus = 0;       ///< cores
    double gpus = 0;       ///< devices
    double memory_gb = 0;  ///< gigabytes

    /// Adds the amounts of each resource.
    Resources& operator+=(const Resources& other) {
        cpus += other.cpus;
        gpus += other.gpus;
        memory_gb += other.memory_gb;
        return *this;
    }
    /// Subtracts the amounts of each resource.
    Resources& operator-=(const Resources& other) {
        cpus -= other.cpus;
        gpus -= other.gpus;
        memory_gb -= other.memory_gb;
        return *this;
    }
    /// Returns the amounts multiplied by `factor`.
    friend Resources operator*(Resources amount, double factor) {
        return {amount.cpus * factor, amount.gpus * factor, amount.memory_gb * factor};
    }
    /// Returns true if no amount exceeds that of `capacity` by more than kResourceTolerance.
    bool fits_in(const Resources& capacity) const {
        return cpus <= capacity.cpus + kResourceTolerance && gpus <= capacity.gpus + kResourceTolerance &&
               memory_gb <= capacity.memory_gb + kResourceTolerance;
    }
};

}  // namespace hatchwind::core
