#include "backend_client.h"

#include <algorithm>
#include <thread>
#include <utility>

#include <Poco/Net/HTTPResponse.h>
#include <core/json.h>
#include <http/attempt_response_reader.h>
#include <telemetry/log.h>

namespace trefoil {

namespace {

using Poco::Net::HTTPResponse;

constexpr duration connectTimeout = std::chrono::seconds(1);

/// How long a server is probed after a broken connection to tell a crash from a connection loss. A
/// process exits within milliseconds, on a busy machine within tens of milliseconds.
constexpr duration probeTimeout = std::chrono::milliseconds(200);

/// Pause between probes, well below the time that a process takes to exit.
constexpr duration probeInterval = std::chrono::milliseconds(5);

/// How often to check whether the caller has disconnected.
constexpr duration callerCheckPeriod = std::chrono::milliseconds(100);

/// How long to wait for the end of a response body after its last event.
constexpr duration endOfBodyTimeout = std::chrono::milliseconds(50);

constexpr duration stateTimeout = std::chrono::milliseconds(800);
constexpr duration orderTimeout = std::chrono::seconds(2);
constexpr duration cancelTimeout = std::chrono::milliseconds(500);

constexpr std::size_t maxIdleConnectionsPerServer = 32;

/// Limits on the head of a response, and on what is held of its body until the next read.
constexpr std::size_t maxHeadBytes = 64 * 1024;
constexpr std::size_t maxHeldBytes = 4 << 20;
/// Limit on the state of an engine.
constexpr std::size_t maxStateBytes = 4 << 20;

/// Probes the server at @p address and returns whether its process has exited. A refused connection
/// proves the exit, a response proves that the process is alive. A connection that is accepted, or
/// reset while it is established, proves neither: the kernel closes the sockets of an exiting
/// process one by one, often the request's connection before the listener. A server that keeps
/// resetting connections until the timeout counts as alive, since it may be at its connection
/// limit.
bool hasProcessExited(const endpoint &address)
{
    const timestamp deadline = boot_clock::now() + probeTimeout;
    for (timestamp now = boot_clock::now(); now < deadline; now = boot_clock::now()) {
        const result<http_response> response = sendHttpRequestOnNewConnection(
            address, {.method = "OPTIONS", .path = "*"}, {.total = deadline - now});
        if (response)
            return false;
        if (response.error().code == http_errors::refused)
            return true;
        std::this_thread::sleep_for(probeInterval);
    }
    return false;
}

std::vector<digest128> parseDigests(const Json::Value &list)
{
    std::vector<digest128> digests;
    if (!list.isArray())
        return digests;
    for (const Json::Value &item : list) {
        digest128 digest;
        if (item.isString() && fromHex(item.asString(), digest))
            digests.push_back(digest);
    }
    return digests;
}

/// Returns whether a server may have answered with @p status without reading the request's body: it
/// would take what is left of the body for the next request.
bool mayLeaveBodyUnread(int status) { return status >= HTTPResponse::HTTP_BAD_REQUEST; }

std::vector<std::pair<std::string, std::string>> authorizationHeaders(const std::string &credential)
{
    if (credential.empty())
        return {};
    return {{"Authorization", "Bearer " + credential}};
}

} // namespace

backend_exchange::backend_exchange(backend_client &client, endpoint address)
    : m_client(client), m_address(std::move(address))
{ }

backend_exchange::~backend_exchange()
{
    if (m_isReusable)
        m_client.keepIdle(m_client.m_idle, m_address, std::move(*m_stream));
}

tl::unexpected<error> backend_exchange::classifyBrokenConnection(const std::string &message) const
{
    const bool isCrash = hasProcessExited(m_address);
    return failure(isCrash ? backend_errors::crashed : backend_errors::connectionLost, message);
}

result<void> backend_exchange::send(const backend_request &request, timestamp deadline)
{
    // Where a late answer to HEAD ends can't be told, so its connection carries nothing else.
    const bool isHead = request.method == "HEAD";
    m_mayBeKept = !isHead;
    if (request.mayReuse && !isHead)
        m_stream = m_client.takeIdle(m_client.m_idle, m_address,
                                     [](const byte_stream &each) { return each.isIdle(); });
    m_isKeptConnection = m_stream.has_value();
    if (!m_stream) {
        result<byte_stream> opened = byte_stream::connect(m_address, connectTimeout);
        if (!opened)
            return failure(backend_errors::notSent, opened.error().message);
        m_stream = std::move(*opened);
    }
    std::size_t size = 0;
    for (const std::string_view segment : request.body)
        size += segment.size();
    m_hasBody = size > 0;
    std::string head = request.method + " " + request.path + " HTTP/1.1\r\n";
    appendField(head, "Host", toString(m_address));
    appendField(head, "Connection", m_mayBeKept ? "Keep-Alive" : "close");
    appendField(head, "Content-Type", request.contentType);
    appendField(head, "Content-Length", std::to_string(size));
    appendField(head, attemptField, request.attemptId);
    for (const std::pair<std::string, std::string> &header : request.headers)
        appendField(head, header.first, header.second);
    head += "\r\n";
    m_isRequestWritten = m_stream->write(head, deadline);
    for (const std::string_view segment : request.body)
        m_isRequestWritten = m_isRequestWritten && m_stream->write(segment, deadline);
    // A server may answer, and close, before it has read the body.
    if (!m_isRequestWritten && m_stream->buffer().empty())
        return classifyBrokenConnection("the request could not be written");
    return {};
}

result<void> backend_exchange::readMore(timestamp deadline,
                                        const std::function<bool()> &isCallerGone)
{
    while (true) {
        const timestamp now = boot_clock::now();
        if (now >= deadline)
            return failure(backend_errors::timeout, "the response timed out");
        const read_outcome outcome =
            m_stream->readMore(std::min(deadline, now + callerCheckPeriod));
        if (outcome == read_outcome::Bytes)
            return {};
        if (outcome == read_outcome::End && m_body) {
            // The reset that ends the write may have lost a part of the body.
            m_body->end(m_isRequestWritten);
            if (m_body->state() == body_state::Whole)
                return {};
        }
        if (outcome != read_outcome::TimedOut)
            return classifyBrokenConnection("the connection was lost");
        if (isCallerGone && isCallerGone())
            return failure(backend_errors::callerGone, "the caller disconnected");
    }
}

result<void> backend_exchange::start(const backend_request &request)
{
    m_timeout = request.timeout;
    const timestamp deadline = boot_clock::now() + m_timeout;
    if (result<void> sent = send(request, deadline); !sent)
        return sent;
    result<response_head> head = readHead(request, deadline);
    if (!head)
        return tl::unexpected(head.error());
    m_response = std::move(*head);
    const result<body_framing> framing = framingOf(m_response, request.method);
    if (!framing)
        return failure(backend_errors::connectionLost, framing.error().message);
    m_framing = *framing;
    m_body.emplace(response_body_options {
        .framing = m_framing, .maxHeldBytes = maxHeldBytes, .answerField = attemptField});
    return {};
}

result<response_head> backend_exchange::readHead(const backend_request &request, timestamp deadline)
{
    attempt_response_reader heads({.attemptId = request.attemptId,
                                   .isKeptConnection = m_isKeptConnection,
                                   .maxHeadBytes = maxHeadBytes});
    int recorded = 0;
    while (true) {
        result<std::optional<response_head>> head = heads.feed(m_stream->buffer());
        m_client.recordSkippedAnswers(m_address, heads.skippedResponses() - recorded);
        recorded = heads.skippedResponses();
        if (!head && head.error().code == attempt_errors::foreignResponse) {
            m_client.recordRefusedAnswer(m_address, head.error().message);
            return failure(backend_errors::foreignAnswer, head.error().message);
        }
        if (!head)
            return failure(backend_errors::connectionLost, head.error().message);
        if (*head) {
            const bool isBodyUnread = m_hasBody && mayLeaveBodyUnread((*head)->status);
            m_mayBeKept = m_mayBeKept && heads.isNamed() && !isBodyUnread;
            return std::move(**head);
        }
        if (const result<void> more = readMore(deadline, request.isCallerGone); !more)
            return tl::unexpected(more.error());
    }
}

result<std::string> backend_exchange::read()
{
    const timestamp deadline = boot_clock::now() + m_timeout;
    while (true) {
        m_body->feed(m_stream->buffer());
        if (!m_body->plainBody().empty())
            return std::exchange(m_body->plainBody(), {});
        if (m_body->state() == body_state::Whole)
            return std::string();
        if (m_body->state() == body_state::BrokenOff)
            return failure(backend_errors::connectionLost, "the response is malformed");
        if (const result<void> more = readMore(deadline, nullptr); !more)
            return tl::unexpected(more.error());
    }
}

void backend_exchange::finish()
{
    const timestamp deadline = boot_clock::now() + endOfBodyTimeout;
    m_body->feed(m_stream->buffer());
    while (m_body->state() == body_state::Incomplete
           && m_stream->readMore(deadline) == read_outcome::Bytes)
        m_body->feed(m_stream->buffer());
    m_isReusable = m_mayBeKept && m_body->state() == body_state::Whole
        && m_framing.end != body_end::Close && m_stream->buffer().empty()
        && isKeepAlive(m_response.headers, m_response.isHttp10);
}

template <typename Connection, typename IsReusable>
std::optional<Connection>
backend_client::takeIdle(std::map<std::string, std::vector<Connection>> &pool,
                         const endpoint &address, IsReusable isReusable)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<Connection> &idle = pool[toString(address)];
    while (!idle.empty()) {
        Connection connection = std::move(idle.back());
        idle.pop_back();
        if (isReusable(connection))
            return connection;
    }
    return std::nullopt;
}

