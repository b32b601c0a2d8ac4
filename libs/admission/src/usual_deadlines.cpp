#include <admission/usual_deadlines.h>

#include <algorithm>

namespace trefoil {

namespace {

constexpr duration windowLength = std::chrono::minutes(1);
/// First attempts of a route state the same time, so that a tenth less is clearly a later attempt.
constexpr double retryFraction = 0.9;

} // namespace

void usual_deadlines::record(timestamp now, std::string_view route, duration time)
{
    auto found = m_routes.find(route);
    if (found == m_routes.end())
        found = m_routes.emplace(std::string(route), window {.start = now}).first;
    window &seen = found->second;
    if (now - seen.start >= windowLength)
        seen = {.start = now,
                .previous = now - seen.start < 2 * windowLength ? seen.current : duration {}};
    seen.current = std::max(seen.current, time);
}

duration usual_deadlines::longest(timestamp now, std::string_view route) const
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end() || now - found->second.start >= 2 * windowLength)
        return {};
    const window &seen = found->second;
    return now - seen.start >= windowLength ? seen.current : std::max(seen.current, seen.previous);
}

bool usual_deadlines::isRetry(timestamp now, std::string_view route, duration time) const
{
    return toSeconds(time) < toSeconds(longest(now, route)) * retryFraction;
}

} // namespace trefoil
