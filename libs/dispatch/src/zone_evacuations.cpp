#include <dispatch/zone_evacuations.h>

#include <utility>

namespace trefoil {

zone_evacuations::changes zone_evacuations::setZones(timestamp now,
                                                     std::span<const std::string> zones)
{
    changes changed;
    std::map<std::string, timestamp, std::less<>> next;
    for (const std::string &zone : zones) {
        const auto known = m_since.find(zone);
        const bool isNew =
            next.try_emplace(zone, known == m_since.end() ? now : known->second).second;
        if (isNew && known == m_since.end())
            changed.started.push_back(zone);
    }
    for (auto it = m_since.begin(); it != m_since.end(); ++it) {
        if (next.contains(it->first))
            continue;
        changed.ended.push_back(it->first);
        m_reported.erase(it->first);
    }
    m_since = std::move(next);
    return changed;
}

std::vector<std::string>
zone_evacuations::takeUnknown(const std::set<std::string, std::less<>> &known)
{
    std::vector<std::string> unknown;
    for (auto it = m_since.begin(); it != m_since.end(); ++it) {
        if (!known.contains(it->first) && m_reported.insert(it->first).second)
            unknown.push_back(it->first);
    }
    return unknown;
}

} // namespace trefoil
