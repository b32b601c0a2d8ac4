#include <http/sse_framer.h>

#include <utility>

#include "sse_lines.h"

namespace trefoil {

std::string sse_framer::feed(std::string_view bytes)
{
    const std::size_t start = m_incomplete.size();
    m_incomplete.append(bytes);
    std::size_t end = 0;
    for (std::size_t i = start; i < m_incomplete.size(); ++i) {
        const char c = m_incomplete[i];
        if (c == '\n' && m_wasCarriageReturn) {
            if (std::exchange(m_isEndPending, false) || end == i)
                end = i + 1;
            m_wasCarriageReturn = false;
            m_hasCrLf = true;
            continue;
        }
        if (std::exchange(m_isEndPending, false))
            end = i;
        const bool isLineEnd = c == '\r' || c == '\n';
        m_hasCrLf = m_hasCrLf && !m_wasCarriageReturn && c != '\n';
        if (isLineEnd && m_isLineEmpty) {
            // Where lines end with CR LF, a CR is only half of the line that ends the event.
            m_isEndPending = c == '\r' && m_hasCrLf;
            end = m_isEndPending ? end : i + 1;
        }
        m_isLineEmpty = isLineEnd;
        m_wasCarriageReturn = c == '\r';
    }
    std::string events = m_incomplete.substr(0, end);
    m_incomplete.erase(0, end);
    return events;
}

int countEvents(std::string_view events)
{
    int count = 0;
    bool hasLines = false;
    while (!events.empty()) {
        if (!takeLine(events).empty()) {
            hasLines = true;
        } else if (hasLines) {
            hasLines = false;
            ++count;
        }
    }
    return count;
}

std::string_view eventId(std::string_view events)
{
    std::string_view id;
    while (!events.empty()) {
        const std::string_view line = takeLine(events);
        if (line.empty())
            break;
        if (fieldName(line) == "id")
            id = fieldValue(line);
    }
    return id;
}

bool containsData(std::string_view events)
{
    while (!events.empty()) {
        if (fieldName(takeLine(events)) == "data")
            return true;
    }
    return false;
}

} // namespace trefoil
