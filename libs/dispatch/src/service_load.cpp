// Load of a whole service as load_balancer knows it, and the division of nearly full engines.

#include <algorithm>
#include <cmath>

#include <core/rendezvous.h>
#include <dispatch/load_balancer.h>

namespace trefoil {

namespace {

/// Reports arrive every 200 ms and more, so that a sum of this age is hardly older than they are.
constexpr duration maxSumAge = std::chrono::milliseconds(20);
/// Time in seconds over which this instance's load is averaged: the age of reports when the next
/// ones arrive.
constexpr double averageSeconds = 0.4;
/// Interval at which engines are divided anew: instances seldom begin or cease to have callers.
constexpr duration assignmentInterval = std::chrono::milliseconds(500);
/// Times its fair share of an engine's memory that an instance may use which may not fill it. With
/// 2, one and a half times as many requests overcommitted an engine's memory.
constexpr double maxOwnShares = 1.3;

} // namespace

const service_load &load_balancer::serviceLoad(timestamp now, std::string_view service)
{
    auto known = m_serviceLoads.find(service);
    const bool isNew = known == m_serviceLoads.end();
    if (isNew)
        known = m_serviceLoads.emplace(std::string(service), summed_load {}).first;
    summed_load &summed = known->second;
    if (!isNew && now - summed.load.at <= maxSumAge)
        return summed.load;
    const double kept = isNew ? 0 : std::exp(-toSeconds(now - summed.load.at) / averageSeconds);
    double ownTokens = 0;
    summed.load = sumLoad(now, service, ownTokens);
    summed.averageOwnTokens = summed.averageOwnTokens * kept + ownTokens * (1 - kept);
    // Callers choose among the instances at random, so that the load of all grows alike.
    summed.load.unseenMemoryTokens = std::max(0.0, ownTokens - summed.averageOwnTokens)
        * static_cast<double>(summed.load.busyPeers);
    return summed.load;
}

service_load load_balancer::sumLoad(timestamp now, std::string_view service,
                                    double &ownMemoryTokens) const
{
    service_load sum {.at = now,
                      .reportingPeers = m_peerLoads.peerCount(),
                      .busyPeers = m_peerLoads.busyPeers().size()};
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
        ownMemoryTokens += state.own.memoryTokens;
        if (isEngine)
            sum.usableMemoryTokens += engine->second.memoryTokens * m_options.memoryShare;
    }
    return sum;
}

void load_balancer::assignFullEngines(timestamp now)
{
    if (m_fullEnginesAssignedAt != timestamp {}
        && now - m_fullEnginesAssignedAt < assignmentInterval)
        return;
    m_fullEnginesAssignedAt = now;
    const std::vector<std::string> peers = m_peerLoads.busyPeers();
    m_busyPeers = peers.size();
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        const std::uint64_t weight = rendezvousWeight(it->first, m_options.self);
        it->second.isFilledHere =
            std::none_of(peers.begin(), peers.end(), [&](const std::string &peer) {
                return rendezvousWeight(it->first, peer) > weight;
            });
    }
}

bool load_balancer::fitsMemory(const server_state &state, const engine_traits &engine,
                               const server_load &load, double memoryTokens) const
{
    // Instances hear late of each other's requests. All of them together would fill what one engine
    // has left; the last part of each engine's memory is therefore for one instance only.
    const double share =
        m_options.memoryShare * (state.isFilledHere ? 1 : 1 - m_options.memoryShareOfOne);
    const double taken = load.memoryTokens + (state.isFilledHere ? 0 : m_unseenTokens);
    const double own = state.own.memoryTokens;
    const double ownLimit =
        engine.memoryTokens * share * maxOwnShares / static_cast<double>(m_busyPeers + 1);
    if (!state.isFilledHere && own > 0 && own + memoryTokens > ownLimit)
        return false;
    // A request that is larger than the usable memory fits on an idle engine only.
    return load.running <= 0 || taken + memoryTokens <= engine.memoryTokens * share;
}

} // namespace trefoil
