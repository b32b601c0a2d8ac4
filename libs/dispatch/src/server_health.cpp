// Suspicion and reachability of the backend servers as load_balancer knows them.

#include <dispatch/load_balancer.h>

#include <algorithm>

namespace trefoil {

namespace {

/// Time for which a server stays suspect; doubled with each suspicion up to the maximum.
constexpr duration minSuspicionTime = std::chrono::milliseconds(700);
constexpr duration maxSuspicionTime = std::chrono::seconds(6);
/// Time between probes of a server that can't be reached.
constexpr duration probeInterval = std::chrono::milliseconds(500);
/// Servers that are probed at once when this instance may be cut off: as many as are probed side by
/// side.
constexpr int reachProbes = 6;
/// Minimum time between probes that other instances cause.
constexpr duration requestedProbeInterval = std::chrono::milliseconds(1500);

} // namespace

bool load_balancer::isSuspect(timestamp now, std::string_view server) const
{
    const server_state *state = findServer(server);
    return state != nullptr && now < state->suspectUntil;
}

void load_balancer::onServerSilent(timestamp now, std::uint64_t ticket)
{
    const auto found = m_tickets.find(ticket);
    if (found == m_tickets.end() || found->second.wasSilent)
        return;
    found->second.wasSilent = true;
    if (server_state *server = findServer(found->second.server))
        markSuspect(now, *server);
}

void load_balancer::markSuspect(timestamp now, server_state &state)
{
    if (now < state.suspectUntil)
        return;
    const duration time =
        std::min(minSuspicionTime * (1 << std::min(state.suspicionCount, 4)), maxSuspicionTime);
    state.suspectUntil = now + time;
    state.suspicionCount += 1;
    state.needsProbe = true;
}

std::vector<registered_server> load_balancer::serversToProbe(timestamp now)
{
    int reachProbesLeft = m_reach.isSuspected(now) ? reachProbes : 0;
    std::vector<registered_server> due;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        server_state &state = it->second;
        if (state.isProbing || state.isGone || now - state.probedAt < probeInterval
            || (!state.needsProbe && reachProbesLeft == 0))
            continue;
        reachProbesLeft -= state.needsProbe ? 0 : 1;
        state.probedAt = now;
        state.isProbing = true;
        due.push_back(state.info);
    }
    return due;
}

void load_balancer::onProbeResult(std::string_view server, bool isReachable)
{
    server_state *state = findServer(server);
    if (state == nullptr)
        return;
    state->isProbing = false;
    state->isUnreachable = !isReachable;
    state->needsProbe = !isReachable;
    if (isReachable)
        state->consecutiveLosses = 0;
}

void load_balancer::requestProbe(timestamp now, std::string_view server)
{
    server_state *state = findServer(server);
    if (state != nullptr && now - state->probedAt > requestedProbeInterval)
        state->needsProbe = true;
}

std::vector<std::string> load_balancer::unreachableServers() const
{
    return serversWithFlag(&server_state::isUnreachable);
}

std::vector<registered_server> load_balancer::otherServers(std::string_view server,
                                                           std::size_t count)
{
    std::vector<registered_server> others;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        if (it->first != server && !it->second.isUnreachable && !it->second.isGone)
            others.push_back(it->second.info);
    }
    std::shuffle(others.begin(), others.end(), m_random);
    others.resize(std::min(count, others.size()));
    return others;
}

bool load_balancer::isServerAddress(const endpoint &address) const
{
    return std::any_of(m_servers.begin(), m_servers.end(),
                       [&](const auto &each) { return each.second.info.address == address; });
}

bool load_balancer::isUnreachable(std::string_view server) const
{
    const server_state *state = findServer(server);
    return state != nullptr && state->isUnreachable;
}

double load_balancer::poolFailureShare(std::string_view service) const
{
    double sum = 0;
    int count = 0;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        if (it->second.info.service != service)
            continue;
        sum += it->second.failureShare;
        count += 1;
    }
    return count > 0 ? sum / count : 0;
}

} // namespace trefoil
