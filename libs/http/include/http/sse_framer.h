#pragma once

#include <string>
#include <string_view>

namespace trefoil {

/// Splits a byte stream of server-sent events after complete events. Lines end with LF, CR LF or
/// CR. The events' bytes stay unchanged. Not thread-safe.
class sse_framer
{
public:
    /// Appends @p bytes and returns all events that are complete now, concatenated.
    std::string feed(std::string_view bytes);
    /// Returns the number of bytes of an incomplete event.
    std::size_t incompleteBytes() const { return m_incomplete.size(); }
    /// Returns whether an event, or a comment, has begun and is not complete.
    bool isInsideEvent() const { return !m_incomplete.empty(); }

private:
    std::string m_incomplete;
    bool m_isLineEmpty = true;
    bool m_wasCarriageReturn = false;
    /// Whether the last line ended with CR LF.
    bool m_hasCrLf = false;
    /// Whether the event ends here if the next byte is no LF, and with that byte if it is one.
    bool m_isEndPending = false;
};

/// Returns the number of events that end in @p events. Thread-safe.
int countEvents(std::string_view events);

/// Returns the id that the first of the complete events @p events sets, or "". Thread-safe.
std::string_view eventId(std::string_view events);

/// Returns whether @p events contains a data field. Comments and empty lines, which servers send to
/// keep a connection open, are no progress of a stream. Thread-safe.
bool containsData(std::string_view events);

} // namespace trefoil
