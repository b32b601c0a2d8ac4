#include <dispatch/unheard_admissions.h>

#include <algorithm>
#include <iterator>

namespace trefoil {

namespace {

constexpr duration slotTime = std::chrono::milliseconds(50);
constexpr duration knowledgeInterval = std::chrono::milliseconds(100);

timestamp slotOf(timestamp at) { return at - at.time_since_epoch() % slotTime; }

} // namespace

void unheard_admissions::add(timestamp at, double units)
{
    const timestamp started = slotOf(at);
    const auto found =
        std::lower_bound(m_admitted.begin(), m_admitted.end(), started,
                         [](const slot &each, timestamp time) { return each.startedAt < time; });
    if (found != m_admitted.end()) {
        if (found->startedAt == started)
            found->units += units;
        return;
    }
    if (units <= 0)
        return;
    m_admitted.push_back({.startedAt = started, .units = units});
    while (started - m_admitted.front().startedAt > maxTime)
        m_admitted.pop_front();
}

double unheard_admissions::since(timestamp from) const
{
    const timestamp started = slotOf(from);
    double sum = 0;
    for (auto it = m_admitted.rbegin(); it != m_admitted.rend() && it->startedAt >= started; ++it)
        sum += it->units;
    return sum;
}

void unheard_admissions::keep(timestamp now, const team_knowledge &known)
{
    if (!m_known.empty() && now - m_known.back().at < knowledgeInterval)
        return;
    m_known.push_back({.at = now, .known = known});
    while (now - m_known.front().at > maxTime + knowledgeInterval)
        m_known.pop_front();
}

team_knowledge unheard_admissions::knownAt(timestamp at) const
{
    if (m_known.empty())
        return {};
    const auto after =
        std::upper_bound(m_known.begin(), m_known.end(), at,
                         [](timestamp time, const record &each) { return time < each.at; });
    return after == m_known.begin() ? after->known : std::prev(after)->known;
}

} // namespace trefoil
