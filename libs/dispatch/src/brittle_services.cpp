#include <dispatch/brittle_services.h>

#include <algorithm>

namespace trefoil {

bool brittle_services::record(timestamp sentAt, std::string_view service, bool isBrittle)
{
    const auto found = m_statements.find(service);
    if (found == m_statements.end()) {
        if (isBrittle)
            m_statements.emplace(service, statement {.sentAt = sentAt, .isBrittle = true});
        return isBrittle;
    }
    statement &last = found->second;
    if (sentAt < last.sentAt)
        return false;
    last.sentAt = sentAt;
    const bool hasChanged = last.isBrittle != isBrittle;
    if (hasChanged)
        m_totals.clear();
    last.isBrittle = isBrittle;
    return hasChanged;
}

bool brittle_services::isBrittle(std::string_view service) const
{
    const auto found = m_statements.find(service);
    return found != m_statements.end() && found->second.isBrittle;
}

int brittle_services::recent_peak::record(timestamp now, int value)
{
    constexpr duration memory = std::chrono::seconds(1);
    if (value >= m_value || now - m_at > memory) {
        m_value = value;
        m_at = now;
    }
    return m_value;
}

bool brittle_services::mayTake(timestamp now, std::string_view service, std::string_view server,
                               const brittle_load &load)
{
    if (!isBrittle(service))
        return true;
    const int instances = m_instances.record(now, static_cast<int>(load.instances));
    const int total = m_totals[std::string(server)].record(now, load.total);
    return load.own < load.slots / std::max(instances, 1) || (total + 1) * 2 <= load.slots;
}

} // namespace trefoil
