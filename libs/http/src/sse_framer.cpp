#include <http/sse_framer.h>

#include <utility>

namespace trefoil {

namespace {

/// Removes the next line from @p rest and returns it without its end.
std::string_view takeLine(std::string_view &rest)
{
    const std::size_t end = rest.find_first_of("\r\n");
    const std::string_view line = rest.substr(0, end);
    if (end == std::string_view::npos) {
        rest = {};
        return line;
    }
    rest.remove_prefix(rest.substr(end).starts_with("\r\n") ? end + 2 : end + 1);
    return line;
}

/// Returns the name of the field that @p line holds; "" for a comment.
std::string_view fieldName(std::string_view line) { return line.substr(0, line.find(':')); }

std::string_view fieldValue(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos)
        return {};
    line.remove_prefix(colon + 1);
    if (line.starts_with(' '))
        line.remove_prefix(1);
    return line;
}

} // namespace

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

bool containsData(std::string_view events)
{
    while (!events.empty()) {
        if (fieldName(takeLine(events)) == "data")
            return true;
    }
    return false;
}

void stream_progress::record(std::string_view events)
{
    std::string_view id = m_lastEventId;
    bool hasData = false;
    bool hasId = false;
    while (!events.empty()) {
        const std::string_view line = takeLine(events);
        if (line.empty()) {
            if (hasData)
                m_canContinue = hasId;
            hasData = false;
            hasId = false;
        } else if (fieldName(line) == "data") {
            hasData = true;
        } else if (fieldName(line) == "id") {
            id = fieldValue(line);
            hasId = !id.empty();
        }
    }
    m_lastEventId = std::string(id);
}

} // namespace trefoil
