#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace trefoil {

/// How far a stream has been passed on to its caller, over all servers that wrote a part of it. Not
/// thread-safe.
class stream_progress
{
public:
    /// Returns the first of the complete events @p events, up to one whose id goes back: an event
    /// with data whose id is not above the one before, or one without data whose id is below it.
    /// Only ids that are decimal numbers are compared.
    std::string_view inOrder(std::string_view events) const;
    /// Records complete events that were passed on.
    void record(std::string_view events);
    /// Returns the id of the last event that had one, or "".
    const std::string &lastEventId() const { return m_lastEventId; }
    /// Returns whether another server can go on without a gap and without repeating an event: no
    /// event was passed on, or the last one had an id.
    bool canContinue() const { return m_canContinue; }

private:
    /// Order of the ids of a stream.
    struct event_order
    {
        /// Returns whether an event with @p id may follow, and records it if so.
        bool accept(std::string_view id, bool hasData);

        /// The last id, if it is a number.
        std::optional<std::uint64_t> last;
    };

    std::string m_lastEventId;
    event_order m_order;
    bool m_canContinue = true;
};

} // namespace trefoil
