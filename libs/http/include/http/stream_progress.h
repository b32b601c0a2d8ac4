#pragma once

#include <string>
#include <string_view>

namespace trefoil {

/// How far a stream has been passed on to its caller, over all servers that wrote a part of it. Not
/// thread-safe.
class stream_progress
{
public:
    /// Records complete events that were passed on.
    void record(std::string_view events);
    /// Returns the id of the last event that had one, or "".
    const std::string &lastEventId() const { return m_lastEventId; }
    /// Returns whether another server can go on without a gap and without repeating an event: no
    /// event was passed on, or the last one had an id.
    bool canContinue() const { return m_canContinue; }

private:
    std::string m_lastEventId;
    bool m_canContinue = true;
};

} // namespace trefoil
