#pragma once

#include <map>
#include <string>
#include <string_view>

#include <core/clock.h>

namespace trefoil {

/// Load of one server as this instance knows it.
struct brittle_load
{
    /// Requests of this instance on the server, and of all instances.
    int own = 0;
    int total = 0;
    /// Requests that the server runs at once.
    int slots = 0;
    /// Instances that send requests to servers, this one included.
    std::size_t instances = 1;
};

/// Keeps the services whose servers state that they are brittle: one that has to reject many
/// requests in a second for want of room ends. Not thread-safe.
///
/// Handles more requests than such a service has room for, from several instances that learn late
/// of each other's: an instance sends a server no more at once than its part of the slots, unless
/// less than half of the slots are known to be taken. So all together hardly exceed the slots, and
/// what is too much waits or is refused before it is sent.
class brittle_services
{
public:
    /// Records whether a server of @p service stated in its answer to a request that was sent at
    /// @p sentAt that it is brittle. Answers to earlier requests are ignored. Returns whether that
    /// changed.
    bool record(timestamp sentAt, std::string_view service, bool isBrittle);

    /// Returns whether the servers of @p service are brittle.
    bool isBrittle(std::string_view service) const;
    /// Returns whether @p server of @p service with @p load may be sent a request.
    bool mayTake(timestamp now, std::string_view service, std::string_view server,
                 const brittle_load &load);

private:
    /// Highest value of the last second: reports show a full server as free when they are sent
    /// between two of its calls.
    class recent_peak
    {
    public:
        /// Records @p value and returns the peak.
        int record(timestamp now, int value);

    private:
        int m_value = 0;
        timestamp m_at;
    };

    struct statement
    {
        timestamp sentAt;
        bool isBrittle = false;
    };

    /// Last statement by service; only of services that were brittle.
    std::map<std::string, statement, std::less<>> m_statements;
    /// Requests on each brittle server, and instances that send requests.
    std::map<std::string, recent_peak, std::less<>> m_totals;
    recent_peak m_instances;
};

} // namespace trefoil
