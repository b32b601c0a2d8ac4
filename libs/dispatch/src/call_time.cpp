#include <dispatch/call_time.h>

#include <algorithm>
#include <cmath>

namespace trefoil {

namespace {

/// Weight of the newest measurement.
constexpr double newestWeight = 0.1;
/// Time in which the difference between a server and its pool halves if nothing is measured.
constexpr duration halfLife = std::chrono::seconds(2);

} // namespace

void call_time::record(timestamp now, double milliseconds, double poolMs)
{
    m_averageMs = m_averageMs > 0
        ? estimateMs(now, poolMs) * (1 - newestWeight) + milliseconds * newestWeight
        : milliseconds;
    m_measuredAt = now;
}

double call_time::estimateMs(timestamp now, double poolMs) const
{
    if (m_averageMs <= 0)
        return poolMs;
    const double halvings = std::max(0.0, toSeconds(now - m_measuredAt)) / toSeconds(halfLife);
    return poolMs + (m_averageMs - poolMs) * std::exp2(-halvings);
}

} // namespace trefoil
