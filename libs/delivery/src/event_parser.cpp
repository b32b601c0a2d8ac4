#include <delivery/event_parser.h>

namespace trefoil {

namespace {

/// Returns the value of "field: value" in @p line, without the one optional space.
std::string_view valueAfter(std::string_view line, std::size_t nameLength)
{
    std::string_view value = line.substr(nameLength);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    return value;
}

} // namespace

bool event_parser::feed(std::string_view bytes,
                        const std::function<void(const server_event &)> &visit)
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
        takeLine(line, visit);
        m_line.clear();
    }
    return true;
}

void event_parser::takeLine(std::string_view line,
                            const std::function<void(const server_event &)> &visit)
{
    if (line.empty()) {
        if (m_hasData)
            visit({.id = m_id, .data = m_data});
        m_id.clear();
        m_data.clear();
        m_hasData = false;
        return;
    }
    if (line.starts_with("id:")) {
        m_id = valueAfter(line, 3);
    } else if (line.starts_with("data:")) {
        if (m_hasData)
            m_data += '\n';
        m_data += valueAfter(line, 5);
        m_hasData = true;
    }
}

} // namespace trefoil
