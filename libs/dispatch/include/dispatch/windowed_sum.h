#pragma once

#include <cstdint>
#include <deque>
#include <utility>

#include <core/clock.h>

namespace trefoil {

/// Sum of the units of a sliding window, kept in slots. Not thread-safe.
class windowed_sum
{
public:
    explicit windowed_sum(duration window = {}) : m_slotTime(window / slots) { }

    /// Adds @p units, which may be negative, at @p now.
    void add(timestamp now, double units);
    /// Returns the sum of the window that ends at @p now.
    double sum(timestamp now);
    /// Replaces the contents by @p units, spread evenly over the window that ends at @p now.
    void fill(timestamp now, double units);
    /// Multiplies all units by @p factor.
    void scale(double factor);

private:
    static constexpr int slots = 32;

    void removeOld(timestamp now);

    duration m_slotTime;
    /// Units by slot, the oldest first.
    std::deque<std::pair<std::int64_t, double>> m_units;
    double m_sum = 0;
};

} // namespace trefoil
