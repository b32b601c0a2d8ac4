#include <dispatch/configuration_contact.h>

#include <algorithm>

namespace trefoil {

void configuration_contact::recordReport(timestamp now, std::string_view instance,
                                         std::optional<timestamp> confirmedAt)
{
    const auto known = m_reportedAt.find(instance);
    if (known != m_reportedAt.end())
        known->second = now;
    else
        m_reportedAt.emplace(instance, now);
    if (confirmedAt)
        m_confirmedAt = std::max(m_confirmedAt, *confirmedAt);
}

std::optional<timestamp> configuration_contact::confirmationForOthers() const
{
    if (m_behindSince || m_confirmedAt == timestamp {})
        return std::nullopt;
    return m_confirmedAt;
}

bool configuration_contact::isCurrent(timestamp now) const
{
    return !m_behindSince && now - m_confirmedAt <= m_options.applyTime;
}

bool configuration_contact::isConfirmed(timestamp now, std::size_t otherInstances) const
{
    if (m_behindSince && now - *m_behindSince > m_options.maxTimeBehind)
        return false;
    if (now - m_confirmedAt <= m_options.maxSilence)
        return true;
    const auto heard =
        std::count_if(m_reportedAt.begin(), m_reportedAt.end(),
                      [&](const auto &each) { return now - each.second <= m_options.maxSilence; });
    // Together with this instance, those heard are the majority.
    return static_cast<std::size_t>(heard) * 2 > otherInstances;
}

} // namespace trefoil
