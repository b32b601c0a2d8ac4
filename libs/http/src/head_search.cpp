#include "head_search.h"

#include <algorithm>
#include <cctype>

#include <http/message.h>

namespace trefoil {

namespace {

/// Begin of a status line; "x" stands for the minor version, "C" for the class of the status, "N"
/// for a digit.
constexpr std::string_view statusLineShape = "HTTP/1.x CNN";
constexpr std::size_t versionBytes = statusLineShape.find(' ') + 1;
/// Limit on a head. The reader of answers takes no longer ones either.
constexpr std::size_t maxHeadBytes = 16 * 1024;
/// Interim answers that may precede an answer.
constexpr int maxInterimAnswers = 4;

bool fitsShape(char shape, char c)
{
    switch (shape) {
    case 'x':
        return c == '0' || c == '1';
    case 'C':
        return c >= '1' && c <= '5';
    case 'N':
        return std::isdigit(static_cast<unsigned char>(c)) != 0;
    default:
        return c == shape;
    }
}

/// Returns whether as much of a status line as @p text holds begins it.
bool mayBeginStatusLine(std::string_view text)
{
    const std::size_t compared = std::min(text.size(), statusLineShape.size());
    const bool fits = std::equal(text.begin(), text.begin() + compared, statusLineShape.begin(),
                                 [](char c, char shape) { return fitsShape(shape, c); });
    return fits && (text.size() == compared || text[compared] == ' ' || text[compared] == '\r');
}

/// Returns whether @p name may be the begin of a field's name.
bool mayBecomeName(std::string_view name)
{
    constexpr std::string_view separators = "\"(),/;<=>?@[\\]{} ";
    return std::all_of(name.begin(), name.end(), [separators](char c) {
        return c >= ' ' && c <= '~' && separators.find(c) == std::string_view::npos;
    });
}

/// Returns whether the line @p text may be the begin of a field.
bool mayBecomeField(std::string_view text)
{
    const std::size_t colon = text.find(':');
    const std::string_view value =
        colon == std::string_view::npos ? std::string_view {} : text.substr(colon + 1);
    constexpr char del = 0x7f;
    return colon != 0 && mayBecomeName(text.substr(0, colon))
        && std::none_of(value.begin(), value.end(), [](char c) {
               return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == del;
           });
}

bool isField(std::string_view line)
{
    return line.find(':') != std::string_view::npos && mayBecomeField(line);
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

/// Looks for the head of an answer at increasing offsets of a text. What is known of a line is kept
/// for the offsets behind, so that the whole search takes linear time.
class head_finder
{
public:
    /// @p interimAnswers: how many interim answers precede the text.
    head_finder(std::string_view text, std::string_view field, int interimAnswers = 0)
        : m_text(text), m_field(field), m_interimAnswers(interimAnswers)
    { }

    /// Returns how much of a head begins at @p at. Precondition: not below next().
    head_presence headAt(std::size_t at);
    /// Returns the first place behind the last one at which a head may begin.
    std::size_t next() const { return m_next; }

private:
    head_presence noneBefore(std::size_t next)
    {
        m_next = next;
        return head_presence::None;
    }

    /// Finds the first byte of a line end at or behind @p from.
    void findLineEnd(std::size_t from)
    {
        if (m_lineEnd < from || !m_hasLineEnd)
            m_lineEnd = std::min(m_text.find_first_of("\r\n", from), m_text.size());
        m_hasLineEnd = true;
    }
    /// Returns whether the text ends before the line's end does.
    bool isLineOpen() const
    {
        return m_lineEnd == m_text.size()
            || (m_lineEnd + 1 == m_text.size() && m_text.back() == '\r');
    }
    bool isLineEnded() const { return m_text.substr(m_lineEnd, 2) == "\r\n"; }
    /// Returns where the last status line in the text from @p from up to @p end begins, or @p end.
    std::size_t lastStatusLine(std::size_t from, std::size_t end) const;
    /// Returns how much of a head the text from @p at up to the empty line at m_fieldsEnd holds.
    head_presence completeHead(std::size_t at);

    std::string_view m_text;
    std::string_view m_field;
    int m_interimAnswers;
    std::size_t m_next = 0;
    /// First byte of the first line end at or behind the place that was looked at last.
    std::size_t m_lineEnd = 0;
    bool m_hasLineEnd = false;
    /// Up to here all lines but a status line are well-formed fields.
    std::size_t m_fieldsEnd = 0;
};

head_presence head_finder::headAt(std::size_t at)
{
    m_next = at + 1;
    if (!mayBeginStatusLine(m_text.substr(at)))
        return head_presence::None;
    if (m_text.size() - at <= statusLineShape.size())
        return head_presence::Begun;
    const bool isTooLong = m_text.size() - at > maxHeadBytes;
    if (m_fieldsEnd <= at) {
        findLineEnd(at);
        if (isLineOpen())
            return isTooLong ? head_presence::None : head_presence::Begun;
        if (!isLineEnded())
            return noneBefore(m_lineEnd + 1);
        m_fieldsEnd = m_lineEnd + 2;
    }
    while (m_fieldsEnd - at <= maxHeadBytes) {
        findLineEnd(m_fieldsEnd);
        if (isLineOpen() && isTooLong)
            return head_presence::None;
        const std::string_view line = m_text.substr(m_fieldsEnd, m_lineEnd - m_fieldsEnd);
        if (isLineOpen())
            return line.empty() || mayBecomeField(line) ? head_presence::Begun
                                                        : noneBefore(m_fieldsEnd);
        if (!isLineEnded())
            return noneBefore(m_lineEnd + 1);
        if (line.empty())
            return completeHead(at);
        if (!isField(line))
            return noneBefore(m_fieldsEnd);
        m_fieldsEnd = m_lineEnd + 2;
    }
    return head_presence::None;
}

std::size_t head_finder::lastStatusLine(std::size_t from, std::size_t end) const
{
    const std::string_view text = m_text.substr(0, end);
    std::size_t at = text.rfind(statusLineShape.front());
    while (at != std::string_view::npos && at >= from && !mayBeginStatusLine(text.substr(at)))
        at = at == 0 ? std::string_view::npos : text.rfind(statusLineShape.front(), at - 1);
    return at == std::string_view::npos || at < from ? end : at;
}

head_presence head_finder::completeHead(std::size_t at)
{
    constexpr int firstFinalStatus = 200;
    const result<response_head> head = parseResponseHead(m_text.substr(at, m_fieldsEnd - 2 - at));
    // A head holds no second status line, so only the last one may begin a head that ends here.
    if (!head)
        return noneBefore(lastStatusLine(at + 1, m_fieldsEnd));
    if (head->headers.has(m_field))
        return head_presence::Complete;
    const std::size_t end = m_fieldsEnd + 2;
    // An interim answer has no such field; the head of the answer follows it.
    if (head->status < firstFinalStatus && m_interimAnswers < maxInterimAnswers) {
        const head_presence following =
            head_finder(m_text.substr(end), m_field, m_interimAnswers + 1).headAt(0);
        if (following != head_presence::None)
            return following;
    }
    return noneBefore(end);
}

} // namespace

head_place findHead(std::string_view text, std::string_view field)
{
    const char first = statusLineShape.front();
    head_finder finder(text, field);
    for (std::size_t at = text.find(first); at != std::string_view::npos;
         at = text.find(first, finder.next())) {
        const head_presence presence = finder.headAt(at);
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
