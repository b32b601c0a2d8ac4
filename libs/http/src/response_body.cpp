#include <http/response_body.h>

#include <algorithm>
#include <utility>

#include "head_search.h"

namespace trefoil {

response_body::response_body(const response_body_options &options) : m_options(options)
{
    const bool isEmpty = options.framing.end == body_end::None
        || (options.framing.end == body_end::Length && options.framing.length == 0);
    const bool isTooLong = options.maxDiscardedBytes && options.framing.end == body_end::Length
        && options.framing.length > *options.maxDiscardedBytes;
    if (isEmpty)
        m_state = body_state::Whole;
    else if (isTooLong)
        m_state = body_state::BrokenOff;
}

std::size_t response_body::heldBytes() const
{
    return m_plain.size() + m_undecided.size() + m_events.incompleteBytes();
}

bool response_body::decode(std::string &input)
{
    if (m_options.framing.end == body_end::Chunked) {
        const chunked_state state = m_chunks.feed(input, m_undecided);
        if (state == chunked_state::Malformed)
            m_state = body_state::BrokenOff;
        return state == chunked_state::Done;
    }
    std::size_t size = input.size();
    if (m_options.framing.end == body_end::Length)
        size = std::min<std::uint64_t>(size, m_options.framing.length - m_bodyBytes);
    m_undecided.append(input, 0, size);
    input.erase(0, size);
    m_bodyBytes += size;
    return m_options.framing.end == body_end::Length && m_bodyBytes == m_options.framing.length;
}

std::string response_body::feed(std::string &input)
{
    if (m_state != body_state::Incomplete)
        return {};
    const bool hasFramingEnded = decode(input);
    std::string events;
    if (m_options.maxDiscardedBytes)
        discard();
    else
        events = take(certainBytes());
    if (m_state == body_state::Incomplete && !m_options.maxDiscardedBytes
        && heldBytes() > m_options.maxHeldBytes)
        m_state = body_state::BrokenOff;
    if (m_state == body_state::Incomplete && hasFramingEnded) {
        events += take(m_undecided.size());
        if (isFilledByAnswer(input))
            breakOffByAnswer();
        else
            finish();
    }
    return events;
}

bool response_body::isFilledByAnswer(std::string_view behind) const
{
    if (m_options.framing.end != body_end::Length || m_options.answerField.empty()
        || behind.empty())
        return false;
    const head_place inside = findHead(m_plain, m_options.answerField);
    if (inside.presence != head_presence::Begun)
        return inside.presence == head_presence::Complete;
    const std::string rest = m_plain.substr(inside.at);
    const head_place across = findHead(rest + std::string(behind), m_options.answerField);
    return across.presence == head_presence::Complete && across.at < rest.size();
}

std::size_t response_body::certainBytes()
{
    const bool isWithoutFraming = m_options.framing.end == body_end::Close;
    const bool isSizedStream = m_options.framing.end == body_end::Length && m_options.isEventStream;
    if (m_options.answerField.empty() || !(isWithoutFraming || isSizedStream))
        return m_undecided.size() - m_chunks.openChunkBytes();
    const head_place head = findHead(m_undecided, m_options.answerField);
    if (head.presence == head_presence::Complete)
        breakOffByAnswer();
    return head.at;
}

std::string response_body::take(std::size_t size)
{
    std::string events;
    if (m_options.isEventStream) {
        events = m_events.feed(std::string_view(m_undecided).substr(0, size));
        m_hasEvents = m_hasEvents || containsData(events);
    } else {
        m_plain.append(m_undecided, 0, size);
    }
    m_undecided.erase(0, size);
    return events;
}

void response_body::discard()
{
    m_discardedBytes += m_undecided.size();
    m_undecided.clear();
    if (m_discardedBytes > *m_options.maxDiscardedBytes)
        m_state = body_state::BrokenOff;
}

void response_body::breakOffByAnswer()
{
    m_state = body_state::BrokenOff;
    m_hasFurtherAnswer = true;
}

void response_body::end(bool isOrderly)
{
    if (m_state != body_state::Incomplete)
        return;
    if (m_options.framing.end == body_end::Close && endsInsideHead(m_undecided)) {
        breakOffByAnswer();
        return;
    }
    // What is left is the body's own. A stream is broken off by it, inside an event.
    take(m_options.framing.end == body_end::Close ? m_undecided.size() : 0);
    const bool endsWithConnection = m_options.framing.end == body_end::Close;
    const bool lacksEvents = m_options.isEventStream && !m_hasEvents;
    if (isOrderly && endsWithConnection && !lacksEvents)
        finish();
    else
        m_state = body_state::BrokenOff;
}

void response_body::finish()
{
    m_state = m_events.isInsideEvent() ? body_state::BrokenOff : body_state::Whole;
}

} // namespace trefoil
