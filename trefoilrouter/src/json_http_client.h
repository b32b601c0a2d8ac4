#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <Poco/Net/HTTPClientSession.h>
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
    /// Makes calls to @p address. A call beyond @p callsPerSecond fails without being sent.
    json_http_client(endpoint address, double callsPerSecond);

    /// Response of any status.
    struct response
    {
        int status = 0;
        /// Null if the response has no body.
        Json::Value body;
        Poco::Net::NameValueCollection headers;
        /// Elements of the response's lists that are not valid JSON and were left out.
        std::vector<std::string> skipped;
    };

    /// Sends @p request and returns the response; @p timeout limits each wait for data. Errors:
    /// those of platform_errors; refused if the call rate limit is exceeded, unknown-outcome if a
    /// write may have taken effect.
    result<response> call(const http_request &request, duration timeout);

    /// Returns the call rate limiter, for metrics.
    const call_budget &budget() const { return m_budget; }

private:
    using session_ptr = std::unique_ptr<Poco::Net::HTTPClientSession>;
    struct idle_session
    {
        session_ptr session;
        timestamp since;
    };

    session_ptr takeSession();
    void returnSession(session_ptr session);
    /// Closes the idle connections: they may be as dead as the one that just failed.
    void closeIdleSessions();

    endpoint m_address;
    call_budget m_budget;
    std::mutex m_mutex;
    std::vector<idle_session> m_idle;
};

} // namespace trefoil
