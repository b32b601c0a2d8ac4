#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace trefoil {

/// One server-sent event. The views are valid during the callback only.
struct server_event
{
    std::string_view id;
    std::string_view data;
};

/// Splits a byte stream into server-sent events. Not thread-safe.
class event_parser
{
public:
    /// Longest line taken; a longer one is an error, so that a backend server can't fill memory.
    static constexpr std::size_t maxLineBytes = 1 << 20;

    /// Takes @p bytes and calls @p visit for each event that they complete. Returns false once a
    /// line is too long; the parser is not to be used after.
    bool feed(std::string_view bytes, const std::function<void(const server_event &)> &visit);

private:
    void takeLine(std::string_view line, const std::function<void(const server_event &)> &visit);

    std::string m_line;
    std::string m_id;
    std::string m_data;
    bool m_hasData = false;
};

} // namespace trefoil
