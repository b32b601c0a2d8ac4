#pragma once

#include <cstdint>
#include <mutex>

#include <core/clock.h>

namespace trefoil {

/// Counts and bounds the calls that this process makes to the platform. Thread-safe.
class call_budget
{
public:
    /// Allows @p callsPerSecond with a burst of two seconds' worth. Precondition: it is positive.
    explicit call_budget(double callsPerSecond);

    /// Takes one call at @p now. Returns false, counting a refusal, when the budget is spent.
    bool take(timestamp now);
    /// Returns how many calls were allowed.
    std::uint64_t allowed() const;
    /// Returns how many calls were refused.
    std::uint64_t refused() const;

private:
    mutable std::mutex m_mutex;
    double m_rate;
    double m_level;
    timestamp m_filledAt {};
    std::uint64_t m_allowed = 0;
    std::uint64_t m_refused = 0;
};

} // namespace trefoil
