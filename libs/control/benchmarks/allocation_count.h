#pragma once

#include <cstdint>

namespace trefoil {

/// Returns the number of calls of operator new in this program. Linking allocation_count.cpp
/// replaces operator new by a counting one. Not thread-safe.
std::uint64_t allocationCount();

} // namespace trefoil
