#pragma once

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <configuration/settings.h>
#include <core/clock.h>
#include <core/json.h>
#include <platform/call_budget.h>

#include "http_util.h"

namespace trefoil {

/// Client of one HTTP server with JSON responses. Keeps connections open and limits the rate of
/// calls. Thread-safe.
///
/// Responses carry no id, so that a server that sends one twice answers the next call on that
/// connection with it. A kept connection therefore serves the calls of one subject only, and what
/// the caller knows of the subject has to tell an earlier response from the one that is due.
class json_http_client
{
public:
    /// Makes calls to @p address. A call beyond @p callsPerSecond fails without being sent. With
    /// @p budget, which must outlive this object, it bounds the responses together with what others
    /// hold.
    json_http_client(endpoint address, double callsPerSecond, byte_budget *budget = nullptr);

    /// Response of any status.
    struct response
    {
        int status = 0;
        /// Null if the response has no body.
        Json::Value body;
        header_list headers;
        /// Elements of the response's lists that are not valid JSON and were left out.
        std::vector<std::string> skipped;
    };

    /// Time for one call.
    struct call_times
    {
        /// Longest wait for data.
        duration idle;
        /// Time for the whole call.
        duration total;
        /// Longest pause within the response.
        duration pause = duration::max();
        /// Time from the response's first byte to its last.
        duration arrival = duration::max();
        /// Lets another thread end the wait for the response, if set.
        response_wait *wait = nullptr;
    };
    /// Sends @p request and returns the response. Uses a connection that only calls of the same
    /// @p subject have used, or one that no other call uses if it is empty. Errors: those of
    /// platform_errors; refused if the call rate limit is exceeded, unknown-outcome if a write may
    /// have taken effect.
    result<response> call(const http_request &request, const call_times &times,
                          std::string_view subject);
    /// Closes the idle connections: the server that answered on one may answer wrongly again, and
    /// one that failed may have taken the others with it.
    void closeIdleConnections();

    /// Returns the call rate limiter, for metrics.
    const call_budget &budget() const { return m_budget; }

private:
    struct idle_connection
    {
        http_connection connection;
        timestamp since;
    };

    http_connection takeConnection(std::string_view subject);
    void returnConnection(std::string_view subject, http_connection connection);

    endpoint m_address;
    call_budget m_budget;
    byte_budget *m_byteBudget;
    std::mutex m_mutex;
    /// Idle connections by subject.
    std::map<std::string, std::vector<idle_connection>, std::less<>> m_idle;
};

} // namespace trefoil
