#include <http/http_connection.h>

#include <algorithm>

#include <http/response_body.h>

namespace trefoil {

namespace {

/// Limit on the head of a response, interim ones included.
constexpr std::size_t maxHeadBytes = 16 * 1024;

/// Interval at which a wait that may be abandoned looks whether it is.
constexpr duration waitCheckInterval = std::chrono::milliseconds(200);

timestamp after(timestamp now, duration time)
{
    return time >= timestamp::max() - now ? timestamp::max() : now + time;
}

std::string encodeRequest(const endpoint &address, const http_request &request)
{
    std::string text = request.method + " " + request.path + " HTTP/1.1\r\n";
    const bool hasHost =
        std::any_of(request.headers.begin(), request.headers.end(),
                    [](const auto &header) { return equalsIgnoringCase(header.first, "Host"); });
    if (!hasHost)
        appendField(text, "Host", toString(address));
    appendField(text, "Connection", "Keep-Alive");
    if (!request.body.empty() || request.method != "GET") {
        appendField(text, "Content-Type", request.contentType);
        appendField(text, "Content-Length", std::to_string(request.body.size()));
    }
    if (!request.attemptId.empty())
        appendField(text, attemptField, request.attemptId);
    for (const std::pair<std::string, std::string> &header : request.headers)
        appendField(text, header.first, header.second);
    return text + "\r\n" + request.body;
}

/// Returns whether a server may have answered with @p status without reading the request's body: it
/// would take what is left of the body for the next request.
bool mayLeaveBodyUnread(int status)
{
    constexpr int contentTooLarge = 413;
    constexpr int tooManyRequests = 429;
    constexpr int firstServerError = 500;
    return status == contentTooLarge || status == tooManyRequests || status >= firstServerError;
}

const char *reasonOf(read_outcome outcome)
{
    return outcome == read_outcome::TimedOut ? "the response did not arrive in time"
        : outcome == read_outcome::End       ? "the connection ended before the response"
                                             : "the connection was lost";
}

/// Reads one response within its limits.
class response_reader
{
public:
    response_reader(byte_stream &stream, timestamp deadline, const exchange_limits &limits)
        : m_stream(stream), m_deadline(deadline), m_limits(limits)
    {
        if (limits.budget != nullptr)
            m_held.emplace(*limits.budget);
    }

    result<response_head> readHead(attempt_response_reader &heads)
    {
        while (true) {
            result<std::optional<response_head>> head = heads.feed(m_stream.buffer());
            if (!head) {
                const bool isForeign = head.error().code == attempt_errors::foreignResponse;
                return failure(isForeign ? http_errors::foreign : http_errors::broken,
                               head.error().message);
            }
            if (*head)
                return std::move(**head);
            const read_outcome outcome = readMore();
            if (outcome != read_outcome::Bytes)
                return failure(http_errors::broken, reasonOf(outcome));
        }
    }

    result<std::string> readBody(const body_framing &framing)
    {
        response_body body({.framing = framing, .maxHeldBytes = m_limits.maxBodyBytes});
        while (true) {
            body.feed(m_stream.buffer());
            if (body.state() == body_state::Whole)
                return std::move(body.plainBody());
            const bool isOverBudget =
                m_held && !m_held->hold(body.heldBytes() + m_stream.buffer().size());
            if (body.state() == body_state::BrokenOff || isOverBudget)
                return failure(http_errors::broken, "the response is malformed or too long");
            const read_outcome outcome = readMore();
            if (outcome == read_outcome::Bytes)
                continue;
            body.end(outcome == read_outcome::End);
            if (body.state() != body_state::Whole)
                return failure(http_errors::broken, reasonOf(outcome));
        }
    }

private:
    read_outcome readMore()
    {
        const duration idle = m_hasBegun ? std::min(m_limits.idle, m_limits.pause) : m_limits.idle;
        const timestamp end = std::min(m_deadline, after(boot_clock::now(), idle));
        while (true) {
            if (isAbandoned() || (m_held && m_held->wasRevoked()))
                return read_outcome::Broken;
            const read_outcome outcome = m_stream.readMore(nextCheck(end));
            if (outcome == read_outcome::Bytes)
                recordBytes();
            if (outcome != read_outcome::TimedOut || boot_clock::now() >= end)
                return outcome;
        }
    }

