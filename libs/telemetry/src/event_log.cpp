#include <telemetry/event_log.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <cstdio>
#include <map>
#include <mutex>

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/channel_logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <core/clock.h>
#include <iostream>
#include <thread>

namespace trefoil {

namespace {

namespace logging = boost::log;

/// Capacity of the queue to the output thread: about one second of lines of a busy instance.
constexpr std::size_t maxQueuedLines = 4096;
/// Channel attribute of this log's lines, by which the sink of log.h excludes them.
constexpr const char *channelName = "event";

using backend = logging::sinks::text_ostream_backend;
using queue = logging::sinks::bounded_fifo_queue<maxQueuedLines, logging::sinks::drop_on_overflow>;
using frontend = logging::sinks::asynchronous_sink<backend, queue>;

/// Token bucket that limits the lines of one event.
struct token_bucket
{
    double tokens = 0;
    timestamp refilledAt;
    std::uint64_t droppedLines = 0;
};

struct event_log_state
{
    std::mutex mutex;
    std::string instance;
    double linesPerSecond = 0;
    std::map<std::string, token_bucket, std::less<>> buckets;
    boost::shared_ptr<frontend> sink;
    std::atomic<bool> isStarted = false;
    std::atomic<std::uint64_t> dropped = 0;
};

event_log_state &state()
{
    static event_log_state instance;
    return instance;
}

void appendEscaped(std::string &text, std::string_view value)
{
    text += '"';
    for (const char c : value) {
        constexpr unsigned char firstPrintable = 0x20;
        if (c == '"' || c == '\\') {
            text += '\\';
            text += c;
        } else if (static_cast<unsigned char>(c) < firstPrintable) {
            text += ' ';
        } else {
            text += c;
        }
    }
    text += '"';
}

/// Takes a token for one line of @p event. Returns the number of lines dropped since the event's
/// last line, or -1 if this line must be dropped as well.
std::int64_t takeToken(event_log_state &log, std::string_view event)
{
    const std::lock_guard<std::mutex> lock(log.mutex);
    const timestamp now = boot_clock::now();
    const auto found =
        log.buckets
            .try_emplace(std::string(event),
                         token_bucket {.tokens = log.linesPerSecond, .refilledAt = now})
            .first;
    token_bucket &bucket = found->second;
    bucket.tokens =
        std::min(log.linesPerSecond,
                 bucket.tokens + toSeconds(now - bucket.refilledAt) * log.linesPerSecond);
    bucket.refilledAt = now;
    if (bucket.tokens < 1) {
        bucket.droppedLines += 1;
        return -1;
    }
    bucket.tokens -= 1;
    return static_cast<std::int64_t>(std::exchange(bucket.droppedLines, 0));
}

} // namespace

event_line::event_line(std::string_view component, std::string_view event) : m_event(event)
{
    add("part", component);
    add("event", event);
}

event_line &event_line::add(std::string_view name, std::string_view value)
{
    if (!m_fields.empty())
        m_fields += ',';
    appendEscaped(m_fields, name);
    m_fields += ':';
    appendEscaped(m_fields, value);
    return *this;
}

event_line &event_line::add(std::string_view name, std::int64_t value)
{
    std::array<char, 24> digits {};
    const std::to_chars_result end =
        std::to_chars(digits.data(), digits.data() + digits.size(), value);
    m_fields += ',';
    appendEscaped(m_fields, name);
    m_fields += ':';
    m_fields.append(digits.data(), end.ptr);
    return *this;
}

event_line &event_line::add(std::string_view name, std::uint64_t value)
{
    return add(name, static_cast<std::int64_t>(value));
}

event_line &event_line::add(std::string_view name, double value)
{
    std::array<char, 40> digits {};
    const int size = std::snprintf(digits.data(), digits.size(), "%.1f", value);
    m_fields += ',';
    appendEscaped(m_fields, name);
    m_fields += ':';
    m_fields.append(digits.data(), static_cast<std::size_t>(std::max(size, 0)));
    return *this;
}

event_line &event_line::add(std::string_view name, bool value)
{
    m_fields += ',';
    appendEscaped(m_fields, name);
    m_fields += value ? ":true" : ":false";
    return *this;
}

void startEventLog(const event_log_options &options)
{
    event_log_state &log = state();
    log.instance = std::string(options.instance);
    log.linesPerSecond = options.linesPerSecond;
    const boost::shared_ptr<backend> stream = boost::make_shared<backend>();
    stream->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    stream->auto_flush(true);
    log.sink = boost::make_shared<frontend>(stream);
    log.sink->set_filter(logging::expressions::attr<std::string>("Channel") == channelName);
    log.sink->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    logging::core::get()->add_sink(log.sink);
    log.isStarted = true;
}

void stopEventLog()
{
    event_log_state &log = state();
    if (!log.isStarted.exchange(false))
        return;
    // A blocked output would block the flush forever, so give up after a timeout: the process ends
    // anyway.
    constexpr duration flushTimeout = std::chrono::milliseconds(500);
    std::atomic<bool> isFlushed = false;
    std::thread flusher([&log, &isFlushed] {
        log.sink->flush();
        isFlushed = true;
    });
    const timestamp end = boot_clock::now() + flushTimeout;
    while (!isFlushed && boot_clock::now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    if (!isFlushed) {
        flusher.detach();
        return;
    }
    flusher.join();
    logging::core::get()->remove_sink(log.sink);
    log.sink->stop();
}

void writeEvent(const event_line &line)
{
    event_log_state &log = state();
    if (!log.isStarted)
        return;
    const std::int64_t droppedLines = takeToken(log, line.event());
    if (droppedLines < 0) {
        log.dropped += 1;
        return;
    }
    std::string text = "{\"time_ms\":" + std::to_string(wallMilliseconds()) + ",\"instance\":";
    appendEscaped(text, log.instance);
    text.append(",").append(line.fields());
    if (droppedLines > 0)
        text.append(",\"left_out\":").append(std::to_string(droppedLines));
    text += "}";
    thread_local logging::sources::channel_logger<std::string> logger(logging::keywords::channel =
                                                                          channelName);
    BOOST_LOG(logger) << text;
}

std::uint64_t droppedEvents() { return state().dropped; }

} // namespace trefoil
