#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <configuration/settings.h>
#include <core/clock.h>
#include <core/error.h>
#include <http/attempt_response_reader.h>
#include <http/byte_budget.h>
#include <http/byte_stream.h>
#include <http/message.h>
#include <http/response_wait.h>

namespace trefoil {

/// An HTTP request with its body held in memory.
struct http_request
{
    std::string method = "GET";
    std::string path;
    std::string body;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    /// Identifier of the attempt, sent as attemptField. With one, only a response that is known to
    /// answer the attempt is returned, and the connection is reusable only if the response named
    /// it. The method must not be HEAD then.
    std::string attemptId;
};

/// Whole response to an http_request, held in memory.
struct http_response
{
    int status = 0;
    std::string body;
    header_list headers;
    /// Responses to earlier requests on the connection that came before it.
    int skippedResponses = 0;
};

/// Error codes of http_connection.
namespace http_errors {
/// The connection was refused: nothing was sent.
inline constexpr const char *refused = connect_errors::refused;
/// The connection could not be established: nothing was sent.
inline constexpr const char *unreachable = connect_errors::unreachable;
/// The request was sent at least in part, but no whole response was received in time and within the
/// limits.
inline constexpr const char *broken = "broken";
/// The request was sent, but the response is to another one, or may be.
inline constexpr const char *foreign = attempt_errors::foreignResponse;
} // namespace http_errors

/// Bounds of one exchange.
struct exchange_limits
{
    /// Time for all of it, from connecting to the last byte.
    duration total = std::chrono::seconds(1);
    /// Time for connecting, and longest time without a byte.
    duration connect = duration::max();
    duration idle = duration::max();
    /// Longest time without a byte once the response has begun to arrive.
    duration pause = duration::max();
    /// Time from the response's first byte to its last.
    duration arrival = duration::max();
    /// Limit on the body. The head has a fixed limit.
    std::size_t maxBodyBytes = 64 * 1024;
    /// Bounds the response together with what other readers hold, if set.
    byte_budget *budget = nullptr;
    /// Lets another thread end the wait for the response, if set.
    response_wait *wait = nullptr;
};

/// Client connection that carries one request after the other. Not thread-safe.
class http_connection
{
public:
    /// Connects to @p address with the first request.
    explicit http_connection(endpoint address) : m_address(std::move(address)) { }

    /// Sends @p request and reads the response. Errors: those of http_errors; the connection is
    /// closed then.
    result<http_response> send(const http_request &request, const exchange_limits &limits);
    /// Returns whether the connection is open and idle, so that a further request may use it.
    bool isReusable() const { return m_stream && m_stream->isIdle(); }

private:
    result<http_response> read(const http_request &request, bool isRequestWritten,
                               timestamp deadline, const exchange_limits &limits);

    endpoint m_address;
    std::optional<byte_stream> m_stream;
    /// Whether the connection has carried a request before the current one.
    bool m_isKept = false;
};

/// Sends @p request on a new connection to @p address and reads the response. Errors: those of
/// http_errors. Thread-safe.
result<http_response> sendHttpRequestOnNewConnection(const endpoint &address,
                                                     const http_request &request,
                                                     const exchange_limits &limits);

} // namespace trefoil
