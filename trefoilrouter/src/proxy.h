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

/// Where a caller's answer goes. Used by one thread.
class answer_sink
{
public:
    virtual ~answer_sink() = default;

    /// Sends a whole answer.
    virtual void whole(int status, const std::string &contentType, const std::string &body) = 0;
    /// Starts an event stream.
    virtual void startStream() = 0;
    /// Sends one event. Returns false when the caller is gone.
    virtual bool event(std::string_view id, std::string_view data) = 0;
    /// Sends a refusal: a status and typed body, or an event where the stream has started.
    virtual void refuse(const refuse_decision &refusal) = 0;
    /// Returns whether the caller went away.
    virtual bool isGone() = 0;
};

/// A checked request on its way to a pool.
struct proxy_request
{
    incoming_request begin;
    const pool *target = nullptr;
    std::string method = "POST";
    std::string path;
    std::string contentType = "application/json";
    /// Headers passed on to the backend server. The caller's credentials are not among them.
    std::vector<std::pair<std::string, std::string>> headers;
    std::vector<std::string_view> body;
    bool stream = false;
    /// Whether the answer is a model's and must have tokens.
    bool isModel = false;
    double promptTokens = 0;
    trace_context trace;
};

/// Parts of the process that a proxy uses.
struct proxy_parts
{
    control_thread &control;
    backend_client &backends;
    span_exporter &spans;
    metric_registry &metrics;
};

/// Carries one request to backend servers, attempt by attempt, until the caller has its answer or a
/// refusal. Runs on the traffic thread of the caller's connection. Not thread-safe.
class proxy
{
public:
    proxy(const proxy_parts &parts, proxy_request request, answer_sink &sink);

    /// Serves the request to its end.
    void run();

private:
    enum class attempt_end { GoOn, Done, Failed, CallerGone };

    attempt_end attempt(const send_decision &go);
    attempt_end readWhole(backend_exchange &exchange);
    attempt_end readStream(backend_exchange &exchange);
    attempt_end takeEvent(const sse_event &event);
    backend_request makeRequest(const send_decision &go) const;
    void noteFirstToken(const backend_exchange &exchange);
    void finish(bool answered);
    void fail(attempt_failure kind) { m_failure = kind; }
    void failWith(const error &problem);
    void exportAttempt(const send_decision &go, std::uint64_t startedAt, attempt_end end);

    proxy_parts m_parts;
    proxy_request m_request;
    answer_sink &m_sink;
    stream_assembler m_assembler;
    std::uint64_t m_attempt = 0; // as the assembler numbers them
    attempt_failure m_failure = attempt_failure::Truncated;
    trace_context m_attemptTrace;
    bool m_streamStarted = false;
    bool m_firstToken = false; // of the current attempt
    bool m_timed = false; // whether the time to the first token was observed
    double m_usedTokens = 0;
    int m_status = 0;
    std::string m_contentType;
    std::string m_answer;
    timestamp m_startedAt;
};

} // namespace trefoil
