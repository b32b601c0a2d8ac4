#include <control/platform_read_scheduler.h>

#include <algorithm>
#include <cassert>

namespace trefoil {

namespace {

constexpr duration initialBackoff = std::chrono::milliseconds(250);
constexpr duration maxBackoff = std::chrono::seconds(5);

/// Maximum wait of a watch. Short, so that an unresponsive platform is detected quickly.
constexpr duration watchTimeout = std::chrono::seconds(3);

/// Interval of the full configuration read on instances without a watch. They learn changes from
/// peers; the resync covers changes that gossip missed. With 330 instances it causes 5.5 platform
/// reads per second.
constexpr duration resyncPeriod = std::chrono::seconds(60);

/// The platform's list of instances is itself delayed, so frequent reads would gain nothing. With
/// 330 instances this causes 22 reads per second.
constexpr duration instanceListPeriod = std::chrono::seconds(15);

} // namespace

platform_read_scheduler::platform_read_scheduler(std::vector<std::string> prefixes,
                                                 std::uint64_t seed)
    : m_jitter(std::chrono::milliseconds(seed % 1000))
{
    assert(!prefixes.empty());
    for (std::string &prefix : prefixes)
        m_prefixes.push_back({.prefix = std::move(prefix), .backoff = initialBackoff});
}

std::vector<platform_read_scheduler::due_read> platform_read_scheduler::tick(timestamp now,
                                                                             bool isWatcher)
{
    std::vector<due_read> due;
    for (prefix_state &state : m_prefixes) {
        if (state.inFlight || now < state.nextRead)
            continue;
        const bool isWatched = &state == &m_prefixes.front();
        if (state.loaded && (isWatcher || !isWatched))
            continue;
        state.inFlight = true;
        due.push_back({.kind = read_kind::Objects, .prefix = state.prefix});
    }
    if (isWatcher && m_prefixes.front().loaded && !m_watchInFlight && now >= m_nextWatch) {
        m_watchInFlight = true;
        due.push_back({.kind = read_kind::Watch,
                       .prefix = m_prefixes.front().prefix,
                       .from = m_watchFrom,
                       .maxWait = watchTimeout});
    }
    if (!m_instanceListInFlight && now >= m_nextInstanceList) {
        m_instanceListInFlight = true;
        due.push_back({.kind = read_kind::Instances});
    }
    return due;
}

void platform_read_scheduler::onDone(timestamp now, read_kind kind, const std::string &prefix,
                                     bool success, std::uint64_t upToVersion)
{
    if (success)
        recordSuccess(now);
    if (kind == read_kind::Watch) {
        m_watchInFlight = false;
        m_watchFrom = std::max(m_watchFrom, upToVersion);
        m_nextWatch = success ? now : now + initialBackoff + m_jitter / 4;
        return;
    }
    if (kind == read_kind::Instances) {
        m_instanceListInFlight = false;
        m_nextInstanceList = now + (success ? instanceListPeriod + m_jitter : initialBackoff * 4);
        return;
    }
    for (prefix_state &state : m_prefixes) {
        if (state.prefix != prefix)
            continue;
        state.inFlight = false;
        if (success) {
            state.loaded = true;
            state.backoff = initialBackoff;
            state.nextRead = now + resyncPeriod + m_jitter;
            m_watchFrom = std::max(m_watchFrom, &state == &m_prefixes.front() ? upToVersion : 0);
        } else {
            state.nextRead = now + state.backoff + m_jitter / 4;
            state.backoff = std::min(state.backoff * 2, maxBackoff);
        }
    }
}

bool platform_read_scheduler::succeededWithin(timestamp now, duration age) const
{
    return m_lastSuccess && now - *m_lastSuccess <= age;
}

bool platform_read_scheduler::hasLoadedAll() const
{
    return std::all_of(m_prefixes.begin(), m_prefixes.end(),
                       [](const prefix_state &state) { return state.loaded; });
}

} // namespace trefoil
