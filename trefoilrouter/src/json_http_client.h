#pragma once

#include <mutex>
#include <string>
#include <vector>

#include <configuration/settings.h>
#include <core/clock.h>
#include <core/json.h>
#include <platform/call_budget.h>

#include "http_util.h"

namespace trefoil {

/// Client of one HTTP server with JSON responses. Keeps connections open and limits the rate of
/// calls. Thread-safe.
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
    /// Sends @p request and returns the response. Errors: those of platform_errors; refused if the
    /// call rate limit is exceeded, unknown-outcome if a write may have taken effect.
    result<response> call(const http_request &request, const call_times &times);

    /// Returns the call rate limiter, for metrics.
    const call_budget &budget() const { return m_budget; }

private:
    struct idle_connection
    {
        http_connection connection;
        timestamp since;
    };

    http_connection takeConnection();
    void returnConnection(http_connection connection);
    /// Closes the idle connections: they may be as dead as the one that just failed.
    void closeIdleConnections();

    endpoint m_address;
    call_budget m_budget;
    byte_budget *m_byteBudget;
    std::mutex m_mutex;
    std::vector<idle_connection> m_idle;
};

} // namespace trefoil
