#pragma once

#include <string_view>

namespace trefoil {

/// Severity of a log line.
enum class log_level { Debug, Info, Warning, Error };

/// Options of the process's log.
struct log_options
{
    log_level least = log_level::Info;
    /// One JSON object a line instead of text.
    bool asJson = false;
    /// Name of the instance, written on each line.
    std::string_view instance;
};

/// Sends log lines to the standard error stream. Call once, before other threads start.
void startLog(const log_options &options);

/// Returns the level called @p name: debug, info, warning or error; Info for any other name.
/// Thread-safe.
log_level logLevelNamed(std::string_view name);

/// Writes one short sentence. @p part is the fixed prefix of the part that speaks, for example
/// "limits". Never pass a caller's key or prompt. Thread-safe.
void logLine(log_level level, std::string_view part, std::string_view sentence);

inline void logDebug(std::string_view part, std::string_view sentence)
{
    logLine(log_level::Debug, part, sentence);
}
inline void logInfo(std::string_view part, std::string_view sentence)
{
    logLine(log_level::Info, part, sentence);
}
inline void logWarning(std::string_view part, std::string_view sentence)
{
    logLine(log_level::Warning, part, sentence);
}
inline void logError(std::string_view part, std::string_view sentence)
{
    logLine(log_level::Error, part, sentence);
}

} // namespace trefoil
