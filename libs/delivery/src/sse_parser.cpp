#include <delivery/sse_parser.h>

namespace trefoil {

namespace {

/// Returns the value of a "field:value" line, without the optional space after the colon.
/// @p nameLength includes the colon.
std::string_view fieldValue(std::string_view line, std::size_t nameLength)
{
    std::string_view value = line.substr(nameLength);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    return value;
}

} // namespace

bool sse_parser::feed(std::string_view bytes, const std::function<void(const sse_event &)> &onEvent)
{
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        if (end == std::string_view::npos) {
            m_line.append(bytes);
            return m_line.size() <= maxLineBytes;
        }
        std::string_view line = bytes.substr(0, end);
        bytes.remove_prefix(end + 1);
        if (!m_line.empty()) {
            m_line.append(line);
            line = m_line;
        }
        if (line.size() > maxLineBytes)
            return false;
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        processLine(line, onEvent);
        m_line.clear();
    }
    return true;
}

void sse_parser::processLine(std::string_view line,
                             const std::function<void(const sse_event &)> &onEvent)
{
    if (line.empty()) {
        if (m_hasData)
            onEvent({.id = m_id, .data = m_data});
        m_id.clear();
        m_data.clear();
        m_hasData = false;
        return;
    }
    if (line.starts_with("id:")) {
        m_id = fieldValue(line, 3);
    } else if (line.starts_with("data:")) {
        if (m_hasData)
            m_data += '\n';
        m_data += fieldValue(line, 5);
        m_hasData = true;
    }
}

} // namespace trefoil
