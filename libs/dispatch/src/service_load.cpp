// Load of a whole service as load_balancer knows it.

#include <dispatch/load_balancer.h>

namespace trefoil {

namespace {

/// Reports arrive every 100 ms and more, so that a sum of this age is hardly older than they are.
constexpr duration maxSumAge = std::chrono::milliseconds(20);

} // namespace

const service_load &load_balancer::serviceLoad(timestamp now, std::string_view service)
{
    auto known = m_serviceLoads.find(service);
    if (known == m_serviceLoads.end())
        known = m_serviceLoads.emplace(std::string(service), sumLoad(now, service)).first;
    else if (now - known->second.at > maxSumAge)
        known->second = sumLoad(now, service);
    return known->second;
}

service_load load_balancer::sumLoad(timestamp now, std::string_view service) const
{
    service_load sum {.at = now,
                      .reportingPeers = m_peerLoads.peerCount(),
                      .busyPeers = m_peerLoads.busyPeerCount()};
    const auto engine = m_engines.find(service);
    const bool isEngine = engine != m_engines.end();
    if (isEngine)
        sum.tokensPerMs = prefillTokensPerMs(service);
    else
        sum.callMs = poolCallMs(service);
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        const server_state &state = it->second;
        const bool isPaused = state.info.service == service && now < state.loadingUntil;
        sum.pausedServers += isPaused && !state.info.isLeaving && !state.isGone ? 1 : 0;
        if (state.isUnreachable || !mayTake(now, state, {.service = service}))
            continue;
        const server_load load = totalLoad(now, state);
        sum.servers += 1;
        sum.slots += isEngine ? engine->second.slots : state.info.slots;
        sum.running += load.running;
        sum.pendingTokens += load.pendingTokens;
        sum.memoryTokens += load.memoryTokens;
        if (isEngine)
            sum.usableMemoryTokens += engine->second.memoryTokens * m_options.memoryShare;
    }
    return sum;
}

} // namespace trefoil
