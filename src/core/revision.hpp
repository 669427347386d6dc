/// Revisions of the consensus-backed key-value store.
#pragma once

#include <cstdint>

namespace hatchwind::core {

/// A revision of the store. A mod revision of 0 means that the key does not exist.
using Revision = std::uint64_t;

}  // namespace hatchwind::core
