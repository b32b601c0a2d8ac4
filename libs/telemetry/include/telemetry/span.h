#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <core/digest.h>

namespace trefoil {

/// Position in a distributed trace, as carried by the W3C header "traceparent".
struct trace_context
{
    digest128 traceId;
    std::uint64_t spanId = 0;
    bool sampled = true;
};

/// One finished operation within a trace.
struct span
{
    trace_context context;
    std::uint64_t parentSpanId = 0;
    std::string name;
    std::uint64_t startMilliseconds = 0;
    std::uint64_t endMilliseconds = 0;
    std::vector<std::pair<std::string, std::string>> attributes;
    bool failed = false;
};

/// Parses the value of a "traceparent" header. Returns nothing if the value is malformed; callers
/// may send such values, and a new trace should then be started. Thread-safe.
std::optional<trace_context> parseTraceparent(std::string_view text);

/// Returns the value of a "traceparent" header. Thread-safe.
std::string toTraceparent(const trace_context &context);

/// Returns the context of a new trace with random identifiers. Thread-safe.
trace_context newTrace();

/// Returns the context of a child span of @p parent with a random span identifier. Thread-safe.
trace_context childOf(const trace_context &parent);

/// Returns @p spans as an OTLP/JSON export request on one line, with @p instance as the resource's
/// service.instance.id. Thread-safe.
std::string toOtlpJson(const std::vector<span> &spans, std::string_view instance);

} // namespace trefoil
