#include <core/finding.h>

#include <algorithm>
#include <tuple>

namespace trefoil {

namespace {

/// Replaces control characters by escape sequences: names in documents may hold line breaks.
std::string onOneLine(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned bitsPerDigit = 4;
    std::string line;
    for (const char c : text) {
        const auto code = static_cast<unsigned char>(c);
        if (code >= ' ' && code != '\x7f') {
            line += c;
            continue;
        }
        line += "\\x";
        line += digits[code >> bitsPerDigit];
        line += digits[code % digits.size()];
    }
    return line;
}

} // namespace

std::string toString(const finding &item)
{
    std::string text = item.file;
    if (item.line > 0)
        text += ":" + std::to_string(item.line) + ":" + std::to_string(item.column);
    if (!item.field.empty() && item.message.find("\"" + item.field + "\"") == std::string::npos)
        text += ": " + item.field;
    return onOneLine(text + ": " + item.message);
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
