#include <telemetry/log.h>

#include <array>
#include <iostream>
#include <string>

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>
#include <core/clock.h>
#include <core/json.h>

namespace trefoil {

namespace {

namespace logging = boost::log;

constexpr std::array<const char *, 4> levelNames {"debug", "info", "warning", "error"};

/// The options of startLog(); written before other threads start, so reads need no lock.
struct log_state
{
    log_level minLevel = log_level::Info;
    bool asJson = false;
    std::string instance;
};

log_state &state()
{
    static log_state instance;
    return instance;
}

std::string formatJson(log_level level, std::string_view component, std::string_view message)
{
    Json::Value line(Json::objectValue);
    line["time_ms"] = Json::UInt64(wallMilliseconds());
    line["level"] = levelNames[static_cast<std::size_t>(level)];
    line["instance"] = state().instance;
    line["part"] = std::string(component);
    line["message"] = std::string(message);
    return writeJson(line);
}

std::string formatText(log_level level, std::string_view component, std::string_view message)
{
    std::string line = std::to_string(wallMilliseconds());
    line += " ";
    line += levelNames[static_cast<std::size_t>(level)];
    line += " ";
    line += state().instance;
    line += " ";
    line += component;
    line += ": ";
    line += message;
    return line;
}

} // namespace

void startLog(const log_options &options)
{
    state() = {.minLevel = options.minLevel,
               .asJson = options.asJson,
               .instance = std::string(options.instance)};
    using backend = logging::sinks::text_ostream_backend;
    const boost::shared_ptr<backend> stream = boost::make_shared<backend>();
    stream->add_stream(boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
    stream->auto_flush(true);
    using frontend = logging::sinks::synchronous_sink<backend>;
    const boost::shared_ptr<frontend> sink = boost::make_shared<frontend>(stream);
    // Lines with a channel belong to the event log, which has its own sink.
    sink->set_filter(!logging::expressions::has_attr<std::string>("Channel"));
    sink->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    logging::core::get()->add_sink(sink);
}

log_level parseLogLevel(std::string_view name)
{
    for (std::size_t i = 0; i < levelNames.size(); ++i) {
        if (name == levelNames[i])
            return static_cast<log_level>(i);
    }
    return log_level::Info;
}

void logLine(log_level level, std::string_view component, std::string_view message)
{
    if (level < state().minLevel)
        return;
    thread_local logging::sources::severity_logger<log_level> logger;
    BOOST_LOG_SEV(logger, level) << (state().asJson ? formatJson(level, component, message)
                                                    : formatText(level, component, message));
}

} // namespace trefoil