template <typename Connection>
void backend_client::keepIdle(std::map<std::string, std::vector<Connection>> &pool,
                              const endpoint &address, Connection connection)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<Connection> &idle = pool[toString(address)];
    if (idle.size() < maxIdleConnectionsPerServer)
        idle.push_back(std::move(connection));
}

backend_client::backend_client(metric_registry &metrics)
    : m_skippedAnswers(metrics.counterOf("trefoil_foreign_answers_total", "reason=\"late\"")),
      m_refusedAnswers(metrics.counterOf("trefoil_foreign_answers_total", "reason=\"refused\""))
{ }

std::unique_ptr<backend_exchange> backend_client::open(const endpoint &address)
{
    return std::make_unique<backend_exchange>(*this, address);
}

void backend_client::recordSkippedAnswers(const endpoint &address, int answers)
{
    if (answers == 0)
        return;
    m_skippedAnswers.add(static_cast<std::uint64_t>(answers));
    logWarning("traffic",
               "Late answers to earlier requests, from " + toString(address)
                   + ", skipped: " + std::to_string(answers) + ".");
}

void backend_client::recordRefusedAnswer(const endpoint &address, const std::string &reason)
{
    m_refusedAnswers.add();
    logWarning("traffic", "An answer from " + toString(address) + " was refused: " + reason + ".");
}

