#include <dispatch/server_reach.h>

#include <algorithm>

namespace trefoil {

std::size_t server_reach::countFailed(timestamp now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_failures.begin(), m_failures.end(), [&](const auto &each) {
            return now - each.second <= m_options.failureLifetime;
        }));
}

bool server_reach::record(timestamp now, const connection_outcome &outcome)
{
    const bool wasCutOff = m_isCutOff;
    if (outcome.isConnected) {
        m_connectedAt = now;
        m_failures.clear();
        m_isCutOff = false;
        return wasCutOff;
    }
    if (outcome.startedAt <= m_connectedAt)
        return false;
    if (countFailed(now) == 0)
        m_failedSince = now;
    if (!outcome.wasUnreachable || outcome.areAllUnreachable)
        m_failures.insert_or_assign(std::string(outcome.server), now);
    const std::size_t needed = std::max(m_options.minSuspiciousServers,
                                        std::min(m_options.minFailedServers, m_serverCount));
    const bool areManyFailed = countFailed(now) >= needed || outcome.areAllUnreachable;
    m_isCutOff = m_isCutOff
        || (areManyFailed && m_serverCount >= m_options.minSuspiciousServers
            && now - m_failedSince >= m_options.minFailureTime);
    return m_isCutOff != wasCutOff;
}

bool server_reach::isSuspected(timestamp now) const
{
    return !m_isCutOff && countFailed(now) >= m_options.minSuspiciousServers;
}

} // namespace trefoil
