#include <delivery/stream_assembler.h>

#include <algorithm>
#include <charconv>

#include <core/digest.h>

namespace trefoil {

std::uint64_t stream_assembler::begin()
{
    // Only a run that was not asked to resume begins at a known position.
    m_position.reset();
    if (m_next == 0)
        m_position = 0;
    return ++m_attempt;
}

void stream_assembler::setPosition(std::uint64_t attempt, std::uint64_t position)
{
    if (attempt == m_attempt)
        m_position = position;
}

stream_step stream_assembler::take(std::uint64_t attempt, const sse_event &event)
{
    if (attempt != m_attempt || m_complete)
        return stream_step::Stale;
    if (event.data == streamEnd) {
        if (m_next == 0)
            return stream_step::Empty;
        if (m_position != m_next)
            return stream_step::Gap;
        m_complete = true;
        return stream_step::Complete;
    }
    std::uint64_t number = m_position.value_or(0);
    if (!event.id.empty()) {
        const char *end = event.id.data() + event.id.size();
        const std::from_chars_result parsed = std::from_chars(event.id.data(), end, number);
        if (parsed.ec != std::errc() || parsed.ptr != end)
            return stream_step::Gap;
    } else if (!m_position) {
        return stream_step::Gap;
    }
    if (number > m_position.value_or(m_next) || number > m_next)
        return stream_step::Gap;
    const std::uint64_t hash = hash64(event.data);
    if (number < m_next && hash != m_delivered[number])
        return stream_step::Gap;
    m_position = std::max(m_position.value_or(0), number + 1);
    if (number < m_next)
        return stream_step::Repeated;
    m_delivered.push_back(hash);
    ++m_next;
    return stream_step::Deliver;
}

} // namespace trefoil
