#pragma once

namespace trefoil {

/// Reports hold transfer times of KV cache stores as integers with this many units per millisecond.
inline constexpr double storeTimeUnitsPerMs = 10;

} // namespace trefoil
