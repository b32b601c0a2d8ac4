#pragma once

#include <cstdint>
#include <mutex>

#include <core/clock.h>

namespace trefoil {

/// Token bucket that limits and counts the calls that this process makes to the platform.
/// Thread-safe.
class call_budget
{
public:
    /// Allows @p callsPerSecond on average and bursts of up to two seconds' worth.
    /// Precondition: @p callsPerSecond is positive.
    explicit call_budget(double callsPerSecond);

    /// Takes one call from the budget at @p now. Returns false and counts a refusal when the budget
    /// is exhausted.
    bool take(timestamp now);
    /// Returns the number of calls allowed so far.
    std::uint64_t allowed() const;
    /// Returns the number of calls refused so far.
    std::uint64_t refused() const;

private:
    mutable std::mutex m_mutex;
    double m_rate;
    double m_available;
    timestamp m_refilledAt {};
    std::uint64_t m_allowed = 0;
    std::uint64_t m_refused = 0;
};

} // namespace trefoil
