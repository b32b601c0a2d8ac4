#include <http/stream_progress.h>

#include "sse_lines.h"

namespace trefoil {

void stream_progress::record(std::string_view events)
{
    std::string_view id = m_lastEventId;
    bool hasData = false;
    bool hasId = false;
    while (!events.empty()) {
        const std::string_view line = takeLine(events);
        if (line.empty()) {
            if (hasData)
                m_canContinue = hasId;
            hasData = false;
            hasId = false;
        } else if (fieldName(line) == "data") {
            hasData = true;
        } else if (fieldName(line) == "id") {
            id = fieldValue(line);
            hasId = !id.empty();
        }
    }
    m_lastEventId = std::string(id);
}

} // namespace trefoil
