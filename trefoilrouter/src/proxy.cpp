#include "proxy.h"

#include <array>

#include <core/json.h>
#include <telemetry/log.h>

namespace trefoil {

namespace {

using Poco::Net::HTTPResponse;

/// Bytes read from a backend server at a time.
constexpr std::size_t pieceBytes = 16 << 10;

/// Longest answer of a backend server that is not a stream.
constexpr std::size_t maxWholeAnswer = 64 << 20;

/// Returns the digests of the chain's blocks as a header: what an engine names its events by.
std::string blocksHeader(const prefix_chain &chain)
{
    std::string text;
    for (const digest128 &block : chain.blocks)
        text += (text.empty() ? "" : ",") + toHex(block);
    return text;
}

attempt_failure failureOf(const std::string &code)
{
    if (code == backend_errors::notSent)
        return attempt_failure::NotSent;
    if (code == backend_errors::crashed)
        return attempt_failure::Crashed;
    if (code == backend_errors::timeout)
        return attempt_failure::Timeout;
    return attempt_failure::Cut;
}

/// Returns the completion tokens that a whole answer reports, or nothing where it has no choices.
std::optional<double> tokensOf(const std::string &answer)
{
    const result<Json::Value> value = parseJson(answer, "an answer");
    if (!value || !value->isObject() || !(*value)["choices"].isArray()
        || (*value)["choices"].empty())
        return std::nullopt;
    const Json::Value &usage = (*value)["usage"];
    return numberOr(usage, "completion_tokens");
}

} // namespace

proxy::proxy(const proxy_parts &parts, proxy_request request, answer_sink &sink)
    : m_parts(parts), m_request(std::move(request)), m_sink(sink), m_startedAt(boot_clock::now())
{ }

void proxy::run()
{
    traffic_decision decision = m_parts.control.begin(m_request.begin);
    while (true) {
        const std::uint64_t id = m_request.begin.id;
        if (const traffic_refuse *refusal = std::get_if<traffic_refuse>(&decision.what)) {
            m_parts.metrics.counterOf("trefoil_refused_total", "code=\"" + refusal->code + "\"")
                .add();
            m_sink.refuse(*refusal);
            return;
        }
        if (const traffic_replay *replay = std::get_if<traffic_replay>(&decision.what)) {
            m_sink.whole(replay->recorded.status, replay->recorded.contentType,
                         replay->recorded.answer);
            return;
        }
        if (boot_clock::now() >= decision.validUntil) {
            // This thread was paused: the admission may no longer be within the team's limit.
            m_parts.control.end({.id = id});
            m_request.begin.id = m_parts.control.newRequestId();
            decision = m_parts.control.begin(m_request.begin);
            continue;
        }
        const traffic_go go = std::get<traffic_go>(decision.what);
        const std::uint64_t startedAt = wallMilliseconds();
        const attempt_end end = attempt(go);
        exportAttempt(go, startedAt, end);
        if (end == attempt_end::Done) {
            finish(true);
            return;
        }
        if (end == attempt_end::CallerGone) {
            m_parts.metrics.counterOf("trefoil_caller_gone_total").add();
            m_parts.backends.cancel(go.address, m_request.target->credential,
                                    std::to_string(go.attempt));
            finish(false);
            return;
        }
        m_parts.metrics.counterOf("trefoil_attempts_failed_total", "server=\"" + go.server + "\"")
            .add();
        decision = m_parts.control.failed({.id = id, .kind = m_failure});
    }
}

void proxy::finish(bool answered)
{
    m_parts.control.end({.id = m_request.begin.id,
                         .usedTokens = m_request.promptTokens + m_usedTokens,
                         .answered = answered,
                         .status = m_status,
                         .contentType = m_contentType,
                         .answer = std::move(m_answer)});
}

backend_request proxy::makeRequest(const traffic_go &go) const
{
    backend_request request {.method = m_request.method,
                             .path = m_request.path,
                             .contentType = m_request.contentType,
                             .body = m_request.body,
                             .headers = m_request.headers,
                             .mayReuse = m_request.begin.idempotent,
                             .timeout = m_request.target->responseTimeout};
    if (!m_request.target->credential.empty())
        request.headers.emplace_back("Authorization", "Bearer " + m_request.target->credential);
    request.headers.emplace_back("traceparent", toTraceparent(m_attemptTrace));
    if (m_request.isModel) {
        request.headers.emplace_back("X-Attempt", std::to_string(go.attempt));
        if (!m_request.begin.chain.blocks.empty())
            request.headers.emplace_back("X-Prefix-Blocks", blocksHeader(m_request.begin.chain));
        if (m_request.stream && m_assembler.next() > 0)
            request.headers.emplace_back("X-Resume-From", std::to_string(m_assembler.next()));
    }
    request.callerIsGone = [this] { return m_sink.isGone(); };
    return request;
}

void proxy::failWith(const error &problem)
{
    fail(failureOf(problem.code));
    logDebug("traffic", "an attempt failed: " + problem.message);
}

proxy::attempt_end proxy::attempt(const traffic_go &go)
{
    m_attemptTrace = childOf(m_request.trace);
    m_attempt = m_assembler.begin();
    m_firstToken = false;
    const std::unique_ptr<backend_exchange> exchange = m_parts.backends.open(
        go.address, m_request.begin.idempotent, m_request.target->responseTimeout);
    const result<void> started = exchange->start(makeRequest(go));
    if (!started) {
        if (started.error().code == backend_errors::callerGone)
            return attempt_end::CallerGone;
        failWith(started.error());
        return attempt_end::Failed;
    }
    const int status = exchange->response().getStatus();
    const bool isBusy = m_request.isModel
        && (status == HTTPResponse::HTTP_TOO_MANY_REQUESTS
            || status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    if (isBusy
        || (m_request.begin.idempotent && status >= HTTPResponse::HTTP_INTERNAL_SERVER_ERROR)) {
        fail(isBusy ? attempt_failure::Busy : attempt_failure::ServerError);
        return attempt_end::Failed;
    }
    const bool isStream = m_request.stream && status == HTTPResponse::HTTP_OK
        && exchange->response().getContentType().starts_with("text/event-stream");
    return isStream ? readStream(*exchange) : readWhole(*exchange);
}

proxy::attempt_end proxy::readWhole(backend_exchange &exchange)
{
    std::string body;
    std::array<char, pieceBytes> piece {};
    while (true) {
        const result<std::size_t> count = exchange.read(piece);
        if (!count) {
            failWith(count.error());
            return attempt_end::Failed;
        }
        if (*count == 0)
            break;
        body.append(piece.data(), *count);
        if (body.size() > maxWholeAnswer) {
            fail(attempt_failure::Cut);
            return attempt_end::Failed;
        }
    }
    const Poco::Net::HTTPResponse &head = exchange.response();
    const bool isCut = head.hasContentLength()
        && body.size() != static_cast<std::size_t>(head.getContentLength64());
    if (isCut) {
        fail(attempt_failure::Cut);
        return attempt_end::Failed;
    }
    exchange.finish();
    m_status = head.getStatus();
    m_contentType = head.getContentType();
    if (m_request.isModel && m_status == HTTPResponse::HTTP_OK) {
        const std::optional<double> tokens = tokensOf(body);
        if (!tokens) {
            fail(attempt_failure::Empty);
            return attempt_end::Failed;
        }
        m_usedTokens = *tokens;
    }
    noteFirstToken(exchange);
    m_sink.whole(m_status, m_contentType, body);
    // Kept only for the repeats of a claimed request.
    if (!m_request.begin.idempotencyKey.empty())
        m_answer = std::move(body);
    return attempt_end::Done;
}

proxy::attempt_end proxy::readStream(backend_exchange &exchange)
{
    event_parser parser;
    std::array<char, pieceBytes> piece {};
    attempt_end end = attempt_end::GoOn;
    const auto take = [&](const server_event &event) {
        if (end != attempt_end::GoOn)
            return;
        if (event.data != streamEnd)
            noteFirstToken(exchange);
        end = takeEvent(event);
    };
    while (end == attempt_end::GoOn) {
        const result<std::size_t> count = exchange.read(piece);
        if (!count) {
            failWith(count.error());
            return attempt_end::Failed;
        }
        if (*count == 0) {
            fail(m_assembler.next() == 0 ? attempt_failure::Empty : attempt_failure::Cut);
            return attempt_end::Failed;
        }
        if (!parser.feed(std::string_view(piece.data(), *count), take)) {
            fail(attempt_failure::Cut);
            return attempt_end::Failed;
        }
    }
    if (end == attempt_end::Done)
        exchange.finish();
    return end;
}

proxy::attempt_end proxy::takeEvent(const server_event &event)
{
    switch (m_assembler.take(m_attempt, event)) {
    case stream_step::Deliver:
        if (!m_streamStarted) {
            m_sink.startStream();
            m_streamStarted = true;
        }
        m_usedTokens += 1;
        return m_sink.event(event.id, event.data) ? attempt_end::GoOn : attempt_end::CallerGone;
    case stream_step::Complete:
        m_status = HTTPResponse::HTTP_OK;
        m_sink.event("", event.data);
        return attempt_end::Done;
    case stream_step::Empty:
        fail(attempt_failure::Empty);
        return attempt_end::Failed;
    case stream_step::Gap:
        fail(attempt_failure::Cut);
        return attempt_end::Failed;
    case stream_step::Repeated:
    case stream_step::Stale:
        return attempt_end::GoOn;
    }
    return attempt_end::Failed;
}

void proxy::noteFirstToken(const backend_exchange &exchange)
{
    if (m_firstToken)
        return;
    m_firstToken = true;
    const std::string cached = exchange.response().get("X-Cached-Tokens", "");
    traffic_first_token report {.id = m_request.begin.id};
    if (!cached.empty())
        report.cachedTokens = std::strtod(cached.c_str(), nullptr);
    m_parts.control.firstToken(report);
    if (!m_timed)
        m_parts.metrics.summaryOf("trefoil_first_token_seconds")
            .observe(boot_clock::now() - m_startedAt);
    m_timed = true;
    if (m_request.isModel && report.cachedTokens >= 0) {
        m_parts.metrics.counterOf("trefoil_prompt_tokens_total")
            .add(static_cast<std::uint64_t>(m_request.promptTokens));
        m_parts.metrics.counterOf("trefoil_cached_tokens_total")
            .add(static_cast<std::uint64_t>(report.cachedTokens));
    }
}

void proxy::exportAttempt(const traffic_go &go, std::uint64_t startedAt, attempt_end end)
{
    if (!m_parts.spans.isEnabled())
        return;
    m_parts.spans.add({.context = m_attemptTrace,
                       .parentSpanId = m_request.trace.spanId,
                       .name = "attempt",
                       .startMilliseconds = startedAt,
                       .endMilliseconds = wallMilliseconds(),
                       .attributes = {{"server", go.server},
                                      {"version", go.version},
                                      {"pool", m_request.begin.pool}},
                       .failed = end == attempt_end::Failed});
}

} // namespace trefoil
