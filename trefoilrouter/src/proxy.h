#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <control/control_node.h>
#include <delivery/sse_parser.h>
#include <delivery/stream_assembler.h>
#include <telemetry/metrics.h>
#include <telemetry/span.h>

#include "backend_client.h"
#include "chat_request.h"
#include "control_thread.h"
#include "span_exporter.h"

namespace trefoil {

/// Header that tells whether a request may have run on a backend server, and its values. Refusals
/// have it, and answers of servers that did not run the request.
inline constexpr const char *requestRanHeader = "X-Request-Ran";
inline constexpr const char *requestNotRun = "not-run";
inline constexpr const char *requestRanUnknown = "unknown";

/// Writes the response to a caller. Not thread-safe.
class response_writer
{
public:
    virtual ~response_writer() = default;

    /// Sends a complete response.
    virtual void sendResponse(int status, const std::string &contentType,
                              const std::string &body) = 0;
    /// Sends the head of a server-sent event stream.
    virtual void startStream() = 0;
    /// Sends one event. Returns false if the caller has disconnected.
    virtual bool sendEvent(std::string_view id, std::string_view data) = 0;
    /// Sends a refusal: a status and an error body, or an error event if the stream has started.
    virtual void refuse(const refuse_decision &refusal) = 0;
    /// Returns whether the caller has disconnected.
    virtual bool isDisconnected() = 0;
};

/// A validated request, ready to be forwarded to a backend server of a pool.
struct proxy_request
{
    incoming_request incoming;
    const pool *targetPool = nullptr;
    std::string method = "POST";
    std::string path;
    std::string contentType = "application/json";
    /// Headers forwarded to the backend server, without the caller's credentials.
    std::vector<std::pair<std::string, std::string>> headers;
    std::vector<std::string_view> body;
    bool stream = false;
    /// Whether this is a request to a model, whose response must contain tokens.
    bool isModel = false;
    double promptTokens = 0;
    trace_context trace;
};

/// Components of the instance that a proxy uses.
struct proxy_context
{
    control_thread &control;
    backend_client &backends;
    span_exporter &spans;
    metric_registry &metrics;
};

/// Forwards one request to backend servers, with retries, until the caller has received a response
/// or a refusal. Runs on the thread that serves the caller's connection. Not thread-safe.
class proxy
{
public:
    proxy(const proxy_context &context, proxy_request request, response_writer &writer);

    /// Serves the request until it is answered or refused or the caller disconnects.
    void run();

private:
    enum class attempt_result { Continue, Completed, Failed, CallerGone };

    attempt_result attempt(const send_decision &sendDecision);
    /// Returns why the answer with @p head is not passed on, or nothing if it may be.
    std::optional<attempt_failure> rejectAnswer(const response_head &head) const;
    /// Logs and counts that the answer of @p server with @p status was withheld.
    void recordWithheld(const std::string &server, int status);
    attempt_result relayResponse(backend_exchange &exchange);
    attempt_result relayStream(backend_exchange &exchange);
    attempt_result handleEvent(const sse_event &event);
    backend_request makeRequest() const;
    void reportFirstToken(const backend_exchange &exchange);
    void reportEnd(bool answered);
    /// Refuses the request, with a status that doesn't state "not run" if an attempt may have run.
    void refuse(refuse_decision refusal);
    void recordFailure(attempt_failure kind) { m_failure = kind; }
    void recordError(const error &reason);
    void exportAttempt(const send_decision &sendDecision, std::uint64_t startedAt,
                       attempt_result outcome);

    proxy_context m_context;
    proxy_request m_request;
    response_writer &m_writer;
    stream_assembler m_assembler;
    std::uint64_t m_attempt = 0; // attempt number assigned by the assembler
    std::string m_attemptId; // names the attempt to its backend server
    attempt_failure m_failure = attempt_failure::Truncated;
    bool m_mayHaveRun = false; // in any attempt, also of an earlier admission
    trace_context m_attemptTrace;
    bool m_streamStarted = false;
    bool m_firstTokenReported = false; // in the current attempt
    bool m_firstTokenTimed = false; // whether the time to first token was recorded in the metrics
    double m_completionTokens = 0;
    int m_status = 0;
    std::string m_contentType;
    std::string m_responseBody;
    timestamp m_startedAt;
};

} // namespace trefoil
