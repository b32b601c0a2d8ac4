#pragma once

#include <string_view>

namespace trefoil {

/// Severity of a log line.
enum class log_level { Debug, Info, Warning, Error };

/// Options of the process log.
struct log_options
{
    /// Lines below this level are not written.
    log_level minLevel = log_level::Info;
    /// Write each line as one JSON object instead of text.
    bool asJson = false;
    /// Name of the instance, written to each line.
    std::string_view instance;
};

/// Starts writing log lines to the standard error stream. Call once, before other threads start.
void startLog(const log_options &options);

/// Returns the level called @p name (debug, info, warning or error), or Info for any other name.
/// Thread-safe.
log_level parseLogLevel(std::string_view name);

/// Writes one line. @p component is a fixed name for the component that logs, for example "limits".
/// @p message must not contain a caller's key or prompt. Thread-safe.
void logLine(log_level level, std::string_view component, std::string_view message);

inline void logDebug(std::string_view component, std::string_view message)
{
    logLine(log_level::Debug, component, message);
}
inline void logInfo(std::string_view component, std::string_view message)
{
    logLine(log_level::Info, component, message);
}
inline void logWarning(std::string_view component, std::string_view message)
{
    logLine(log_level::Warning, component, message);
}
inline void logError(std::string_view component, std::string_view message)
{
    logLine(log_level::Error, component, message);
}

} // namespace trefoil
