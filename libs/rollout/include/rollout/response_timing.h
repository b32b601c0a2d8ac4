#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <core/clock.h>

namespace trefoil {

/// Times of one response.
struct response_times
{
    /// From sending the request to the first event, or to the end of a response that is no stream.
    duration firstEvent {};
    /// Mean time between the first events of a stream.
    std::optional<duration> betweenEvents;
};

/// Times above which a response is slow.
struct response_limits
{
    duration firstEvent {};
    std::optional<duration> betweenEvents;
};

/// Returns @p limits for a response whose first event is expected after @p expected, since it has
/// to wait or its prompt has to be computed. Thread-safe.
response_limits raisedFor(duration expected, response_limits limits);

enum class response_speed {
    /// Not known yet, or never because the request was given up early.
    Unknown,
    OnTime,
    Slow
};

/// Measures one response and compares it with limits. A response that has not begun is slow as soon
/// as its limit has passed, whatever ends it later. Not thread-safe.
class response_timer
{
public:
    /// Starts at @p sentAt, when the request was sent. Without @p limits the speed stays unknown.
    response_timer(timestamp sentAt, const std::optional<response_limits> &limits)
        : m_sentAt(sentAt), m_limits(limits)
    { }

    /// Records @p count events of a stream, or the end of a response that is no stream.
    void onEvents(timestamp now, int count);
    /// Records that the response is complete.
    void onComplete() { m_isComplete = true; }

    /// Returns the speed as known at @p now.
    response_speed speed(timestamp now) const;
    /// Returns the times once they are known.
    std::optional<response_times> times() const;
    /// Returns the time to the first event, if there was one.
    std::optional<duration> firstEventTime() const;

private:
    std::optional<duration> betweenEvents() const;

    timestamp m_sentAt;
    std::optional<response_limits> m_limits;
    bool m_isComplete = false;
    /// Events up to the last one that is measured.
    int m_events = 0;
    timestamp m_firstEventAt;
    timestamp m_lastEventAt;
};

/// Derives the limits of a route from the latest responses of a release that is known to be sound.
/// Not thread-safe.
class response_baseline
{
public:
    /// Adds the times of a response.
    void add(const response_times &times);
    /// Returns the limits, or nothing before enough responses were added.
    std::optional<response_limits> limits() const;

private:
    /// Latest values, overwritten in turn.
    struct samples
    {
        std::vector<duration> values;
        std::size_t next = 0;

        void add(duration value);
        std::optional<duration> limit(duration margin) const;
    };

    samples m_firstEvents;
    samples m_betweenEvents;
};

} // namespace trefoil
