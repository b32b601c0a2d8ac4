#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <core/clock.h>
#include <dispatch/serving_tables.h>
#include <dispatch/team_limits.h>

namespace trefoil {

/// What a backend server states about itself in one answer.
struct server_statement
{
    /// Requests per second that it takes from all instances together; empty if it names no limit.
    std::optional<double> requestsPerSecond;
    /// Whether it is about to stop and wants no further requests.
    bool isLeaving = false;
    /// How long it wants no requests from this instance.
    std::optional<duration> pause;
};

/// Limit that a server has named, or stopped to name, for the reports to other instances.
struct server_limit_record
{
    std::string server;
    /// 0 if the server has stopped to name a limit.
    double requestsPerSecond = 0;
    /// Milliseconds since the request was sent whose answer stated it.
    std::uint64_t ageMs = 0;
};

/// Options of server_statements.
struct server_statement_options
{
    /// Window in which a server gets no more requests than its limit allows.
    duration window = std::chrono::seconds(4);
    /// Requests in a window, beyond its limit, that a server may get at once, and that instances
    /// may send because they learn late of each other's requests: some, and as many as the limit
    /// allows in a time.
    double burst = 1;
    double tolerance = 2;
    duration extraTime = std::chrono::milliseconds(500);
    /// Bounds of a limit in requests per second. One of 0 would never be taken back, because only
    /// answers do that; one above the upper bound limits nothing.
    double minRequestsPerSecond = 0.1;
    double maxRequestsPerSecond = 10000;
    /// A longer pause is ignored: the server would hardly be heard of again.
    duration maxPause = std::chrono::hours(1);
    /// How long a limit that has ended is reported: many reports carry it.
    duration reportTime = std::chrono::seconds(3);
    std::uint32_t randomSeed = 1;
};

/// Collects what backend servers state about themselves and decides which of them may get a
/// request. What a server stated is forgotten when it restarts or is no longer listed. Not
/// thread-safe.
///
/// Handles a server in need that names a limit: all instances together keep to it, and the
/// requests beyond it go to other servers. Handles a server that is leaving, before its
/// registration tells, and one that rejects requests for a while.
class server_statements
{
public:
    explicit server_statements(const server_statement_options &options, timestamp now = {});

    /// What a statement changed, for the log.
    struct changes
    {
        bool hasNewLimit = false;
        bool hasLimitEnded = false;
        bool isNowLeaving = false;
        bool isNowPaused = false;

        bool operator==(const changes &) const = default;
    };
    /// Records what @p server stated in its answer to a request that was sent at @p sentAt. A limit
    /// that is older than the known one is ignored. Of several pauses, the one that ends last
    /// counts.
    changes record(timestamp now, timestamp sentAt, std::string_view server,
                   const server_statement &stated);
    /// Forgets servers that are not listed or have restarted.
    void setServers(std::span<const registered_server> servers);

    /// Returns whether @p server takes requests from this instance, apart from its limit.
    bool isAvailable(timestamp now, std::string_view server) const;
    /// Returns whether @p server has stated that it is leaving.
    bool isLeaving(std::string_view server) const;
    /// Returns how long @p server wants no requests from this instance, or nothing if it takes them
    /// or is leaving.
    std::optional<duration> pauseLeft(timestamp now, std::string_view server) const;

    /// Tries to take a request for @p server from its limit. Returns nothing if it may be sent,
    /// otherwise the time after which to retry.
    std::optional<duration> admit(timestamp now, std::string_view server);
    /// Returns a request that was not sent.
    void refund(std::string_view server);

    /// Returns the limits to report to other instances.
    std::vector<server_limit_record> limits(timestamp now) const;
    /// Applies limits that another instance reported.
    void applyLimits(timestamp now, std::span<const server_limit_record> limits);
    /// Returns the servers that are leaving, to report to other instances.
    std::vector<std::string> leavingServers() const;
    /// Applies what another instance reported of servers that are leaving.
    void applyLeaving(std::span<const std::string> servers);
    /// Returns the requests that were sent to servers with a limit. See team_limits.
    team_limits &requests() { return m_requests; }
    /// Number of servers by what they have stated.
    struct counts
    {
        std::size_t limited = 0;
        std::size_t leaving = 0;
        std::size_t paused = 0;
    };
    counts count(timestamp now) const;

private:
    struct server_state
    {
        std::uint64_t startedAtMs = 0;
        /// 0 for none.
        double requestsPerSecond = 0;
        /// When the request was sent whose answer stated the limit or its end.
        timestamp statedAt;
        bool isLeaving = false;
        timestamp pausedUntil;
    };

    changes setLimit(timestamp now, timestamp statedAt, std::string_view server,
                     double requestsPerSecond);

    server_statement_options m_options;
    /// By server id.
    std::map<std::string, server_state, std::less<>> m_servers;
    team_limits m_requests;
};

} // namespace trefoil
