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
    /// Begins a run that goes on after lastEventId(), or, if that is "", after the event with the
    /// id @p callerHas, "" for a run from the start of the stream.
    void beginRun(std::string_view callerHas);
    /// Returns the first of the complete events @p events, up to one that is out of order: its id
    /// goes back, i.e. it has data and an id that is not above the one before, or no data and an id
    /// below it; or it is the first of a run and leaves an event out. That is known only if the ids
    /// so far, two at least, followed each other by one: a stream's ids may jump. Only ids that are
    /// decimal numbers are compared.
    std::string_view inOrder(std::string_view events) const;
    /// Records complete events that were passed on.
    void record(std::string_view events);
    /// Returns the id of the last event that had one, or "".
    const std::string &lastEventId() const { return m_lastEventId; }
    /// Returns whether another server can go on without a gap and without repeating an event: no
    /// event was passed on, or the last one had an id that no later event took back.
    bool canContinue() const { return m_canContinue; }

private:
    /// Order of the ids of a stream.
    struct event_order
    {
        /// Returns whether an event with @p id may follow, and records it if so.
        bool accept(std::string_view id, bool hasData);

        /// The last id, if it is a number.
        std::optional<std::uint64_t> last;
        /// Whether an id has followed the one before by one, and whether one has by more.
        bool hasSteps = false;
        bool hasJumps = false;
        /// Whether no id of the present run was recorded.
        bool isRunBegin = false;
    };

    std::string m_lastEventId;
    event_order m_order;
    bool m_canContinue = true;
};

} // namespace trefoil
