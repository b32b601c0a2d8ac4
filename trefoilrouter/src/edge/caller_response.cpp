#include "edge/caller_response.h"

#include <algorithm>
#include <string>

#include <Poco/Net/HTTPResponse.h>
#include <adapter/headers.h>
#include <http/chunked.h>

namespace trefoil {

namespace {

using Poco::Net::HTTPResponse;

/// Time to write a response that is complete, also at the deadline of its request.
constexpr duration wholeResponseTimeout = std::chrono::seconds(1);

} // namespace

bool caller_response::write(std::string_view text, state next, timestamp deadline)
{
    if (!text.empty() && !m_caller.write(text, deadline, &m_caller)) {
        abort();
        return false;
    }
    m_state = next;
    return true;
}

bool caller_response::writeWhole(std::string_view text, timestamp deadline)
{
    if (m_state != state::NothingSent) {
        if (m_state == state::Begun)
            abort();
        return false;
    }
    return write(text, state::Complete,
                 std::max(deadline, boot_clock::now() + wholeResponseTimeout));
}

bool caller_response::sendAnswer(const response_head &head, std::string_view body,
                                 timestamp deadline)
{
    std::string framing;
    const bool hasLength =
        m_request.method != "HEAD" && head.status != HTTPResponse::HTTP_NO_CONTENT;
    if (hasLength)
        appendField(framing, "Content-Length", std::to_string(body.size()));
    return writeWhole(encodeCallerAnswer(head, framing, m_closesConnection).append(body), deadline);
}

bool caller_response::sendRefusal(int status, std::string_view requestId, std::string_view message,
                                  std::optional<duration> retryAfter)
{
    std::string text =
        encodeLocalAnswer(status, requestId, message, retryAfter, m_closesConnection);
    // A body would stand where the caller's next answer begins.
    if (m_request.method == "HEAD")
        text.resize(text.find("\r\n\r\n") + std::string_view("\r\n\r\n").size());
    return writeWhole(text, timestamp {});
}

bool caller_response::sendEvents(const response_head &head, std::string_view events, bool isLast,
                                 timestamp deadline)
{
    if (m_state != state::NothingSent && m_state != state::Begun)
        return false;
    // A caller that does not know chunks reads up to the end of the connection.
    const bool isChunked = !m_request.isHttp10;
    std::string text;
    if (m_state == state::NothingSent) {
        m_closesConnection = m_closesConnection || !isChunked;
        // If this process ends before the stream does, the part must not look whole.
        if (!isChunked)
            m_caller.resetUnlessClosed();
        text = encodeCallerAnswer(head, isChunked ? "Transfer-Encoding: chunked\r\n" : "",
                                  m_closesConnection);
    }
    if (isChunked)
        appendChunk(text, events);
    else
        text += events;
    if (isLast && isChunked)
        text += lastChunk;
    return write(text, isLast ? state::Complete : state::Begun, deadline);
}

void caller_response::abort()
{
    m_caller.abort();
    m_state = state::Aborted;
}

} // namespace trefoil
