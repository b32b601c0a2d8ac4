#include <platform/object_mirror.h>

#include <algorithm>
#include <set>
#include <string_view>

namespace trefoil {

bool object_mirror::takeSnapshot(timestamp now, std::span<const object> objects, std::uint64_t upTo,
                                 timestamp lapseEnd)
{
    if (upTo < m_upTo)
        return false;
    bool hasChanged = m_upTo == 0;
    m_upTo = upTo;
    std::set<std::string_view> listed;
    for (const object &each : objects) {
        listed.insert(each.name);
        m_newestChange = std::max(m_newestChange, each.version);
        object &known = m_objects[each.name];
        hasChanged = hasChanged || known != each;
        known = each;
        m_missing.erase(each.name);
    }
    const bool mayReturn = now < lapseEnd;
    for (auto it = m_objects.begin(); it != m_objects.end();) {
        if (listed.contains(it->first)) {
            ++it;
        } else if (mayReturn || m_missing.contains(it->first)) {
            m_missing.try_emplace(it->first, lapseEnd);
            ++it;
        } else {
            hasChanged = true;
            it = m_objects.erase(it);
        }
    }
    return hasChanged;
}

bool object_mirror::takeChanges(timestamp now, std::span<const object> changed, std::uint64_t upTo,
                                timestamp lapseEnd)
{
    const bool mayReturn = now < lapseEnd;
    bool hasChanged = false;
    for (const object &each : changed) {
        m_newestChange = std::max(m_newestChange, each.version);
        const auto known = m_objects.find(each.name);
        const bool isNewer = known == m_objects.end() || each.version > known->second.version;
        if (each.isRemoved) {
            // Another watch may have told of a later creation already.
            if (known == m_objects.end() || each.version < known->second.version)
                continue;
            if (mayReturn) {
                m_missing.try_emplace(each.name, lapseEnd);
            } else {
                m_objects.erase(known);
                m_missing.erase(each.name);
                hasChanged = true;
            }
        } else if (isNewer) {
            m_objects[each.name] = each;
            m_missing.erase(each.name);
            hasChanged = true;
        }
    }
    m_upTo = std::max(m_upTo, upTo);
    return hasChanged;
}

bool object_mirror::dropLapsed(timestamp now)
{
    bool hasChanged = false;
    for (auto it = m_missing.begin(); it != m_missing.end();) {
        if (now < it->second) {
            ++it;
            continue;
        }
        m_objects.erase(it->first);
        it = m_missing.erase(it);
        hasChanged = true;
    }
    return hasChanged;
}

} // namespace trefoil
