#include <admission/served_shares.h>

#include <cmath>

namespace trefoil {

namespace {

/// Time in which a request's weight falls to a third: long enough to see some requests of a rare
/// kind, short enough to follow a burst.
constexpr double memorySeconds = 8;
/// Requests that are assumed to have been admitted at the mean share.
constexpr double assumedRequests = 6;
/// Kinds with less than half a recent request are forgotten beyond this number.
constexpr std::size_t maxKinds = 4096;
constexpr double minAsked = 0.5;

} // namespace

served_count served_count::agedTo(timestamp now) const
{
    if (now <= at)
        return *this;
    const double factor = std::exp(-toSeconds(now - at) / memorySeconds);
    return {.asked = asked * factor, .admitted = admitted * factor, .at = now};
}

double served_count::share(double assumed) const
{
    return (admitted + assumedRequests * assumed) / (asked + assumedRequests);
}

void served_shares::recordAsked(timestamp now, std::uint64_t kind)
{
    if (m_kinds.size() >= maxKinds && !m_kinds.contains(kind)) {
        std::erase_if(m_kinds,
                      [now](const auto &each) { return each.second.agedTo(now).asked < minAsked; });
        if (m_kinds.size() >= maxKinds)
            return;
    }
    served_count &count = m_kinds[kind];
    count = count.agedTo(now);
    count.asked += 1;
}

void served_shares::recordAdmitted(timestamp now, std::uint64_t kind)
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end())
        return;
    found->second = found->second.agedTo(now);
    found->second.admitted += 1;
}

double served_shares::share(timestamp now, std::uint64_t kind, double assumed) const
{
    const auto found = m_kinds.find(kind);
    return found == m_kinds.end() ? assumed : found->second.agedTo(now).share(assumed);
}

} // namespace trefoil
