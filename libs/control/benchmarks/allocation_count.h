#pragma once

#include <cstdint>

namespace trefoil {

/// Returns how often operator new was called in this program. Linking the file counts. Not
/// thread-safe.
std::uint64_t allocationCount();

} // namespace trefoil
