#pragma once

namespace trefoil {

/// Times of a store's link in reports are whole numbers, this many to a millisecond.
inline constexpr double storeTimeUnitsPerMs = 10;

} // namespace trefoil