result<server_state_report> backend_client::readState(const server_poll &poll)
{
    http_connection connection =
        takeIdle(m_idleStateConnections, poll.address, [](const http_connection &each) {
            return each.isReusable();
        }).value_or(http_connection(poll.address));
    const result<http_response> response =
        connection.send({.path = "/state?from=" + std::to_string(poll.fromSequence),
                         .headers = authorizationHeaders(poll.credential),
                         .attemptId = newAttemptId()},
                        {.total = stateTimeout, .maxBodyBytes = maxStateBytes});
    if (!response) {
        if (response.error().code == http_errors::foreign)
            recordRefusedAnswer(poll.address, response.error().message);
        return tl::unexpected(response.error());
    }
    recordSkippedAnswers(poll.address, response->skippedResponses);
    keepIdle(m_idleStateConnections, poll.address, std::move(connection));
    const result<Json::Value> value = parseJson(response->body, "an engine's state");
    if (!value || !value->isObject())
        return failure("bad-state",
                       "backend server \"" + poll.server + "\" returned a malformed state");
    server_state_report report;
    report.version = textOr(*value, "version");
    report.load = {.incarnation = integerOr(*value, "incarnation"),
                   .running = static_cast<int>(integerOr(*value, "running")),
                   .queued = static_cast<int>(integerOr(*value, "queued")),
                   .queuedTokens = numberOr(*value, "queued_tokens"),
                   .prefillRate = numberOr(*value, "prefill_rate")};
    report.nextSequence = integerOr(*value, "next_sequence");
    for (const Json::Value &entry : (*value)["events"])
        report.events.push_back({.sequence = integerOr(entry, "sequence"),
                                 .stored = parseDigests(entry["stored"]),
                                 .evicted = parseDigests(entry["evicted"])});
    return report;
}

result<void> backend_client::sendLoadOrder(const server_order &order)
{
    Json::Value body(Json::objectValue);
    body["version"] = order.order.version;
    body["epoch"] = Json::UInt64(order.order.epoch);
    const result<http_response> response =
        sendHttpRequestOnNewConnection(order.address,
                                       {.method = "POST",
                                        .path = "/orders/load",
                                        .body = writeJson(body),
                                        .headers = authorizationHeaders(order.credential)},
                                       {.total = orderTimeout});
    if (!response)
        return tl::unexpected(response.error());
    if (response->status == HTTPResponse::HTTP_CONFLICT)
        return failure("stale-epoch",
                       "backend server \"" + order.order.server
                           + "\" rejected an outdated fencing token");
    if (response->status >= 300)
        return failure("refused",
                       "backend server \"" + order.order.server
                           + "\" rejected a load order with status "
                           + std::to_string(response->status));
    return {};
}

void backend_client::cancel(const endpoint &address, const std::string &credential,
                            const std::string &attempt)
{
    Json::Value body(Json::objectValue);
    body["attempt"] = attempt;
    static_cast<void>(sendHttpRequestOnNewConnection(address,
                                                     {.method = "POST",
                                                      .path = "/cancel",
                                                      .body = writeJson(body),
                                                      .headers = authorizationHeaders(credential)},
                                                     {.total = cancelTimeout}));
}

} // namespace trefoil
