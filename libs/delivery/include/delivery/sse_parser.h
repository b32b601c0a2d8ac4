#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace trefoil {

/// A server-sent event (SSE). The views are valid only during the callback.
struct sse_event
{
    std::string_view id;
    std::string_view data;
};

/// Parses a byte stream into server-sent events. Not thread-safe.
class sse_parser
{
public:
    /// Maximum line length. A longer line is an error, so that a backend server can't exhaust
    /// memory.
    static constexpr std::size_t maxLineBytes = 1 << 20;

    /// Parses @p bytes and calls @p onEvent for each event that they complete. Returns false if a
    /// line is too long; the parser must not be used afterwards.
    bool feed(std::string_view bytes, const std::function<void(const sse_event &)> &onEvent);

private:
    void processLine(std::string_view line, const std::function<void(const sse_event &)> &onEvent);

    std::string m_line;
    std::string m_id;
    std::string m_data;
    bool m_hasData = false;
};

} // namespace trefoil
