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
std::string toString(const endpoint &address);

/// Settings of one instance: only what the instance can't learn from the platform.
struct settings
{
    std::string name;
    std::string zone;
    std::string region;
    /// Addresses that the instance listens on for callers, other instances and operators.
    endpoint callers;
    endpoint peers;
    endpoint operators;
    /// Address of the platform's object API.
    endpoint platform;
    /// Limit on this instance's calls to the platform, in calls per second.
    int platformCallsPerSecond = 20;
    /// Peers from which the instance first obtains the configuration and the members.
    std::vector<endpoint> seeds;
    /// Secret shared by all instances; requests from peers without it are refused.
    std::string peerSecret;
    std::string logLevel = "info";
    bool logAsJson = false;
    /// File to which spans are appended as OTLP/JSON lines; empty for none.
    std::string traceFile;
    /// Base address of an OTLP/HTTP collector; empty for none.
    std::string traceEndpoint;
    /// Threads that serve callers. Each open connection occupies one.
    int callerThreads = 256;
    std::int64_t maxBodyBytes = 8 << 20;
    /// Time that a caller has to send its request or to receive a piece of the answer.
    duration callerTimeout = std::chrono::seconds(20);
    /// Time that open streams have to finish after SIGTERM.
    duration drainTimeout = std::chrono::seconds(60);
};

/// Reads settings from YAML. @p file names the document in findings. On failure, returns every
/// finding. Thread-safe.
tl::expected<settings, findings> readSettings(std::string_view text, std::string_view file);

} // namespace trefoil
