#include <configuration/settings.h>

#include "yaml_reader.h"

#include <charconv>

namespace trefoil {

namespace {

constexpr std::int64_t maxPlatformCalls = 1000;
constexpr std::int64_t maxCallerThreads = 4096;
constexpr std::int64_t leastBodyBytes = 1 << 10;
constexpr std::int64_t mostBodyBytes = 64 << 20;
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
    endpoint place;
    const std::string text = map.text(name);
    if (!text.empty() && !parseEndpoint(text, place))
        map.fault(name,
                  "field \"" + map.pathOf(name) + "\" must be a numeric address and port, not \""
                      + text + "\"");
    return place;
}

void readListeners(const YAML::Node &node, settings &into, finding_sink &sink)
{
    yaml_map map(node, "listeners", {"callers", "peers", "operators"}, sink);
    into.callers = readEndpoint(map, "callers");
    into.peers = readEndpoint(map, "peers");
    into.operators = readEndpoint(map, "operators");
}

void readLog(const YAML::Node &node, settings &into, finding_sink &sink)
{
    yaml_map map(node, "log", {"level", "format"}, sink);
    into.logLevel = map.choice("level", {"debug", "info", "warning", "error"}, "info");
    into.logAsJson = map.choice("format", {"text", "json"}, "text") == "json";
}

void readTrace(const YAML::Node &node, settings &into, finding_sink &sink)
{
    yaml_map map(node, "trace", {"file", "endpoint"}, sink);
    into.traceFile = map.textOr("file", "");
    into.traceEndpoint = map.textOr("endpoint", "");
}

void readTraffic(const YAML::Node &node, settings &into, finding_sink &sink)
{
    yaml_map map(node, "traffic",
                 {"threads", "max_body_bytes", "caller_timeout_seconds", "drain_timeout_seconds"},
                 sink);
    into.callerThreads =
        static_cast<int>(map.integerOr("threads", {4, maxCallerThreads}, into.callerThreads));
    into.maxBodyBytes =
        map.integerOr("max_body_bytes", {leastBodyBytes, mostBodyBytes}, into.maxBodyBytes);
    into.callerTimeout =
        std::chrono::seconds(map.integerOr("caller_timeout_seconds", {1, maxTimeoutSeconds},
                                           into.callerTimeout / std::chrono::seconds(1)));
    into.drainTimeout =
        std::chrono::seconds(map.integerOr("drain_timeout_seconds", {0, maxTimeoutSeconds},
                                           into.drainTimeout / std::chrono::seconds(1)));
}

void readSeeds(yaml_map &map, settings &into)
{
    for (const std::string &text : map.texts("seeds")) {
        endpoint place;
        if (parseEndpoint(text, place))
            into.seeds.push_back(place);
        else
            map.fault("seeds", "\"" + text + "\" in \"seeds\" is not a numeric address and port");
    }
}

void readPlatform(const YAML::Node &node, settings &into, finding_sink &sink)
{
    yaml_map map(node, "platform", {"address", "calls_per_second"}, sink);
    into.platform = readEndpoint(map, "address");
    into.platformCallsPerSecond = static_cast<int>(
        map.integerOr("calls_per_second", {1, maxPlatformCalls}, into.platformCallsPerSecond));
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

std::string toString(const endpoint &place)
{
    return place.host + ":" + std::to_string(place.port);
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
            map.fault(name, std::string("field \"") + name + "\" is missing");
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
