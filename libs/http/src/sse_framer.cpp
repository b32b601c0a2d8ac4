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
    m_incomplete.append(bytes);
    const std::size_t end = endOfLastCompleteEvent(m_incomplete);
    std::string events = m_incomplete.substr(0, end);
    m_incomplete.erase(0, end);
    updateLastEventId(events);
    return events;
}

std::string sse_framer::takeIncomplete() { return std::exchange(m_incomplete, {}); }

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
