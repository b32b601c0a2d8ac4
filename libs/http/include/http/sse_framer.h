#pragma once

#include <string>
#include <string_view>

namespace trefoil {

/// Splits a byte stream of server-sent events after complete events, so that a stream that breaks
/// inside an event can be resumed from another server after the last complete one. The events'
/// bytes stay unchanged. Not thread-safe.
class sse_framer
{
public:
    /// Appends @p bytes and returns all events that are complete now, concatenated.
    std::string feed(std::string_view bytes);
    /// Returns and discards the bytes of an incomplete event.
    std::string takeIncomplete();
    /// Discards an incomplete event, when another server resumes the stream.
    void discardIncomplete() { m_incomplete.clear(); }
    /// Returns the number of bytes of an incomplete event.
    std::size_t incompleteBytes() const { return m_incomplete.size(); }
    /// Returns whether an event has begun and is not complete.
    bool isInsideEvent() const;
    /// Returns the id of the last complete event that had one, or "".
    const std::string &lastEventId() const { return m_lastEventId; }

private:
    void updateLastEventId(std::string_view events);

    std::string m_incomplete;
    std::string m_lastEventId;
};

/// Returns the number of events that end in @p events. Thread-safe.
int countEvents(std::string_view events);

/// Returns whether @p events contains a data field. Comments and empty lines, which servers send to
/// keep a connection open, are no progress of a stream. Thread-safe.
bool containsData(std::string_view events);

} // namespace trefoil
