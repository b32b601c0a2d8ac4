#include <dispatch/report_lateness.h>

#include <algorithm>

namespace trefoil {

namespace {

constexpr duration periodTime = std::chrono::seconds(30);

} // namespace

void report_lateness::record(timestamp now, duration uptime)
{
    const duration offset = now.time_since_epoch() - uptime;
    if (!m_current || now - m_current->startedAt >= periodTime) {
        m_previous = m_current;
        m_current = period {.startedAt = now, .leastOffset = offset};
    }
    m_current->leastOffset = std::min(m_current->leastOffset, offset);
    const duration least = m_previous ? std::min(m_previous->leastOffset, m_current->leastOffset)
                                      : m_current->leastOffset;
    m_last = offset - least;
}

} // namespace trefoil
