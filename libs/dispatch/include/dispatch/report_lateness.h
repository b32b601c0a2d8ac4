#pragma once

#include <optional>

#include <core/clock.h>

namespace trefoil {

/// Estimates how long the reports of one process travel, beyond the most punctual of the last
/// minute. Each report tells the sender's uptime, so the clocks need not agree; they may drift.
/// Not thread-safe.
class report_lateness
{
public:
    /// Records a report that arrived at @p now and was written @p uptime after the sender's start.
    /// Precondition: all reports are of the same process.
    void record(timestamp now, duration uptime);
    /// Returns by how much the last report was late; zero before the first one.
    duration last() const { return m_last; }

private:
    /// Difference between arrival and uptime of the most punctual report of half a minute.
    struct period
    {
        timestamp startedAt;
        duration leastOffset {};
    };

    std::optional<period> m_previous;
    std::optional<period> m_current;
    duration m_last {};
};

} // namespace trefoil
