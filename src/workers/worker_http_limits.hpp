/// Bounds on the responses of workers.
#pragma once

#include <cstddef>

namespace hatchwind::controller {

/// Maximum size of a worker's status, which lists all its tasks.
constexpr std::size_t kMaxWorkerStatusBytes = std::size_t{256} * 1024;

}  // namespace hatchwind::controller
