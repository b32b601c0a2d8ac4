#include <dispatch/configuration_contact.h>

#include <algorithm>

namespace trefoil {

void configuration_contact::recordReport(timestamp now, const configuration_report &report)
{
    auto known = m_reporting.find(report.instance);
    if (known == m_reporting.end())
        known = m_reporting.emplace(report.instance, reporting_instance {}).first;
    reporting_instance &sender = known->second;
    if (sender.incarnation != report.incarnation)
        sender = {.incarnation = report.incarnation};
    sender.heardAt = now;
    if (report.uptime)
        sender.lateness.record(now, *report.uptime);
    if (report.confirmedAgo)
        m_confirmedAt =
            std::max(m_confirmedAt, now - sender.lateness.last() - *report.confirmedAgo);
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
    const auto heard = std::count_if(m_reporting.begin(), m_reporting.end(), [&](const auto &each) {
        return now - each.second.heardAt <= m_options.maxSilence;
    });
    // Together with this instance, those heard are the majority.
    return static_cast<std::size_t>(heard) * 2 > otherInstances;
}

} // namespace trefoil
