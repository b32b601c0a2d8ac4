#include <rollout/response_timing.h>

#include <algorithm>

namespace trefoil {

namespace {

/// The time between events is measured over this many of them, so that a long stream is judged
/// before it ends.
constexpr int measuredEvents = 8;
/// Streams with fewer events say nothing about the time between them.
constexpr int minMeasuredEvents = 4;
constexpr std::size_t maxSamples = 128;
constexpr std::size_t minSamples = 20;
/// A response is slow if it takes this many times as long as nine in ten responses of the baseline,
/// and at least the margin longer.
constexpr double slowFactor = 1.25;
constexpr double baselineQuantile = 0.9;
constexpr duration firstEventMargin = std::chrono::milliseconds(50);
constexpr duration betweenEventsMargin = std::chrono::milliseconds(5);

} // namespace

response_limits raisedFor(duration expected, response_limits limits)
{
    limits.firstEvent =
        std::max<duration>(limits.firstEvent, fromSeconds(toSeconds(expected) * slowFactor));
    return limits;
}

void response_timer::onEvents(timestamp now, int count)
{
    if (count <= 0 || m_events >= measuredEvents)
        return;
    if (m_events == 0)
        m_firstEventAt = now;
    m_events += count;
    m_lastEventAt = now;
}

std::optional<duration> response_timer::firstEventTime() const
{
    return m_events > 0 ? std::optional(m_firstEventAt - m_sentAt) : std::nullopt;
}

std::optional<duration> response_timer::betweenEvents() const
{
    const bool isMeasured =
        m_events >= measuredEvents || (m_isComplete && m_events >= minMeasuredEvents);
    if (!isMeasured)
        return std::nullopt;
    return (m_lastEventAt - m_firstEventAt) / (m_events - 1);
}

response_speed response_timer::speed(timestamp now) const
{
    if (!m_limits)
        return response_speed::Unknown;
    const std::optional<duration> firstEvent = firstEventTime();
    if (firstEvent.value_or(now - m_sentAt) > m_limits->firstEvent)
        return response_speed::Slow;
    if (!firstEvent)
        return response_speed::Unknown;
    if (!m_limits->betweenEvents)
        return response_speed::OnTime;
    const std::optional<duration> between = betweenEvents();
    if (between)
        return *between > *m_limits->betweenEvents ? response_speed::Slow : response_speed::OnTime;
    if (m_isComplete)
        return response_speed::OnTime;
    return now - m_firstEventAt > *m_limits->betweenEvents * measuredEvents
        ? response_speed::Slow
        : response_speed::Unknown;
}

std::optional<response_times> response_timer::times() const
{
    const std::optional<duration> between = betweenEvents();
    if (m_events == 0 || (!between && !m_isComplete))
        return std::nullopt;
    return response_times {.firstEvent = m_firstEventAt - m_sentAt, .betweenEvents = between};
}

void response_baseline::samples::add(duration value)
{
    if (values.size() < maxSamples)
        values.push_back(value);
    else
        values[next] = value;
    next = (next + 1) % maxSamples;
}

std::optional<duration> response_baseline::samples::limit(duration margin) const
{
    if (values.size() < minSamples)
        return std::nullopt;
    std::vector<duration> sorted = values;
    const std::size_t rank =
        static_cast<std::size_t>(baselineQuantile * static_cast<double>(sorted.size()));
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(rank),
                     sorted.end());
    return std::max<duration>(fromSeconds(toSeconds(sorted[rank]) * slowFactor),
                              sorted[rank] + margin);
}

void response_baseline::add(const response_times &times)
{
    m_firstEvents.add(times.firstEvent);
    if (times.betweenEvents)
        m_betweenEvents.add(*times.betweenEvents);
}

std::optional<response_limits> response_baseline::limits() const
{
    const std::optional<duration> firstEvent = m_firstEvents.limit(firstEventMargin);
    if (!firstEvent)
        return std::nullopt;
    return response_limits {.firstEvent = *firstEvent,
                            .betweenEvents = m_betweenEvents.limit(betweenEventsMargin)};
}

} // namespace trefoil
