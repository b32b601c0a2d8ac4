#include <delivery/stream_assembler.h>

#include <charconv>

namespace trefoil {

std::uint64_t stream_assembler::begin()
{
    m_nextUnnumbered = m_next;
    return ++m_attempt;
}

stream_step stream_assembler::take(std::uint64_t attempt, const sse_event &event)
{
    if (attempt != m_attempt || m_complete)
        return stream_step::Stale;
    if (event.data == streamEnd) {
        if (m_next == 0)
            return stream_step::Empty;
        m_complete = true;
        return stream_step::Complete;
    }
    std::uint64_t number = m_nextUnnumbered;
    if (!event.id.empty()) {
        const char *end = event.id.data() + event.id.size();
        const std::from_chars_result parsed = std::from_chars(event.id.data(), end, number);
        if (parsed.ec != std::errc() || parsed.ptr != end)
            return stream_step::Gap;
    }
    if (number < m_next)
        return stream_step::Repeated;
    if (number > m_next)
        return stream_step::Gap;
    ++m_next;
    m_nextUnnumbered = m_next;
    return stream_step::Deliver;
}

} // namespace trefoil
