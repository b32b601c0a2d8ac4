#include <platform/object_mirror.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>

namespace trefoil {

bool object_mirror::applySnapshot(timestamp now, std::span<const object> objects,
                                  std::uint64_t upToVersion, timestamp graceEnd)
{
    if (upToVersion < m_upToVersion)
        return false;
    bool hasChanged = m_upToVersion == 0;
    m_upToVersion = upToVersion;
    std::set<std::string_view> listed;
    for (const object &each : objects) {
        listed.insert(each.name);
        m_newestChange = std::max(m_newestChange, each.version);
        object &current = m_objects[each.name];
        hasChanged = hasChanged || current != each;
        current = each;
        m_missing.erase(each.name);
    }
    const bool isInGracePeriod = now < graceEnd;
    for (auto it = m_objects.begin(); it != m_objects.end();) {
        if (listed.contains(it->first)) {
            ++it;
        } else if (isInGracePeriod || m_missing.contains(it->first)) {
            m_missing.try_emplace(it->first, graceEnd);
            ++it;
        } else {
            hasChanged = true;
            it = m_objects.erase(it);
        }
    }
    return hasChanged;
}

bool object_mirror::applyCopy(timestamp now, const mirror_copy &copy)
{
    if (copy.upToVersion < m_upToVersion)
        return false;
    // An object that this instance has already dropped does not come back.
    const bool isFirst = m_upToVersion == 0;
    std::vector<object> objects;
    std::copy_if(copy.objects.begin(), copy.objects.end(), std::back_inserter(objects),
                 [&](const object &each) {
                     return isFirst || !copy.missing.contains(each.name)
                         || m_objects.contains(each.name);
                 });
    const bool hasChanged = applySnapshot(now, objects, copy.upToVersion);
    // The newest change may be a removal, which the objects don't show.
    m_newestChange = std::max(m_newestChange, copy.newestChange);
    for (auto it = copy.missing.begin(); it != copy.missing.end(); ++it) {
        if (m_objects.contains(it->first))
            m_missing.try_emplace(it->first, it->second);
    }
    return hasChanged;
}

mirror_copy object_mirror::copy() const
{
    mirror_copy copy {
        .missing = m_missing, .upToVersion = m_upToVersion, .newestChange = m_newestChange};
    for (auto it = m_objects.begin(); it != m_objects.end(); ++it)
        copy.objects.push_back(it->second);
    return copy;
}

bool object_mirror::applyChanges(timestamp now, std::span<const object> changed,
                                 std::uint64_t upToVersion, timestamp graceEnd)
{
    const bool isInGracePeriod = now < graceEnd;
    bool hasChanged = false;
    for (const object &each : changed) {
        m_newestChange = std::max(m_newestChange, each.version);
        const auto current = m_objects.find(each.name);
        const bool isNewer = current == m_objects.end() || each.version > current->second.version;
        if (each.isRemoved) {
            // Another watch may already have reported that the object was created again.
            if (current == m_objects.end() || each.version < current->second.version)
                continue;
            if (isInGracePeriod) {
                m_missing.try_emplace(each.name, graceEnd);
            } else {
                m_objects.erase(current);
                m_missing.erase(each.name);
                hasChanged = true;
            }
        } else if (isNewer) {
            m_objects[each.name] = each;
            m_missing.erase(each.name);
            hasChanged = true;
        }
    }
    m_upToVersion = std::max(m_upToVersion, upToVersion);
    return hasChanged;
}

bool object_mirror::removeExpired(timestamp now)
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
