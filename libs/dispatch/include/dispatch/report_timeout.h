#pragma once

#include <algorithm>
#include <cstddef>

#include <core/clock.h>

namespace trefoil {

/// Time without reports after which an instance is considered dead.
struct report_timeout
{
    /// Five report periods of a small fleet.
    duration base = std::chrono::milliseconds(1000);
    /// Added for each instance, because reports are less frequent in a large fleet.
    duration perInstance = std::chrono::milliseconds(15);
    /// Report periods to wait for an instance that announces a longer one, as instances without
    /// callers do.
    int maxMissedReports = 3;

    /// Returns the time to add to a timeout in a fleet of @p instances. Thread-safe.
    duration growth(std::size_t instances) const
    {
        return perInstance * static_cast<int>(instances);
    }
    /// Returns the timeout of an instance that announced its next report after @p period, in a
    /// fleet of @p instances. Thread-safe.
    duration timeout(std::size_t instances, duration period = {}) const
    {
        return std::max(base + growth(instances), maxMissedReports * period);
    }
};

} // namespace trefoil
