#include <http/stream_progress.h>

#include <http/message.h>

#include "sse_lines.h"

namespace trefoil {

namespace {

/// What an event tells about its place in the stream.
struct event_fields
{
    bool hasData = false;
    /// The id that the event sets, if it does.
    std::optional<std::string_view> id;
};

/// Removes the next complete event, or empty line, from @p rest.
event_fields takeEvent(std::string_view &rest)
{
    event_fields fields;
    while (!rest.empty()) {
        const std::string_view line = takeLine(rest);
        if (line.empty())
            break;
        if (fieldName(line) == "data")
            fields.hasData = true;
        else if (fieldName(line) == "id")
            fields.id = fieldValue(line);
    }
    return fields;
}

} // namespace

bool stream_progress::event_order::accept(std::string_view id, bool hasData)
{
    const std::optional<std::uint64_t> number = parseDecimal(id);
    if (number && last) {
        const bool isRepeated = *number == *last;
        const bool isNext = *number == *last + 1;
        const bool isConsecutive = hasSteps && !hasJumps;
        if (*number < *last || (isRepeated && hasData))
            return false;
        if (isRunBegin && isConsecutive && !isRepeated && !isNext)
            return false;
        hasSteps = hasSteps || isNext;
        hasJumps = hasJumps || (!isRepeated && !isNext);
        isRunBegin = isRunBegin && isRepeated;
    }
    last = number;
    return true;
}

void stream_progress::beginRun(std::string_view callerHas)
{
    if (m_lastEventId.empty())
        m_order.last = parseDecimal(callerHas);
    m_order.isRunBegin = true;
}

std::string_view stream_progress::inOrder(std::string_view events) const
{
    event_order order = m_order;
    std::string_view rest = events;
    while (!rest.empty()) {
        const std::size_t start = events.size() - rest.size();
        const event_fields event = takeEvent(rest);
        if (event.id && !order.accept(*event.id, event.hasData))
            return events.substr(0, start);
    }
    return events;
}

void stream_progress::record(std::string_view events)
{
    while (!events.empty()) {
        const event_fields event = takeEvent(events);
        if (event.hasData)
            m_canContinue = event.id && !event.id->empty();
        else if (event.id && event.id->empty() && !m_lastEventId.empty())
            m_canContinue = false;
        if (event.id) {
            m_order.accept(*event.id, event.hasData);
            m_lastEventId = std::string(*event.id);
        }
    }
}

} // namespace trefoil
