#include <core/finding.h>

#include <algorithm>
#include <tuple>

namespace trefoil {

std::string toString(const finding &item)
{
    std::string text = item.file;
    if (item.line > 0)
        text += ":" + std::to_string(item.line) + ":" + std::to_string(item.column);
    if (!item.field.empty() && item.message.find("\"" + item.field + "\"") == std::string::npos)
        text += ": " + item.field;
    return text + ": " + item.message;
}

std::string toString(std::span<const finding> items)
{
    std::string text;
    for (const finding &item : items)
        text += toString(item) + "\n";
    return text;
}

void sortByLocation(findings &items)
{
    std::stable_sort(items.begin(), items.end(), [](const finding &a, const finding &b) {
        return std::tie(a.file, a.line, a.column) < std::tie(b.file, b.line, b.column);
    });
}

} // namespace trefoil
