#include <http/attempt_response_reader.h>

#include <algorithm>
#include <utility>

namespace trefoil {

attempt_response_reader::attempt_response_reader(attempt_response_options options)
    : m_options(std::move(options)), m_heads(m_options.maxHeadBytes)
{ }

result<std::optional<response_head>> attempt_response_reader::feed(std::string &buffer)
{
    while (true) {
        if (m_skipped) {
            const result<bool> hasEnded = skipBody(buffer);
            if (!hasEnded)
                return tl::unexpected(hasEnded.error());
            if (!*hasEnded)
                return std::optional<response_head>();
            m_skipped.reset();
            m_heads = response_head_reader(m_options.maxHeadBytes);
        }
        result<std::optional<response_head>> head = m_heads.feed(buffer);
        if (!head || !*head)
            return head;
        const std::size_t nameCount = (*head)->headers.count(attemptField);
        m_isNamed = !m_options.attemptId.empty() && nameCount == 1
            && (*head)->headers.value(attemptField) == m_options.attemptId;
        if (m_isNamed || m_options.attemptId.empty())
            return head;
        if (nameCount == 0 && !m_options.isKeptConnection)
            return head;
        if (nameCount == 0)
            return failure(attempt_errors::foreignResponse,
                           "a response on a kept connection names no attempt");
        if (!m_options.isKeptConnection)
            return failure(attempt_errors::foreignResponse,
                           "the response on a new connection names another attempt");
        if (const result<void> started = startSkipping(**head); !started)
            return tl::unexpected(started.error());
    }
}

result<void> attempt_response_reader::startSkipping(const response_head &head)
{
    // No response to HEAD can arrive here, and all other methods in use frame alike.
    result<body_framing> framing = framingOf(head, "GET");
    if (!framing)
        return tl::unexpected(framing.error());
    if (framing->end == body_end::Close)
        return failure(attempt_errors::foreignResponse,
                       "a response to another attempt ends with the connection");
    ++m_skippedResponses;
    m_skipped = *framing;
    m_skippedChunks = {};
    return {};
}

result<bool> attempt_response_reader::skipBody(std::string &buffer)
{
    if (m_skipped->end == body_end::Chunked) {
        std::string discarded;
        const chunked_state state = m_skippedChunks.feed(buffer, discarded);
        if (state == chunked_state::Malformed)
            return failure("bad-response", "a response to another attempt is malformed");
        return state == chunked_state::Done;
    }
    const std::size_t size = std::min<std::uint64_t>(buffer.size(), m_skipped->length);
    buffer.erase(0, size);
    m_skipped->length -= size;
    return m_skipped->length == 0;
}

} // namespace trefoil
