#include <http/sse_framer.h>

#include <algorithm>
#include <utility>

namespace trefoil {

namespace {

/// Returns the end of the last complete event in @p text, or 0 if there is none.
std::size_t endOfLastCompleteEvent(std::string_view text)
{
    const std::size_t lineFeeds = text.rfind("\n\n");
    const std::size_t crlfs = text.rfind("\r\n\r\n");
    constexpr std::size_t lineFeedsSize = 2;
    constexpr std::size_t crlfsSize = 4;
    const std::size_t lineFeedsEnd =
        lineFeeds == std::string_view::npos ? 0 : lineFeeds + lineFeedsSize;
    const std::size_t crlfsEnd = crlfs == std::string_view::npos ? 0 : crlfs + crlfsSize;
    return std::max(lineFeedsEnd, crlfsEnd);
}

} // namespace

std::string sse_framer::feed(std::string_view bytes)
{
    // Only the new bytes, and the line end that they may complete, can end an event.
    constexpr std::size_t longestEnd = 4;
    const std::size_t searchFrom =
        m_incomplete.size() - std::min(m_incomplete.size(), longestEnd - 1);
    m_incomplete.append(bytes);
    const std::size_t found =
        endOfLastCompleteEvent(std::string_view(m_incomplete).substr(searchFrom));
    const std::size_t end = found == 0 ? 0 : searchFrom + found;
    std::string events = m_incomplete.substr(0, end);
    m_incomplete.erase(0, end);
    updateLastEventId(events);
    return events;
}

std::string sse_framer::takeIncomplete() { return std::exchange(m_incomplete, {}); }

bool sse_framer::isInsideEvent() const
{
    return m_incomplete.find_first_not_of("\r\n") != std::string::npos;
}

int countEvents(std::string_view events)
{
    int count = 0;
    bool hasLines = false;
    bool isLineEmpty = true;
    for (const char c : events) {
        if (c == '\r')
            continue;
        if (c != '\n') {
            hasLines = true;
            isLineEmpty = false;
            continue;
        }
        if (isLineEmpty && std::exchange(hasLines, false))
            ++count;
        isLineEmpty = true;
    }
    return count;
}

bool containsData(std::string_view events)
{
    constexpr std::string_view fieldName = "data";
    return events.starts_with(fieldName) || events.find("\ndata") != std::string_view::npos;
}

void sse_framer::updateLastEventId(std::string_view events)
{
    constexpr std::string_view fieldName = "id:";
    while (!events.empty()) {
        const std::size_t end = events.find('\n');
        std::string_view line = events.substr(0, end);
        events = end == std::string_view::npos ? std::string_view {} : events.substr(end + 1);
        if (!line.starts_with(fieldName))
            continue;
        line.remove_prefix(fieldName.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        m_lastEventId = std::string(line);
    }
}

} // namespace trefoil
