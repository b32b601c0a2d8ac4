#include <configuration/settings.h>

#include "yaml_reader.h"

#include <charconv>

namespace trefoil {

namespace {

constexpr std::int64_t maxPlatformCalls = 1000;
constexpr std::int64_t maxCallerThreads = 4096;
constexpr std::int64_t minBodyLimitBytes = 1 << 10;
constexpr std::int64_t maxBodyLimitBytes = 64 << 20;
constexpr std::int64_t maxTimeoutSeconds = 3600;

bool isNumericHost(std::string_view host)
{
    int parts = 0;
    const char *next = host.data();
    const char *end = host.data() + host.size();
    while (true) {
        unsigned value = 0;
        const std::from_chars_result parsed = std::from_chars(next, end, value);
        if (parsed.ec != std::errc() || value > 255)
            return false;
        ++parts;
        if (parsed.ptr == end)
            return parts == 4;
        if (*parsed.ptr != '.')
            return false;
        next = parsed.ptr + 1;
    }
}

endpoint readEndpoint(yaml_map &map, const char *name)
{
    endpoint address;
    const std::string text = map.text(name);
    if (!text.empty() && !parseEndpoint(text, address))
        map.addFinding(name,
                       "field \"" + map.pathOf(name)
                           + "\" must be a numeric address and port, not \"" + text + "\"");
    return address;
}

void readListeners(const YAML::Node &node, settings &parsed, finding_sink &sink)
{
    yaml_map map(node, "listeners", {"callers", "peers", "operators"}, sink);
    parsed.callers = readEndpoint(map, "callers");
    parsed.peers = readEndpoint(map, "peers");
    parsed.operators = readEndpoint(map, "operators");
}

void readLog(const YAML::Node &node, settings &parsed, finding_sink &sink)
{
    yaml_map map(node, "log", {"level", "format"}, sink);
    parsed.logLevel = map.choice("level", {"debug", "info", "warning", "error"}, "info");
    parsed.logAsJson = map.choice("format", {"text", "json"}, "text") == "json";
}

void readTrace(const YAML::Node &node, settings &parsed, finding_sink &sink)
{
    yaml_map map(node, "trace", {"file", "endpoint"}, sink);
    parsed.traceFile = map.textOr("file", "");
    parsed.traceEndpoint = map.textOr("endpoint", "");
}

void readTraffic(const YAML::Node &node, settings &parsed, finding_sink &sink)
{
    yaml_map map(node, "traffic",
                 {"threads", "max_body_bytes", "caller_timeout_seconds", "drain_timeout_seconds"},
                 sink);
    parsed.callerThreads =
        static_cast<int>(map.integerOr("threads", {4, maxCallerThreads}, parsed.callerThreads));
    parsed.maxBodyBytes = map.integerOr("max_body_bytes", {minBodyLimitBytes, maxBodyLimitBytes},
                                        parsed.maxBodyBytes);
    parsed.callerTimeout =
        std::chrono::seconds(map.integerOr("caller_timeout_seconds", {1, maxTimeoutSeconds},
                                           parsed.callerTimeout / std::chrono::seconds(1)));
    parsed.drainTimeout =
        std::chrono::seconds(map.integerOr("drain_timeout_seconds", {0, maxTimeoutSeconds},
                                           parsed.drainTimeout / std::chrono::seconds(1)));
}

void readSeeds(yaml_map &map, settings &parsed)
{
    for (const std::string &text : map.textList("seeds")) {
        endpoint address;
        if (parseEndpoint(text, address))
            parsed.seeds.push_back(address);
        else
            map.addFinding("seeds",
                           "\"" + text + "\" in \"seeds\" is not a numeric address and port");
    }
}

void readPlatform(const YAML::Node &node, settings &parsed, finding_sink &sink)
{
    yaml_map map(node, "platform", {"address", "calls_per_second"}, sink);
    parsed.platform = readEndpoint(map, "address");
    parsed.platformCallsPerSecond = static_cast<int>(
        map.integerOr("calls_per_second", {1, maxPlatformCalls}, parsed.platformCallsPerSecond));
}

} // namespace

bool parseEndpoint(std::string_view text, endpoint &parsed)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || !isNumericHost(text.substr(0, colon)))
        return false;
    const std::string_view portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    const char *end = portText.data() + portText.size();
    const std::from_chars_result result = std::from_chars(portText.data(), end, port);
    if (result.ec != std::errc() || result.ptr != end || port == 0)
        return false;
    parsed = {.host = std::string(text.substr(0, colon)), .port = port};
    return true;
}

std::string toString(const endpoint &address)
{
    return address.host + ":" + std::to_string(address.port);
}

tl::expected<settings, findings> readSettings(std::string_view text, std::string_view file)
{
    findings found;
    finding_sink sink(file, found);
    settings parsed;
    const std::optional<YAML::Node> document = parseYaml(text, sink);
    if (!document)
        return tl::unexpected(found);
    yaml_map map(*document, "",
                 {"name", "zone", "region", "listeners", "platform", "seeds", "peer_secret", "log",
                  "trace", "traffic"},
                 sink);
    parsed.name = map.text("name");
    parsed.zone = map.text("zone");
    parsed.region = map.textOr("region", "default");
    parsed.peerSecret = map.textOr("peer_secret", "");
    const auto section = [&](const char *name, bool required, auto read) {
        if (map.has(name))
            read(map.child(name), parsed, sink);
        else if (required)
            map.addFinding(name, std::string("field \"") + name + "\" is missing");
    };
    section("listeners", true, readListeners);
    section("platform", true, readPlatform);
    section("log", false, readLog);
    section("trace", false, readTrace);
    section("traffic", false, readTraffic);
    readSeeds(map, parsed);
    sortByLocation(found);
    if (!found.empty())
        return tl::unexpected(found);
    return parsed;
}

} // namespace trefoil
