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
constexpr std::size_t reachProbes = 6;
/// Servers that are probed beside those that may be lost. One could be lost too, and not yet be
/// known to be.
constexpr std::size_t controlProbes = 2;
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

bool load_balancer::recordConnection(timestamp now, timestamp startedAt, std::string_view server,
                                     bool isConnected)
{
    // The entry of a lost server may have been removed since.
    if (!isConnected && findServer(server) == nullptr)
        return false;
    const auto isUnreachableOne = [](const auto &each) { return each.second.isUnreachable; };
    return m_reach.record(
        now,
        {.server = server,
         .startedAt = startedAt,
         .isConnected = isConnected,
         .wasUnreachable = isUnreachable(server),
         .areAllUnreachable =
             !isConnected && std::all_of(m_servers.begin(), m_servers.end(), isUnreachableOne)});
}

std::vector<load_balancer::server_state *> load_balancer::reachableServers(timestamp now,
                                                                           std::size_t count)
{
    std::vector<server_state *> found;
    if (count == 0)
        return found;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        server_state &state = it->second;
        if (!state.isUnreachable && !state.isGone && !state.needsProbe && !state.isProbing
            && now >= state.suspectUntil)
            found.push_back(&state);
    }
    std::shuffle(found.begin(), found.end(), m_random);
    found.resize(std::min(count, found.size()));
    return found;
}

std::vector<registered_server> load_balancer::serversToProbe(timestamp now)
{
    std::vector<registered_server> due;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        server_state &state = it->second;
        if (!state.needsProbe || state.isProbing || state.isGone
            || now - state.probedAt < probeInterval)
            continue;
        state.probedAt = now;
        state.isProbing = true;
        due.push_back(state.info);
    }
    return due;
}

std::vector<registered_server> load_balancer::controlServers(timestamp now,
                                                             std::span<const registered_server> due)
{
    const bool areNewlyLost =
        std::any_of(due.begin(), due.end(),
                    [this](const registered_server &each) { return !isUnreachable(each.id); });
    const std::size_t count = m_reach.isSuspected(now) ? reachProbes
        : areNewlyLost                                 ? controlProbes
                                                       : 0;
    std::vector<registered_server> controls;
    for (server_state *each : reachableServers(now, count)) {
        each->probedAt = now;
        each->isProbing = true;
        controls.push_back(each->info);
    }
    return controls;
}

void load_balancer::onProbeResult(std::string_view server, bool isReachable)
{
    server_state *state = findServer(server);
    if (state == nullptr)
        return;
    // The probe of a control server says nothing of the requests that it may have lost.
    if (isReachable && state->needsProbe)
        state->consecutiveLosses = 0;
    state->isProbing = false;
    state->isUnreachable = !isReachable;
    state->needsProbe = !isReachable;
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

std::vector<registered_server> load_balancer::otherServers(timestamp now, std::string_view server,
                                                           std::size_t count)
{
    std::vector<registered_server> others;
    for (const server_state *each : reachableServers(now, count + 1)) {
        if (each->info.id != server && others.size() < count)
            others.push_back(each->info);
    }
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
