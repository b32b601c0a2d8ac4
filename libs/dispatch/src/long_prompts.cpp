#include <dispatch/long_prompts.h>

#include <algorithm>
#include <cmath>

namespace trefoil {

bool long_prompts::isLong(duration target, duration shortest) const
{
    return toSeconds(target) >= toSeconds(shortest) * m_options.minTargetRatio;
}

void long_prompts::setRoutes(std::span<const served_route> routes)
{
    struct target_range
    {
        duration shortest = duration::max();
        duration longest = duration::zero();
    };
    std::map<std::string, target_range, std::less<>> ranges;
    for (const served_route &route : routes) {
        for (const route_target &target : route.targets) {
            target_range &range = ranges[target.service];
            range.shortest = std::min(range.shortest, route.targetLatency);
            range.longest = std::max(range.longest, route.targetLatency);
        }
    }
    m_services.clear();
    for (auto it = ranges.begin(); it != ranges.end(); ++it) {
        const target_range &range = it->second;
        if (range.shortest > duration::zero() && isLong(range.longest, range.shortest))
            m_services[it->first] = {.shortest = range.shortest, .pause = duration::max()};
    }
    for (const served_route &route : routes) {
        for (const route_target &target : route.targets) {
            const auto found = m_services.find(target.service);
            if (found == m_services.end() || isLong(route.targetLatency, found->second.shortest))
                continue;
            const duration pause =
                route.targetPause > duration::zero() ? route.targetPause : route.targetLatency;
            found->second.pause = std::min(found->second.pause, pause);
        }
    }
}

double long_prompts::costMs(std::string_view service, duration target,
                            const prefill_load &load) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return 0;
    const double pauseMs = m_options.tokensPerEvent / load.tokensPerMs;
    const double allowedMs = toSeconds(found->second.pause) * 1000;
    const double weight = std::pow(std::min(1.0, pauseMs / allowedMs), m_options.pauseExponent);
    const double delayedMs = isLong(target, found->second.shortest)
        ? m_options.delayedShare * load.running * load.ownTokens / load.tokensPerMs
        : load.pendingTokens / load.tokensPerMs;
    return delayedMs * weight;
}

} // namespace trefoil
