#pragma once

#include <map>
#include <string>
#include <string_view>

#include <core/clock.h>

namespace trefoil {

/// Options of server_reach.
struct server_reach_options
{
    /// Different servers to which connections must fail before the instance counts as cut off.
    std::size_t minFailedServers = 4;
    /// Different servers whose failures make it worth probing others.
    std::size_t minSuspiciousServers = 2;
    /// How long a failure counts until the instance is cut off: longer than two connect timeouts.
    duration failureLifetime = std::chrono::seconds(2);
    /// Time from the first failure until the instance counts as cut off. Connections that are
    /// refused fail at once, and those to other servers must have time to succeed.
    duration minFailureTime = std::chrono::milliseconds(100);
};

/// Outcome of a new direct connection to a server.
struct connection_outcome
{
    std::string_view server;
    /// When it was decided to connect.
    timestamp startedAt;
    bool isConnected = false;
    /// Whether the server was known to be unreachable before.
    bool wasUnreachable = false;
    /// Whether all listed servers are unreachable.
    bool areAllUnreachable = false;
};

/// Decides from the outcomes of new connections whether this instance is cut off from the backend
/// servers as a whole. Open connections tell nothing: they may live on while new ones are refused.
/// Not thread-safe. Times must not decrease.
///
/// Handles an instance that has lost its links to all servers while its callers, the store and the
/// other instances still reach it. The loss of a part of the servers is no such case, although an
/// instance may then have connections to lost servers only: a failure counts only if no connection
/// has succeeded since its start, and probes of servers that may be lost go with some of others.
class server_reach
{
public:
    explicit server_reach(const server_reach_options &options = {}) : m_options(options) { }

    /// Sets the number of servers that are listed.
    void setServerCount(std::size_t count) { m_serverCount = count; }
    /// Records @p outcome. Returns whether isCutOff() changed.
    bool record(timestamp now, const connection_outcome &outcome);

    /// Returns whether the instance is cut off: connections to several servers have failed, and
    /// none has succeeded since.
    bool isCutOff() const { return m_isCutOff; }
    /// Returns whether other servers should be probed to tell whether the instance is cut off.
    bool isSuspected(timestamp now) const;

private:
    std::size_t countFailed(timestamp now) const;

    server_reach_options m_options;
    std::size_t m_serverCount = 0;
    bool m_isCutOff = false;
    timestamp m_connectedAt;
    /// First failure since then, and the last one by server.
    timestamp m_failedSince;
    std::map<std::string, timestamp, std::less<>> m_failures;
};

} // namespace trefoil
