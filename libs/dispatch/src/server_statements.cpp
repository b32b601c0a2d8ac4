#include <dispatch/server_statements.h>

#include <algorithm>

namespace trefoil {

server_statements::server_statements(const server_statement_options &options, timestamp now)
    : m_options(options),
      m_requests({.window = options.window, .isStrict = true, .randomSeed = options.randomSeed},
                 now)
{ }

server_statements::changes server_statements::setLimit(timestamp now, timestamp statedAt,
                                                       std::string_view server,
                                                       double requestsPerSecond)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end() || statedAt <= found->second.statedAt)
        return {};
    server_state &state = found->second;
    const double before = state.requestsPerSecond;
    if (requestsPerSecond == 0 && before == 0)
        return {};
    state.statedAt = statedAt;
    if (requestsPerSecond == before)
        return {};
    state.requestsPerSecond = requestsPerSecond;
    if (requestsPerSecond == 0) {
        m_requests.removeLimit(server);
        return {.hasLimitEnded = true};
    }
    const double extra = requestsPerSecond * toSeconds(m_options.extraTime);
    m_requests.setLimit(now, server,
                        {.rate = requestsPerSecond,
                         .burst = m_options.burst + extra,
                         .tolerance = m_options.tolerance + extra});
    return {.hasNewLimit = true};
}

server_statements::changes server_statements::record(timestamp now, timestamp sentAt,
                                                     std::string_view server,
                                                     const server_statement &stated)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return {};
    const double limit = stated.requestsPerSecond.value_or(0);
    changes changed;
    if (limit <= m_options.maxRequestsPerSecond)
        changed = setLimit(
            now, sentAt, server,
            stated.requestsPerSecond ? std::max(limit, m_options.minRequestsPerSecond) : 0);
    server_state &state = found->second;
    changed.isNowLeaving = stated.isLeaving && !state.isLeaving;
    state.isLeaving = state.isLeaving || stated.isLeaving;
    if (stated.pause && *stated.pause <= m_options.maxPause) {
        changed.isNowPaused = state.pausedUntil <= now;
        state.pausedUntil = std::max(state.pausedUntil, now + *stated.pause);
    }
    return changed;
}

bool server_statements::isAvailable(timestamp now, std::string_view server) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end()
        || (!found->second.isLeaving && now >= found->second.pausedUntil);
}

bool server_statements::isLeaving(std::string_view server) const
{
    const auto found = m_servers.find(server);
    return found != m_servers.end() && found->second.isLeaving;
}

std::optional<duration> server_statements::pauseLeft(timestamp now, std::string_view server) const
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end() || found->second.isLeaving || now >= found->second.pausedUntil)
        return std::nullopt;
    return found->second.pausedUntil - now;
}

std::vector<std::string> server_statements::leavingServers() const
{
    std::vector<std::string> names;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        if (it->second.isLeaving)
            names.push_back(it->first);
    }
    return names;
}

void server_statements::applyLeaving(std::span<const std::string> servers)
{
    for (const std::string &server : servers) {
        const auto found = m_servers.find(server);
        if (found != m_servers.end())
            found->second.isLeaving = true;
    }
}

void server_statements::setServers(std::span<const registered_server> servers)
{
    std::map<std::string, server_state, std::less<>> next;
    for (const registered_server &server : servers) {
        const auto known = m_servers.find(server.id);
        const bool isSame =
            known != m_servers.end() && known->second.startedAtMs == server.startedAtMs;
        next.emplace(server.id,
                     isSame ? known->second : server_state {.startedAtMs = server.startedAtMs});
    }
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        const auto kept = next.find(it->first);
        if (kept == next.end() || kept->second.startedAtMs != it->second.startedAtMs)
            m_requests.removeLimit(it->first);
    }
    m_servers = std::move(next);
}

std::optional<duration> server_statements::admit(timestamp now, std::string_view server)
{
    return m_requests.admit(now, server, 1);
}

void server_statements::refund(std::string_view server) { m_requests.refund(server, 1); }

std::vector<server_limit_record> server_statements::limits(timestamp now) const
{
    std::vector<server_limit_record> records;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        const server_state &state = it->second;
        const bool isEnded = state.requestsPerSecond == 0;
        if (state.statedAt == timestamp {}
            || (isEnded && now - state.statedAt > m_options.reportTime))
            continue;
        records.push_back({.server = it->first,
                           .requestsPerSecond = state.requestsPerSecond,
                           .ageMs = static_cast<std::uint64_t>(
                               std::max<std::int64_t>(0, toMilliseconds(now - state.statedAt)))});
    }
    return records;
}

void server_statements::applyLimits(timestamp now, std::span<const server_limit_record> limits)
{
    for (const server_limit_record &each : limits)
        setLimit(now, now - std::chrono::milliseconds(each.ageMs), each.server,
                 std::min(each.requestsPerSecond, m_options.maxRequestsPerSecond));
}

server_statements::counts server_statements::count(timestamp now) const
{
    counts all;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        all.limited += it->second.requestsPerSecond > 0 ? 1 : 0;
        all.leaving += it->second.isLeaving ? 1 : 0;
        all.paused += now < it->second.pausedUntil ? 1 : 0;
    }
    return all;
}

} // namespace trefoil
