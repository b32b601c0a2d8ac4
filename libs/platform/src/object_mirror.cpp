#include <platform/object_mirror.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>

#include <core/digest.h>
#include <platform/store_version.h>

namespace trefoil {

namespace {

/// States remembered for an object, and how long those of a removed one are: far longer than the
/// seconds that a store loses.
constexpr std::size_t maxSeenStates = 16;
constexpr duration removedMemory = std::chrono::seconds(60);

} // namespace

object_mirror::seen_state object_mirror::stateOf(const object &item)
{
    return {.revision = store_version::revision(item.version), .valueHash = hash64(item.value)};
}

bool object_mirror::hasSeen(const object &item) const
{
    const auto seen = m_seen.find(item.name);
    if (seen == m_seen.end())
        return false;
    const std::vector<seen_state> &states = seen->second.states;
    return std::find(states.begin(), states.end(), stateOf(item)) != states.end();
}

void object_mirror::recordSeen(timestamp now, const object &state)
{
    seen_states &seen = m_seen[state.name];
    seen.isRemoved = state.isRemoved;
    seen.changedAt = now;
    if (state.isRemoved || (!seen.states.empty() && seen.states.back() == stateOf(state)))
        return;
    seen.states.push_back(stateOf(state));
    if (seen.states.size() > maxSeenStates)
        seen.states.erase(seen.states.begin());
}

void object_mirror::forgetRemoved(timestamp now)
{
    std::erase_if(m_seen, [now](const auto &each) {
        return each.second.isRemoved && now - each.second.changedAt > removedMemory;
    });
}

bool object_mirror::isWritten(std::string_view name) const
{
    return m_objects.contains(name) && !m_missing.contains(name) && !m_outdated.contains(name);
}

bool object_mirror::isOutdated(const object &restored, std::uint64_t copiedUpTo) const
{
    const auto seen = m_seen.find(restored.name);
    if (seen == m_seen.end())
        return false;
    const std::uint64_t revision = store_version::revision(restored.version);
    const bool isCopied = hasSeen(restored) || revision <= copiedUpTo;
    const auto current = m_objects.find(restored.name);
    if (current == m_objects.end())
        return isCopied && seen->second.isRemoved;
    return isCopied && revision < store_version::revision(current->second.version);
}

bool object_mirror::applyRestored(timestamp now, std::span<const object> objects)
{
    // The store had all changes up to the newest one that it still shows as it was.
    std::uint64_t copiedUpTo = 0;
    for (const object &each : objects) {
        if (hasSeen(each))
            copiedUpTo = std::max(copiedUpTo, store_version::revision(each.version));
    }
    std::map<std::string, std::uint64_t, std::less<>> outdated;
    std::vector<object> current;
    std::set<std::string_view> listed;
    bool hasChanged = false;
    for (const object &each : objects) {
        listed.insert(each.name);
        if (!isOutdated(each, copiedUpTo)) {
            current.push_back(each);
            continue;
        }
        outdated.emplace(each.name, each.version);
        // The status is written by the system itself, which has to see that it is lost.
        const auto known = m_objects.find(each.name);
        if (known != m_objects.end() && known->second.status != each.status) {
            known->second.status = each.status;
            hasChanged = true;
        }
    }
    // The states of the changes that the store has lost are not those of its new revisions.
    for (auto it = m_seen.begin(); it != m_seen.end(); ++it)
        std::erase_if(it->second.states,
                      [copiedUpTo](const seen_state &each) { return each.revision > copiedUpTo; });
    for (const object &each : current) {
        object &known = m_objects[each.name];
        hasChanged = hasChanged || known.value != each.value || known.status != each.status;
        known = each;
        recordSeen(now, each);
        m_missing.erase(each.name);
    }
    for (auto it = m_objects.begin(); it != m_objects.end(); ++it) {
        if (!listed.contains(it->first))
            m_missing.try_emplace(it->first, now + m_restoreTime);
    }
    m_outdated = std::move(outdated);
    return removeExpired(now) || hasChanged;
}

bool object_mirror::adoptOutdated(const mirror_copy &copy)
{
    bool hasChanged = false;
    for (auto it = copy.outdated.begin(); it != copy.outdated.end(); ++it) {
        const auto current = m_objects.find(it->first);
        if (current == m_objects.end() || current->second.version != it->second)
            continue;
        m_outdated[it->first] = it->second;
        const auto kept =
            std::find_if(copy.objects.begin(), copy.objects.end(),
                         [&it](const object &each) { return each.name == it->first; });
        if (kept == copy.objects.end())
            m_objects.erase(current);
        else
            current->second = *kept;
        hasChanged = true;
    }
    return hasChanged;
}

bool object_mirror::applySnapshot(timestamp now, std::span<const object> objects,
                                  std::uint64_t upToVersion, timestamp graceEnd)
{
    if (upToVersion < m_upToVersion)
        return false;
    const bool isFirst = m_upToVersion == 0;
    const bool isRestored =
        !isFirst && store_version::era(upToVersion) > store_version::era(m_upToVersion);
    bool hasChanged = isFirst;
    m_upToVersion = upToVersion;
    forgetRemoved(now);
    for (const object &each : objects)
        m_newestChange = std::max(m_newestChange, each.version);
    if (isRestored)
        return applyRestored(now, objects);
    std::set<std::string_view> listed;
    for (const object &each : objects) {
        listed.insert(each.name);
        const auto outdated = m_outdated.find(each.name);
        if (outdated != m_outdated.end() && outdated->second == each.version)
            continue;
        m_outdated.erase(each.name);
        recordSeen(now, each);
        object &current = m_objects[each.name];
        hasChanged = hasChanged || current != each;
        current = each;
        m_missing.erase(each.name);
    }
    std::erase_if(m_outdated, [&listed](const auto &each) { return !listed.contains(each.first); });
    const bool isInGracePeriod = now < graceEnd;
    for (auto it = m_objects.begin(); it != m_objects.end();) {
        if (listed.contains(it->first)) {
            ++it;
        } else if (isInGracePeriod || m_missing.contains(it->first)) {
            m_missing.try_emplace(it->first, graceEnd);
            ++it;
        } else {
            hasChanged = true;
            recordSeen(now, {.name = it->first, .version = it->second.version, .isRemoved = true});
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
    for (auto it = copy.outdated.begin(); it != copy.outdated.end(); ++it)
        m_outdated[it->first] = it->second;
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
    mirror_copy copy {.missing = m_missing,
                      .upToVersion = m_upToVersion,
                      .newestChange = m_newestChange,
                      .outdated = m_outdated};
    for (auto it = m_objects.begin(); it != m_objects.end(); ++it)
        copy.objects.push_back(it->second);
    return copy;
}

bool object_mirror::applyChanges(timestamp now, std::span<const object> changed,
                                 std::uint64_t upToVersion, timestamp graceEnd)
{
    // Changes of another era don't continue this copy.
    if (store_version::era(upToVersion) != store_version::era(m_upToVersion))
        return false;
    const bool isInGracePeriod = now < graceEnd;
    bool hasChanged = false;
    for (const object &each : changed) {
        m_newestChange = std::max(m_newestChange, each.version);
        const auto current = m_objects.find(each.name);
        // The object has been removed since.
        if (current == m_objects.end() && !each.isRemoved && each.version <= m_upToVersion)
            continue;
        const bool isNewer = current == m_objects.end() || each.version > current->second.version;
        if (current == m_objects.end() || each.version >= current->second.version) {
            recordSeen(now, each);
            m_outdated.erase(each.name);
        }
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
        recordSeen(now, {.name = it->first, .isRemoved = true});
        m_objects.erase(it->first);
        it = m_missing.erase(it);
        hasChanged = true;
    }
    return hasChanged;
}

} // namespace trefoil
