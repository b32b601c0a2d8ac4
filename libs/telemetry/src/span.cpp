#include <telemetry/span.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <random>

#include <core/json.h>

namespace trefoil {

namespace {

std::string hex64(std::uint64_t value)
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

std::uint64_t randomBits()
{
    // Seeded by the operating system: no decision depends on trace identifiers, so they need no
    // fixed seed.
    thread_local std::mt19937_64 generator {std::random_device {}()};
    std::uint64_t bits = 0;
    while (bits == 0)
        bits = generator();
    return bits;
}

Json::Value attribute(const std::string &key, const std::string &value)
{
    Json::Value item(Json::objectValue);
    item["key"] = key;
    item["value"]["stringValue"] = value;
    return item;
}

std::string toNanosecondText(std::uint64_t milliseconds)
{
    return std::to_string(milliseconds) + "000000";
}

Json::Value toJson(const span &item)
{
    constexpr int kindServer = 2;
    constexpr int statusError = 2;
    Json::Value value(Json::objectValue);
    value["traceId"] = toHex(item.context.traceId);
    value["spanId"] = hex64(item.context.spanId);
    if (item.parentSpanId != 0)
        value["parentSpanId"] = hex64(item.parentSpanId);
    value["name"] = item.name;
    value["kind"] = kindServer;
    value["startTimeUnixNano"] = toNanosecondText(item.startMilliseconds);
    value["endTimeUnixNano"] = toNanosecondText(item.endMilliseconds);
    for (const std::pair<std::string, std::string> &each : item.attributes)
        value["attributes"].append(attribute(each.first, each.second));
    if (item.failed)
        value["status"]["code"] = statusError;
    return value;
}

} // namespace

std::optional<trace_context> parseTraceparent(std::string_view text)
{
    // version-traceid-spanid-flags, in hexadecimal digits: 2-32-16-2; the version is 00.
    constexpr std::size_t length = 55;
    if (text.size() != length || text[2] != '-' || text[35] != '-' || text[52] != '-')
        return std::nullopt;
    trace_context context;
    if (!fromHex(text.substr(3, 32), context.traceId))
        return std::nullopt;
    const char *end = text.data() + 52;
    const std::from_chars_result id = std::from_chars(text.data() + 36, end, context.spanId, 16);
    if (id.ec != std::errc() || id.ptr != end || context.spanId == 0)
        return std::nullopt;
    context.sampled = text[54] == '1';
    return context;
}

std::string toTraceparent(const trace_context &context)
{
    return "00-" + toHex(context.traceId) + "-" + hex64(context.spanId)
        + (context.sampled ? "-01" : "-00");
}

trace_context newTrace()
{
    return {.traceId = {.high = randomBits(), .low = randomBits()}, .spanId = randomBits()};
}

trace_context childOf(const trace_context &parent)
{
    trace_context child = parent;
    child.spanId = randomBits();
    return child;
}

std::string toOtlpJson(const std::vector<span> &spans, std::string_view instance)
{
    Json::Value scope(Json::objectValue);
    scope["scope"]["name"] = "trefoilrouter";
    for (const span &item : spans)
        scope["spans"].append(toJson(item));
    Json::Value resource(Json::objectValue);
    resource["resource"]["attributes"].append(attribute("service.name", "trefoilrouter"));
    resource["resource"]["attributes"].append(
        attribute("service.instance.id", std::string(instance)));
    resource["scopeSpans"].append(scope);
    Json::Value request(Json::objectValue);
    request["resourceSpans"].append(resource);
    return writeJson(request);
}

} // namespace trefoil
