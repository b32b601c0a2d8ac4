#include <control/platform_link.h>

#include <algorithm>
#include <cassert>

namespace trefoil {

namespace {

constexpr duration firstBackoff = std::chrono::milliseconds(250);
constexpr duration maxBackoff = std::chrono::seconds(5);

/// A watch waits this long, so that a platform gone silent is noticed soon.
constexpr duration watchPatience = std::chrono::seconds(3);

/// Instances without a watch learn changes from their peers; this read is for what both missed. At
/// 330 instances it costs the platform 5.5 reads a second.
constexpr duration safetyPeriod = std::chrono::seconds(60);

/// The list lags by itself, so it is read seldom: 22 reads a second at 330 instances.
constexpr duration instancesPeriod = std::chrono::seconds(15);

} // namespace

platform_link::platform_link(std::vector<std::string> prefixes, std::uint64_t seed)
    : m_jitter(std::chrono::milliseconds(seed % 1000))
{
    assert(!prefixes.empty());
    for (std::string &prefix : prefixes)
        m_prefixes.push_back({.prefix = std::move(prefix), .backoff = firstBackoff});
}

std::vector<platform_link::due_read> platform_link::tick(timestamp now, bool isWatcher)
{
    std::vector<due_read> due;
    for (prefix_state &state : m_prefixes) {
        if (state.open || now < state.nextRead)
            continue;
        const bool isWatched = &state == &m_prefixes.front();
        if (state.loaded && (isWatcher || !isWatched))
            continue;
        state.open = true;
        due.push_back({.kind = read::Objects, .prefix = state.prefix});
    }
    if (isWatcher && m_prefixes.front().loaded && !m_watchOpen && now >= m_nextWatch) {
        m_watchOpen = true;
        due.push_back({.kind = read::Watch,
                       .prefix = m_prefixes.front().prefix,
                       .from = m_watchFrom,
                       .patience = watchPatience});
    }
    if (!m_instancesOpen && now >= m_nextInstances) {
        m_instancesOpen = true;
        due.push_back({.kind = read::Instances});
    }
    return due;
}

void platform_link::onDone(timestamp now, read kind, const std::string &prefix, bool success,
                           std::uint64_t upToVersion)
{
    if (success)
        noteContact(now);
    if (kind == read::Watch) {
        m_watchOpen = false;
        m_watchFrom = std::max(m_watchFrom, upToVersion);
        m_nextWatch = success ? now : now + firstBackoff + m_jitter / 4;
        return;
    }
    if (kind == read::Instances) {
        m_instancesOpen = false;
        m_nextInstances = now + (success ? instancesPeriod + m_jitter : firstBackoff * 4);
        return;
    }
    for (prefix_state &state : m_prefixes) {
        if (state.prefix != prefix)
            continue;
        state.open = false;
        if (success) {
            state.loaded = true;
            state.backoff = firstBackoff;
            state.nextRead = now + safetyPeriod + m_jitter;
            m_watchFrom = std::max(m_watchFrom, &state == &m_prefixes.front() ? upToVersion : 0);
        } else {
            state.nextRead = now + state.backoff + m_jitter / 4;
            state.backoff = std::min(state.backoff * 2, maxBackoff);
        }
    }
}

bool platform_link::heardWithin(timestamp now, duration age) const
{
    return m_contactAt && now - *m_contactAt <= age;
}

bool platform_link::hasLoaded() const
{
    return std::all_of(m_prefixes.begin(), m_prefixes.end(),
                       [](const prefix_state &state) { return state.loaded; });
}

} // namespace trefoil
