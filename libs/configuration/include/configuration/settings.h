#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <core/clock.h>
#include <core/finding.h>
#include <tl/expected.hpp>

namespace trefoil {

/// Numeric address and port, for example 127.0.0.11:8080.
struct endpoint
{
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const endpoint &) const = default;
};

/// Parses "address:port" with a numeric IPv4 address into @p parsed. Returns false on any other
/// text. Thread-safe.
bool parseEndpoint(std::string_view text, endpoint &parsed);

/// Returns "address:port". Thread-safe.
std::string toString(const endpoint &place);

/// Settings of one instance. They hold only what the instance can't learn from the platform.
struct settings
{
    std::string name;
    std::string zone;
    std::string region;
    endpoint callers;
    endpoint peers;
    endpoint operators;
    endpoint platform;
    /// Calls to the platform that this instance allows itself, in calls a second.
    int platformCallsPerSecond = 20;
    /// Peers asked first for the configuration and the members.
    std::vector<endpoint> seeds;
    /// Shared by all instances; peers' requests without it are refused.
    std::string peerSecret;
    std::string logLevel = "info";
    bool logAsJson = false;
    /// File that spans are appended to as OTLP/JSON lines; empty for none.
    std::string traceFile;
    /// Base address of an OTLP/HTTP collector; empty for none.
    std::string traceEndpoint;
    /// Threads that serve callers: one for each open connection.
    int callerThreads = 256;
    std::int64_t maxBodyBytes = 8 << 20;
    /// Time a caller has to send its request or to take a piece of the answer.
    duration callerTimeout = std::chrono::seconds(20);
    /// Time that open streams get to finish after SIGTERM.
    duration drainTimeout = std::chrono::seconds(60);
};

/// Reads settings from YAML. @p file names the document in findings. Returns every finding where
/// there is any. Thread-safe.
tl::expected<settings, findings> readSettings(std::string_view text, std::string_view file);

} // namespace trefoil
