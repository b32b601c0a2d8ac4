#include "head_search.h"

#include <algorithm>
#include <cctype>

#include <http/message.h>

namespace trefoil {

namespace {

/// Begin of a status line; "x" stands for the minor version, "N" for a digit.
constexpr std::string_view statusLineShape = "HTTP/1.x NNN";
constexpr std::size_t versionBytes = statusLineShape.find(' ') + 1;
/// Limit on a head. The reader of answers takes no longer ones either.
constexpr std::size_t maxHeadBytes = 16 * 1024;

bool fitsShape(char shape, char c)
{
    if (shape == 'x')
        return c == '0' || c == '1';
    return shape == 'N' ? std::isdigit(static_cast<unsigned char>(c)) != 0 : c == shape;
}

/// Returns whether @p text holds no line end, but for the first half of one at its end.
bool isOpenLine(std::string_view text)
{
    if (text.ends_with('\r'))
        text.remove_suffix(1);
    return text.find_first_of("\r\n") == std::string_view::npos;
}

/// Returns whether @p text may be the begin of a field, or of the empty line behind the fields.
bool mayBecomeField(std::string_view text)
{
    constexpr std::string_view noName = "\"(),/;<=>?@[\\]{} \t";
    return isOpenLine(text)
        && text.substr(0, text.find(':')).find_first_of(noName) == std::string_view::npos;
}

/// Returns whether the reason phrase in @p text, which begins with a status line, consists of
/// words.
bool hasWordsAsReason(std::string_view text)
{
    text.remove_prefix(std::min(text.size(), statusLineShape.size()));
    text = text.substr(0, text.find('\r'));
    return std::all_of(text.begin(), text.end(), [](char c) {
        return c == ' ' || c == '-' || c == '\''
            || std::isalnum(static_cast<unsigned char>(c)) != 0;
    });
}

/// Returns whether @p text may be the begin of a head that has no empty line yet.
bool mayBecomeHead(std::string_view text)
{
    const std::size_t lastLineEnd = text.rfind("\r\n");
    if (lastLineEnd == std::string_view::npos)
        return isOpenLine(text);
    return mayBecomeField(text.substr(lastLineEnd + 2))
        && parseResponseHead(text.substr(0, lastLineEnd)).has_value();
}

/// Returns how much of a head begins at the begin of @p text.
head_presence headAtBegin(std::string_view text, std::string_view field)
{
    const std::size_t compared = std::min(text.size(), statusLineShape.size());
    if (!std::equal(text.begin(), text.begin() + compared, statusLineShape.begin(),
                    [](char c, char shape) { return fitsShape(shape, c); }))
        return head_presence::None;
    if (text.size() <= statusLineShape.size())
        return head_presence::Begun;
    constexpr std::string_view headEnd = "\r\n\r\n";
    text = text.substr(0, maxHeadBytes + headEnd.size());
    const std::size_t end = text.find(headEnd);
    if (std::min(end, text.size()) > maxHeadBytes)
        return head_presence::None;
    if (end == std::string_view::npos)
        return mayBecomeHead(text) ? head_presence::Begun : head_presence::None;
    const result<response_head> head = parseResponseHead(text.substr(0, end));
    return head && head->headers.has(field) ? head_presence::Complete : head_presence::None;
}

} // namespace

head_place findHead(std::string_view text, std::string_view field)
{
    const char first = statusLineShape.front();
    for (std::size_t at = text.find(first); at != std::string_view::npos;
         at = text.find(first, at + 1)) {
        const head_presence presence = headAtBegin(text.substr(at), field);
        if (presence != head_presence::None)
            return {.presence = presence, .at = at};
    }
    return {.at = text.size()};
}

bool endsInsideHead(std::string_view text)
{
    // What a body quotes may precede the head.
    for (std::size_t at = findHead(text, {}).at; at < text.size(); at = findHead(text, {}).at) {
        text.remove_prefix(at);
        if (text.size() >= versionBytes && hasWordsAsReason(text))
            return true;
        text.remove_prefix(1);
    }
    return false;
}

} // namespace trefoil
