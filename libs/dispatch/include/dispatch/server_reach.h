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
};

/// Decides from the outcomes of new connections whether this instance is cut off from the backend
/// servers as a whole. Open connections tell nothing: they may live on while new ones are refused.
/// Not thread-safe. Times must not decrease.
///
/// Handles an instance that has lost its links to all servers while its callers, the store and the
/// other instances still reach it. The loss of some servers is no such case: connections to others
/// succeed meanwhile.
class server_reach
{
public:
    explicit server_reach(const server_reach_options &options = {}) : m_options(options) { }

    /// Sets the number of servers that are listed.
    void setServerCount(std::size_t count) { m_serverCount = count; }
    /// Records the outcome of a direct connection to @p server. Returns whether isCutOff() changed.
    bool record(timestamp now, std::string_view server, bool isConnected);

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
    /// Last failure by server, since the last success.
    std::map<std::string, timestamp, std::less<>> m_failures;
};

} // namespace trefoil
