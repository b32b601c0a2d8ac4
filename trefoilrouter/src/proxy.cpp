#include "proxy.h"

#include <Poco/Net/HTTPResponse.h>
#include <core/json.h>
#include <delivery/not_run_status.h>
#include <telemetry/log.h>

namespace trefoil {

namespace {

using Poco::Net::HTTPResponse;

/// Maximum size of a backend server's response that is not streamed.
constexpr std::size_t maxResponseBytes = 16 << 20;
/// Time for such a response as a whole, as a multiple of the time to its first byte.
constexpr int wholeResponseTimeouts = 10;

/// Field that names the first event that the engine shall send, and in the answer the first that it
/// sends.
constexpr const char *resumeField = "X-Resume-From";

/// Returns the value of X-Prefix-Blocks: the digests of the prompt's blocks, by which the engine
/// identifies them in its cache events.
std::string prefixBlocksHeader(const prefix_chain &chain)
{
    std::string text;
    for (const digest128 &block : chain.blocks)
        text += (text.empty() ? "" : ",") + toHex(block);
    return text;
}

attempt_failure attemptFailureOf(const std::string &code)
{
    if (code == backend_errors::notSent)
        return attempt_failure::NotSent;
    if (code == backend_errors::crashed)
        return attempt_failure::Crashed;
    if (code == backend_errors::timeout)
        return attempt_failure::Timeout;
    return attempt_failure::Truncated;
}

/// Returns the completion tokens that a response reports, or nothing if it has no choices.
std::optional<double> completionTokensOf(const std::string &body)
{
    const result<Json::Value> value = parseJson(body, "a response");
    if (!value || !value->isObject() || !(*value)["choices"].isArray()
        || (*value)["choices"].empty())
        return std::nullopt;
    const Json::Value &usage = (*value)["usage"];
    return numberOr(usage, "completion_tokens");
}

} // namespace

proxy::proxy(const proxy_context &context, proxy_request request, response_writer &writer)
    : m_context(context), m_request(std::move(request)), m_writer(writer),
      m_startedAt(boot_clock::now())
{ }

void proxy::run()
{
    request_decision decision = m_context.control.admit(m_request.incoming);
    while (true) {
        const std::uint64_t id = m_request.incoming.id;
        if (const refuse_decision *refusal = std::get_if<refuse_decision>(&decision.action)) {
            refuse(*refusal);
            return;
        }
        if (const replay_decision *replay = std::get_if<replay_decision>(&decision.action)) {
            m_writer.sendResponse(replay->recorded.status, replay->recorded.contentType,
                                  replay->recorded.answer);
            return;
        }
        if (boot_clock::now() >= decision.validUntil) {
            // This thread was paused for so long that the admission expired: the team's rate limit
            // may no longer cover it.
            m_context.control.reportEnd({.id = id});
            m_request.incoming.id = m_context.control.newRequestId();
            decision = m_context.control.admit(m_request.incoming);
            continue;
        }
        const send_decision sendDecision = std::get<send_decision>(decision.action);
        const std::uint64_t startedAt = wallMilliseconds();
        const attempt_result outcome = attempt(sendDecision);
        exportAttempt(sendDecision, startedAt, outcome);
        if (outcome == attempt_result::Completed) {
            reportEnd(true);
            return;
        }
        if (outcome == attempt_result::CallerGone) {
            m_context.metrics.counterOf("trefoil_caller_gone_total").add();
            m_context.backends.cancel(sendDecision.address, m_request.targetPool->credential,
                                      m_attemptId);
            reportEnd(false);
            return;
        }
        m_context.metrics
            .counterOf("trefoil_attempts_failed_total", "server=\"" + sendDecision.server + "\"")
            .add();
        m_mayHaveRun = m_mayHaveRun || !indicatesNotRun(m_failure);
        decision = m_context.control.reportFailedAttempt({.id = id, .kind = m_failure});
    }
}

void proxy::refuse(refuse_decision refusal)
{
    refusal.mayHaveRun = refusal.mayHaveRun || m_mayHaveRun;
    if (refusal.mayHaveRun && statesNotRun(refusal.status))
        refusal.status = HTTPResponse::HTTP_BAD_GATEWAY;
    m_context.metrics.counterOf("trefoil_refused_total", "code=\"" + refusal.code + "\"").add();
    m_writer.refuse(refusal);
}

void proxy::reportEnd(bool answered)
{
    m_context.control.reportEnd({.id = m_request.incoming.id,
                                 .usedTokens = m_request.promptTokens + m_completionTokens,
                                 .answered = answered,
                                 .status = m_status,
                                 .contentType = m_contentType,
                                 .answer = std::move(m_responseBody)});
}

backend_request proxy::makeRequest() const
{
    backend_request request {.method = m_request.method,
                             .path = m_request.path,
                             .contentType = m_request.contentType,
                             .body = m_request.body,
                             .headers = m_request.headers,
                             .attemptId = m_attemptId,
                             .mayReuse = m_request.incoming.idempotent,
                             .timeout = m_request.targetPool->responseTimeout};
    if (!m_request.targetPool->credential.empty())
        request.headers.emplace_back("Authorization", "Bearer " + m_request.targetPool->credential);
    request.headers.emplace_back("traceparent", toTraceparent(m_attemptTrace));
    if (m_request.isModel) {
        if (!m_request.incoming.chain.blocks.empty())
            request.headers.emplace_back("X-Prefix-Blocks",
                                         prefixBlocksHeader(m_request.incoming.chain));
        if (m_request.stream && m_assembler.next() > 0)
            request.headers.emplace_back(resumeField, std::to_string(m_assembler.next()));
    }
    request.isCallerGone = [this] { return m_writer.isDisconnected(); };
    return request;
}

void proxy::recordError(const error &reason)
{
    recordFailure(attemptFailureOf(reason.code));
    logDebug("traffic", "attempt failed: " + reason.message);
}

proxy::attempt_result proxy::attempt(const send_decision &sendDecision)
{
    m_attemptTrace = childOf(m_request.trace);
    m_attempt = m_assembler.begin();
    m_attemptId = newAttemptId();
    m_firstTokenReported = false;
    const std::unique_ptr<backend_exchange> exchange =
        m_context.backends.open(sendDecision.address);
    const result<void> started = exchange->start(makeRequest());
    if (!started) {
        if (started.error().code == backend_errors::callerGone)
            return attempt_result::CallerGone;
        recordError(started.error());
        return attempt_result::Failed;
    }
    const int status = exchange->response().status;
    if (const std::optional<attempt_failure> failure = rejectAnswer(exchange->response())) {
        if (*failure == attempt_failure::Withheld)
            recordWithheld(sendDecision.server, status);
        recordFailure(*failure);
        return attempt_result::Failed;
    }
    const bool isStream = m_request.stream && status == HTTPResponse::HTTP_OK
        && exchange->response().headers.value("Content-Type").starts_with("text/event-stream");
    return isStream ? relayStream(*exchange) : relayResponse(*exchange);
}

std::optional<attempt_failure> proxy::rejectAnswer(const response_head &head) const
{
    const bool isBusy = m_request.isModel
        && (head.status == HTTPResponse::HTTP_TOO_MANY_REQUESTS
            || head.status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    const bool isStatedNotRun = head.status >= HTTPResponse::HTTP_BAD_REQUEST
        && head.headers.value(requestRanHeader) == requestNotRun;
    if (isBusy || isStatedNotRun)
        return attempt_failure::Busy;
    if (m_request.incoming.idempotent && head.status >= HTTPResponse::HTTP_INTERNAL_SERVER_ERROR)
        return attempt_failure::ServerError;
    if (!m_request.incoming.idempotent && statesNotRun(head.status))
        return attempt_failure::Withheld;
    return std::nullopt;
}

void proxy::recordWithheld(const std::string &server, int status)
{
    m_context.metrics
        .counterOf("trefoil_answers_withheld_total",
                   "server=\"" + server + "\",status=\"" + std::to_string(status) + "\"")
        .add();
    logWarning("traffic",
               "Backend server \"" + server + "\" answered a request that may have run with status "
                   + std::to_string(status) + "; the caller gets 502.");
}

proxy::attempt_result proxy::relayResponse(backend_exchange &exchange)
{
    std::string body;
    const timestamp deadline =
        boot_clock::now() + m_request.targetPool->responseTimeout * wholeResponseTimeouts;
    while (true) {
        const result<std::string> more = exchange.read();
        if (!more) {
            recordError(more.error());
            return attempt_result::Failed;
        }
        if (more->empty())
            break;
        body += *more;
        if (body.size() > maxResponseBytes || boot_clock::now() >= deadline) {
            recordFailure(attempt_failure::Truncated);
            return attempt_result::Failed;
        }
    }
    const response_head &head = exchange.response();
    exchange.finish();
    m_status = head.status;
    m_contentType = std::string(head.headers.value("Content-Type"));
    if (m_request.isModel && m_status == HTTPResponse::HTTP_OK) {
        const std::optional<double> tokens = completionTokensOf(body);
        if (!tokens) {
            recordFailure(attempt_failure::Empty);
            return attempt_result::Failed;
        }
        m_completionTokens = *tokens;
    }
    reportFirstToken(exchange);
    m_writer.sendResponse(m_status, m_contentType, body);
    // Recorded only for requests with an idempotency key, to answer their repeats.
    if (!m_request.incoming.idempotencyKey.empty())
        m_responseBody = std::move(body);
    return attempt_result::Completed;
}

proxy::attempt_result proxy::relayStream(backend_exchange &exchange)
{
    const std::optional<std::uint64_t> position =
        parseDecimal(exchange.response().headers.value(resumeField));
    if (position)
        m_assembler.setPosition(m_attempt, *position);
    sse_parser parser;
    attempt_result outcome = attempt_result::Continue;
    const auto onEvent = [&](const sse_event &event) {
        if (outcome != attempt_result::Continue)
            return;
        if (event.data != streamEnd)
            reportFirstToken(exchange);
        outcome = handleEvent(event);
    };
    while (outcome == attempt_result::Continue) {
        const result<std::string> bytes = exchange.read();
        if (!bytes) {
            recordError(bytes.error());
            return attempt_result::Failed;
        }
        if (bytes->empty()) {
            recordFailure(m_assembler.next() == 0 ? attempt_failure::Empty
                                                  : attempt_failure::Truncated);
            return attempt_result::Failed;
        }
        if (!parser.feed(*bytes, onEvent)) {
            recordFailure(attempt_failure::Truncated);
            return attempt_result::Failed;
        }
    }
    if (outcome == attempt_result::Completed)
        exchange.finish();
    return outcome;
}

proxy::attempt_result proxy::handleEvent(const sse_event &event)
{
    switch (m_assembler.take(m_attempt, event)) {
    case stream_step::Deliver:
        if (!m_streamStarted) {
            m_writer.startStream();
            m_streamStarted = true;
        }
        m_completionTokens += 1;
        return m_writer.sendEvent(event.id, event.data) ? attempt_result::Continue
                                                        : attempt_result::CallerGone;
    case stream_step::Complete:
        m_status = HTTPResponse::HTTP_OK;
        m_writer.sendEvent("", event.data);
        return attempt_result::Completed;
    case stream_step::Empty:
        recordFailure(attempt_failure::Empty);
        return attempt_result::Failed;
    case stream_step::Gap:
        m_context.metrics.counterOf("trefoil_streams_not_continued_total").add();
        logWarning("traffic",
                   "A stream was not continued: after " + std::to_string(m_assembler.next())
                       + " events came one with id \"" + std::string(event.id) + "\".");
        recordFailure(attempt_failure::Truncated);
        return attempt_result::Failed;
    case stream_step::Repeated:
    case stream_step::Stale:
        return attempt_result::Continue;
    }
    return attempt_result::Failed;
}

void proxy::reportFirstToken(const backend_exchange &exchange)
{
    if (m_firstTokenReported)
        return;
    m_firstTokenReported = true;
    const std::string cachedTokens(exchange.response().headers.value("X-Cached-Tokens"));
    first_token_report report {.id = m_request.incoming.id};
    if (!cachedTokens.empty())
        report.cachedTokens = std::strtod(cachedTokens.c_str(), nullptr);
    m_context.control.reportFirstToken(report);
    if (!m_firstTokenTimed)
        m_context.metrics.summaryOf("trefoil_first_token_seconds")
            .observe(boot_clock::now() - m_startedAt);
    m_firstTokenTimed = true;
    if (m_request.isModel && report.cachedTokens >= 0) {
        m_context.metrics.counterOf("trefoil_prompt_tokens_total")
            .add(static_cast<std::uint64_t>(m_request.promptTokens));
        m_context.metrics.counterOf("trefoil_cached_tokens_total")
            .add(static_cast<std::uint64_t>(report.cachedTokens));
    }
}

void proxy::exportAttempt(const send_decision &sendDecision, std::uint64_t startedAt,
                          attempt_result outcome)
{
    if (!m_context.spans.isEnabled())
        return;
    m_context.spans.add({.context = m_attemptTrace,
                         .parentSpanId = m_request.trace.spanId,
                         .name = "attempt",
                         .startMilliseconds = startedAt,
                         .endMilliseconds = wallMilliseconds(),
                         .attributes = {{"server", sendDecision.server},
                                        {"version", sendDecision.version},
                                        {"pool", m_request.incoming.pool}},
                         .failed = outcome == attempt_result::Failed});
}

} // namespace trefoil
