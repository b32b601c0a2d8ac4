#pragma once

#include <algorithm>
#include <cstddef>

#include <core/clock.h>

namespace trefoil {

/// How long an instance may go unheard before it is taken for dead.
struct report_silence
{
    /// Five of the reports of a small fleet.
    duration base = std::chrono::milliseconds(1000);
    /// Added for each instance: reports come less often in a large fleet.
    duration forEach = std::chrono::milliseconds(15);
    /// Reports of an instance without callers, which announces its longer period, that may be lost.
    int periods = 3;

    /// Returns what is added to a bound in a fleet of @p instances. Thread-safe.
    duration growth(std::size_t instances) const { return forEach * static_cast<int>(instances); }
    /// Returns the longest silence of a live instance that announced its next report after
    /// @p period. Thread-safe.
    duration longest(std::size_t instances, duration period = {}) const
    {
        return std::max(base + growth(instances), periods * period);
    }
};

} // namespace trefoil
