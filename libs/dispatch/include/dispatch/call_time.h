#pragma once

#include <core/clock.h>

namespace trefoil {

/// Estimate of how long a call to one server takes, in milliseconds: an average of the measured
/// times that approaches the average of the server's pool while nothing is measured. A server that
/// was slow for a moment gets no calls that could show that it has recovered. Not thread-safe.
class call_time
{
public:
    /// Records a call that took @p milliseconds. @p poolMs is the average of the pool.
    void record(timestamp now, double milliseconds, double poolMs);
    /// Returns the estimate at @p now.
    double estimateMs(timestamp now, double poolMs) const;

private:
    /// 0 until a call has been measured.
    double m_averageMs = 0;
    timestamp m_measuredAt;
};

} // namespace trefoil
