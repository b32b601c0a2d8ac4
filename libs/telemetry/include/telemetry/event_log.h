#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <telemetry/log.h>

namespace trefoil {

/// One structured log line: an event, the objects concerned and the inputs of the decision. Not
/// thread-safe.
///
///     writeEvent(event_line("proxy", "placed").add("request", id).add("expected_ms", 120));
class event_line
{
public:
    /// Starts a line for @p event in @p component; both are short fixed names.
    event_line(std::string_view component, std::string_view event);

    /// Appends a field. Must not contain a caller's key or prompt.
    event_line &add(std::string_view name, std::string_view value);
    event_line &add(std::string_view name, const char *value)
    {
        return add(name, std::string_view(value));
    }
    event_line &add(std::string_view name, std::int64_t value);
    event_line &add(std::string_view name, std::uint64_t value);
    event_line &add(std::string_view name, int value) { return add(name, std::int64_t {value}); }
    event_line &add(std::string_view name, double value);
    event_line &add(std::string_view name, bool value);

    /// Returns the name of the event.
    std::string_view event() const { return m_event; }
    /// Returns the fields as the members of a JSON object, without the braces.
    const std::string &fields() const { return m_fields; }

private:
    std::string m_event;
    std::string m_fields;
};

/// Options of the event log.
struct event_log_options
{
    /// Name of the instance, written to each line.
    std::string_view instance;
    /// Limit on the lines per second of each event. Lines above it are dropped; the event's next
    /// line has their number in its field "left_out".
    double linesPerSecond = 200;
};

/// Starts a thread that writes queued lines to the standard output. A full queue drops lines, so
/// that a blocked output never blocks a caller of writeEvent(). Call once, before other threads
/// start.
void startEventLog(const event_log_options &options);

/// Writes the queued lines for at most half a second and stops the thread.
void stopEventLog();

/// Queues @p line. Never blocks. Thread-safe. Lines before startEventLog() are dropped.
void writeEvent(const event_line &line);

/// Returns the number of lines dropped by the rate limit since the process started. Thread-safe.
std::uint64_t droppedEvents();

} // namespace trefoil
