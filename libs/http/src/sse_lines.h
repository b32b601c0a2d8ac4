#pragma once

#include <string_view>

namespace trefoil {

/// Removes the next line from @p rest and returns it without its end.
inline std::string_view takeLine(std::string_view &rest)
{
    const std::size_t end = rest.find_first_of("\r\n");
    const std::string_view line = rest.substr(0, end);
    if (end == std::string_view::npos) {
        rest = {};
        return line;
    }
    rest.remove_prefix(rest.substr(end).starts_with("\r\n") ? end + 2 : end + 1);
    return line;
}

/// Returns the name of the field that @p line holds; "" for a comment.
inline std::string_view fieldName(std::string_view line) { return line.substr(0, line.find(':')); }

/// Returns the value of the field that @p line holds, or "".
inline std::string_view fieldValue(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos)
        return {};
    line.remove_prefix(colon + 1);
    if (line.starts_with(' '))
        line.remove_prefix(1);
    return line;
}

} // namespace trefoil