    void recordBytes()
    {
        if (m_hasBegun)
            return;
        m_hasBegun = true;
        const timestamp now = boot_clock::now();
        m_deadline = std::min(m_deadline, after(now, m_limits.arrival));
        if (m_limits.wait != nullptr)
            m_limits.wait->recordBegin(now);
    }

    bool isAbandoned() const
    {
        return m_limits.wait != nullptr && !m_hasBegun && m_limits.wait->isAbandoned();
    }

    /// Returns when to look whether to go on waiting, at the latest @p end.
    timestamp nextCheck(timestamp end) const
    {
        const timestamp now = boot_clock::now();
        // Other waits that hold nothing are not woken in vain.
        if (m_held && m_held->heldBytes() > 0)
            return std::min(end, now + byte_budget::checkInterval);
        return m_limits.wait != nullptr ? std::min(end, now + waitCheckInterval) : end;
    }

    byte_stream &m_stream;
    timestamp m_deadline;
    const exchange_limits &m_limits;
    std::optional<byte_budget::share> m_held;
    /// Whether any of the response has arrived.
    bool m_hasBegun = false;
};

} // namespace

result<http_response> http_connection::send(const http_request &request,
                                            const exchange_limits &limits)
{
    const timestamp deadline = after(boot_clock::now(), limits.total);
    m_isKept = m_stream.has_value();
    if (!m_stream) {
        result<byte_stream> opened =
            byte_stream::connect(m_address, std::min(limits.connect, limits.total));
        if (!opened)
            return tl::unexpected(opened.error());
        m_stream = std::move(*opened);
    }
    // A server may answer, and close, before it has read the body.
    const bool isWritten = m_stream->write(encodeRequest(m_address, request), deadline);
    result<http_response> response = !isWritten && m_stream->buffer().empty()
        ? failure(http_errors::broken, "the request could not be written")
        : read(request, isWritten, deadline, limits);
    const bool isBodyUnread =
        response && !request.body.empty() && mayLeaveBodyUnread(response->status);
    if (!response || !isWritten || isBodyUnread)
        m_stream.reset();
    return response;
}

result<http_response> http_connection::read(const http_request &request, bool isRequestWritten,
                                            timestamp deadline, const exchange_limits &limits)
{
    response_reader reader(*m_stream, deadline, limits);
    attempt_response_reader heads({.attemptId = request.attemptId,
                                   .isKeptConnection = m_isKept,
                                   .maxHeadBytes = maxHeadBytes});
    result<response_head> head = reader.readHead(heads);
    if (!head)
        return tl::unexpected(head.error());
    const result<body_framing> framing = framingOf(*head, request.method);
    if (!framing)
        return failure(http_errors::broken, framing.error().message);
    result<std::string> body = reader.readBody(*framing);
    if (!body)
        return tl::unexpected(body.error());
    // The reset that ends the write may have lost a part of the body.
    if (framing->end == body_end::Close && !isRequestWritten)
        return failure(http_errors::broken, "the request could not be written");
    const bool mayBeReused = request.attemptId.empty() || heads.isNamed();
    if (framing->end == body_end::Close || !mayBeReused
        || !isKeepAlive(head->headers, head->isHttp10))
        m_stream.reset();
    return http_response {.status = head->status,
                          .body = std::move(*body),
                          .headers = std::move(head->headers),
                          .skippedResponses = heads.skippedResponses()};
}

result<http_response> sendHttpRequestOnNewConnection(const endpoint &address,
                                                     const http_request &request,
                                                     const exchange_limits &limits)
{
    return http_connection(address).send(request, limits);
}

} // namespace trefoil
