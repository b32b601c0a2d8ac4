#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <control/control_node.h>
#include <core/error.h>
#include <http/http_connection.h>
#include <http/response_body.h>
#include <telemetry/metrics.h>

#include "http_util.h"

namespace trefoil {

/// A request to a backend server.
struct backend_request
{
    std::string method = "POST";
    std::string path;
    std::string contentType = "application/json";
    std::span<const std::string_view> body;
    std::vector<std::pair<std::string, std::string>> headers;
    /// Names the attempt to the server. Precondition: not used before.
    std::string attemptId = newAttemptId();
    /// Whether an idle connection may be reused. Must be false for requests that are not
    /// idempotent: the server may close an idle connection while the request is being sent. Has no
    /// effect on HEAD, which always gets a connection of its own.
    bool mayReuse = true;
    duration timeout = std::chrono::seconds(30);
    /// Polled while waiting for the response; the attempt is abandoned once it returns true.
    std::function<bool()> isCallerGone;
};

/// Error codes of backend_exchange.
namespace backend_errors {
/// The connection could not be established: nothing was sent.
inline constexpr const char *notSent = "not-sent";
/// The connection broke because the server process exited.
inline constexpr const char *crashed = "crashed";
/// The connection broke, but the server process is alive.
inline constexpr const char *connectionLost = "cut";
/// The server's answer is to another request, or may be.
inline constexpr const char *foreignAnswer = "foreign-answer";
inline constexpr const char *timeout = "timeout";
/// The caller disconnected before the response began.
inline constexpr const char *callerGone = "caller-gone";
} // namespace backend_errors

class backend_client;

/// One HTTP request and its response. The connection is reused only if finish() found the end of
/// the response and the response named the attempt. Not thread-safe.
class backend_exchange
{
public:
    /// Precondition: @p client outlives it.
    backend_exchange(backend_client &client, endpoint address);
    ~backend_exchange();
    backend_exchange(const backend_exchange &) = delete;
    backend_exchange &operator=(const backend_exchange &) = delete;

    /// Sends @p request and waits for the head of the response to it: late answers to earlier
    /// requests on the connection are skipped. Errors: those of backend_errors.
    result<void> start(const backend_request &request);
    /// Returns the response head. Precondition: start() succeeded.
    const response_head &response() const { return m_response; }
    /// Waits for more of the response body and returns it; "" at its end. A body that is cut short
    /// has no end. Errors: crashed, connectionLost; timeout if nothing arrives for the request's
    /// timeout.
    result<std::string> read();
    /// Releases the connection for reuse if the response ends here. Otherwise the connection is
    /// closed, since the rest of this response would be read as the start of the next one.
    void finish();

private:
    result<void> send(const backend_request &request, timestamp deadline);
    /// Reads up to the head of the response to @p request. Errors: those of backend_errors.
    result<response_head> readHead(const backend_request &request, timestamp deadline);
    /// Reads more bytes until @p deadline. Errors: those of backend_errors but notSent.
    result<void> readMore(timestamp deadline, const std::function<bool()> &isCallerGone);
    tl::unexpected<error> classifyBrokenConnection(const std::string &message) const;

    backend_client &m_client;
    endpoint m_address;
    std::optional<byte_stream> m_stream;
    /// Whether the connection carried another request before.
    bool m_isKeptConnection = false;
    /// Whether the connection may carry another request after this one.
    bool m_mayBeKept = false;
    bool m_hasBody = false;
    bool m_isRequestWritten = false;
    duration m_timeout {};
    response_head m_response;
    body_framing m_framing;
    std::optional<response_body> m_body;
    bool m_isReusable = false;
};

/// Pool of connections to backend servers, and client of the control protocol of engines, the
/// backend servers that run models: state, load orders and cancellation. Thread-safe.
class backend_client
{
public:
    /// Precondition: @p metrics outlives it.
    explicit backend_client(metric_registry &metrics);

    /// Returns an exchange with @p address.
    std::unique_ptr<backend_exchange> open(const endpoint &address);
    /// Reads an engine's state and its cache events from @c poll.fromSequence on. Late answers to
    /// earlier polls are skipped. Errors: those of http_errors, and "bad-state" for a malformed
    /// state.
    result<server_state_report> readState(const server_poll &poll);
    /// Orders an engine to load a version. Errors: "stale-epoch" if the engine rejected the fencing
    /// token as outdated, "refused" for any other error status, and those of http_errors.
    result<void> sendLoadOrder(const server_order &order);
    /// Asks an engine to cancel the attempt with identifier @p attempt. Best effort: errors are
    /// ignored.
    void cancel(const endpoint &address, const std::string &credential, const std::string &attempt);

private:
    friend class backend_exchange;

    /// Returns the last of @p pool's connections to @p address that can be reused.
    template <typename Connection, typename IsReusable>
    std::optional<Connection> takeIdle(std::map<std::string, std::vector<Connection>> &pool,
                                       const endpoint &address, IsReusable isReusable);
    template <typename Connection>
    void keepIdle(std::map<std::string, std::vector<Connection>> &pool, const endpoint &address,
                  Connection connection);

    /// Count and log answers of the server at @p address to other requests. @{
    void recordSkippedAnswers(const endpoint &address, int answers);
    void recordRefusedAnswer(const endpoint &address, const std::string &reason);
    /// @}

    counter &m_skippedAnswers;
    counter &m_refusedAnswers;
    std::mutex m_mutex;
    std::map<std::string, std::vector<byte_stream>> m_idle;
    std::map<std::string, std::vector<http_connection>> m_idleStateConnections;
};

} // namespace trefoil
