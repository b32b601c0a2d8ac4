#include "json_http_client.h"

#include <array>
#include <iterator>

#include <platform/object_store.h>

namespace trefoil {

namespace {

/// A server in the region accepts within milliseconds; a lost SYN is retransmitted after one
/// second.
constexpr duration connectTimeout = std::chrono::milliseconds(1200);
/// Longest idle time of a connection that is used again. A connection may fall silent without being
/// closed, and the next call on it would wait until its timeout.
constexpr duration maxIdleTime = std::chrono::milliseconds(500);
/// Limit on a response: several times a page of a list.
constexpr std::size_t maxResponseBytes = 4 << 20;
/// Lowest status of a response that doesn't tell of success.
constexpr int firstRedirect = 300;

} // namespace

json_http_client::json_http_client(endpoint address, double callsPerSecond, byte_budget *budget)
    : m_address(std::move(address)), m_budget(callsPerSecond), m_byteBudget(budget)
{ }

http_connection json_http_client::takeConnection(std::string_view subject)
{
    const timestamp now = boot_clock::now();
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        std::erase_if(it->second, [now](const idle_connection &each) {
            return now - each.since > maxIdleTime;
        });
        it = it->second.empty() ? m_idle.erase(it) : std::next(it);
    }
    const auto idle = m_idle.find(subject);
    while (idle != m_idle.end() && !idle->second.empty()) {
        http_connection connection = std::move(idle->second.back().connection);
        idle->second.pop_back();
        if (connection.isReusable())
            return connection;
    }
    return http_connection(m_address);
}

void json_http_client::returnConnection(std::string_view subject, http_connection connection)
{
    if (subject.empty())
        return;
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_idle[std::string(subject)].push_back(
        {.connection = std::move(connection), .since = boot_clock::now()});
}

void json_http_client::closeIdleConnections()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_idle.clear();
}

result<json_http_client::response> json_http_client::call(const http_request &request,
                                                          const call_times &times,
                                                          std::string_view subject)
{
    if (!m_budget.take(boot_clock::now()))
        return failure(platform_errors::refused,
                       "the rate limit of calls to the platform is exceeded");
    http_connection connection =
        subject.empty() ? http_connection(m_address) : takeConnection(subject);
    const result<http_response> httpResponse =
        connection.send(request,
                        {.total = times.total,
                         .connect = std::min(connectTimeout, times.idle),
                         .idle = times.idle,
                         .pause = times.pause,
                         .arrival = times.arrival,
                         .maxBodyBytes = maxResponseBytes,
                         .budget = m_byteBudget,
                         .wait = times.wait});
    if (!httpResponse) {
        closeIdleConnections();
        const bool isWrite = request.method != "GET";
        const std::string &code = httpResponse.error().code;
        const bool mayHaveArrived =
            isWrite && (code == http_errors::broken || code == http_errors::foreign);
        return failure(mayHaveArrived ? platform_errors::unknownOutcome
                                      : platform_errors::unavailable,
                       httpResponse.error().message);
    }
    // A refusal tells no revision by which a second copy of it could be known.
    if (httpResponse->status < firstRedirect)
        returnConnection(subject, std::move(connection));
    response parsed {.status = httpResponse->status, .body = {}, .headers = httpResponse->headers};
    if (httpResponse->body.empty())
        return parsed;
    // Lists of objects and of changes: one that can't be read must not hide the others.
    static constexpr std::array<std::string_view, 2> lists {"items", "events"};
    result<Json::Value> value = parseJsonLists(
        httpResponse->body, "the response to " + request.path, lists, parsed.skipped);
    if (!value)
        return failure(platform_errors::unavailable, value.error().message);
    parsed.body = std::move(*value);
    return parsed;
}

} // namespace trefoil
