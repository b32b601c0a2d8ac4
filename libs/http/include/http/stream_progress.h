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
    /// id @p callerHas, "" for a run from the start of the stream. @p areIdsConsecutive tells that
    /// the ids of such streams are known to follow each other by one.
    void beginRun(std::string_view callerHas, bool areIdsConsecutive);
    /// Returns the first of the complete events @p events, up to one that is out of order: its id
    /// goes back, i.e. it has data and an id that is not above the one before, or no data and an id
    /// below it; or it is the first of a run and leaves an event out. A stream's ids may jump, so
    /// that is known only if all ids so far followed each other by one, two of them at least unless
    /// such streams are known to have consecutive ids. Only ids that are decimal numbers are
    /// compared.
    std::string_view inOrder(std::string_view events) const;
    /// Records complete events that were passed on.
    void record(std::string_view events);
    /// Returns the id of the last event that had one, or "".
    const std::string &lastEventId() const { return m_lastEventId; }
    /// Returns whether another server can go on without a gap and without repeating an event: no
    /// event was passed on, or the last one had an id that no later event took back.
    bool canContinue() const { return m_canContinue; }
    /// Returns whether the ids so far followed each other by one; nothing if fewer than two had to.
    std::optional<bool> hasConsecutiveIds() const;

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
        /// Whether such streams are known to have ids that follow each other by one.
        bool isUsuallyConsecutive = false;
    };

    std::string m_lastEventId;
    event_order m_order;
    bool m_canContinue = true;
};

/// How the event ids of a service's streams follow each other, learnt from the complete ones. Not
/// thread-safe.
class event_id_steps
{
public:
    /// Records a stream that was passed on as a whole.
    void record(const stream_progress &stream);
    /// Returns whether the ids of nearly all streams, of enough to tell, followed each other by
    /// one.
    bool areConsecutive() const;

private:
    int m_streams = 0;
    int m_streamsWithJumps = 0;
};

} // namespace trefoil
