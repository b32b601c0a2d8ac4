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

bool server_reach::record(timestamp now, std::string_view server, bool isConnected)
{
    const bool wasCutOff = m_isCutOff;
    if (isConnected) {
        m_failures.clear();
        m_isCutOff = false;
        return wasCutOff;
    }
    m_failures.insert_or_assign(std::string(server), now);
    const std::size_t needed = std::max(m_options.minSuspiciousServers,
                                        std::min(m_options.minFailedServers, m_serverCount));
    m_isCutOff = m_isCutOff || countFailed(now) >= needed;
    return m_isCutOff != wasCutOff;
}

bool server_reach::isSuspected(timestamp now) const
{
    return !m_isCutOff && countFailed(now) >= m_options.minSuspiciousServers;
}

} // namespace trefoil
