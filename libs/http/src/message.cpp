#include <http/message.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace trefoil {

namespace {

constexpr std::size_t maxDecimalDigits = 18;

constexpr std::array<std::string_view, 9> hopByHopNames {"connection",
                                                         "keep-alive",
                                                         "proxy-connection",
                                                         "proxy-authenticate",
                                                         "proxy-authorization",
                                                         "te",
                                                         "transfer-encoding",
                                                         "upgrade",
                                                         "trailer"};

bool isTokenCharacter(char c)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return std::isalnum(static_cast<unsigned char>(c)) != 0
        || symbols.find(c) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isControl(char c)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char del = 0x7f;
    const unsigned char byte = static_cast<unsigned char>(c);
    return (byte < firstPrintable && c != '\t') || byte == del;
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

/// Removes the next line from @p rest and returns it, or nothing if it contains a bare CR or LF.
std::optional<std::string_view> nextLine(std::string_view &rest)
{
    const std::size_t end = rest.find("\r\n");
    const std::string_view line = rest.substr(0, end);
    rest = end == std::string_view::npos ? std::string_view {} : rest.substr(end + 2);
    if (line.find_first_of("\r\n") != std::string_view::npos)
        return std::nullopt;
    return line;
}

/// Returns whether @p text holds the begin of a status line, as a head does that was cut and is
/// followed by another one.
bool holdsStatusLine(std::string_view text)
{
    constexpr std::string_view name = "HTTP/1.";
    constexpr std::size_t shapeBytes = std::string_view("HTTP/1.x NNN").size();
    const auto isDigit = [](char c) { return std::isdigit(static_cast<unsigned char>(c)) != 0; };
    for (std::size_t at = text.find(name); at != std::string_view::npos;
         at = text.find(name, at + 1)) {
        const std::string_view found = text.substr(at, shapeBytes);
        const std::string_view rest = found.substr(name.size());
        if (found.size() == shapeBytes && isDigit(rest[0]) && rest[1] == ' '
            && std::all_of(rest.begin() + 2, rest.end(), isDigit))
            return true;
    }
    return false;
}

/// Parses the lines of @p rest into @p headers. Returns an error message, or "" on success.
std::string_view parseFields(std::string_view rest, header_list &headers)
{
    while (!rest.empty()) {
        const std::optional<std::string_view> line = nextLine(rest);
        if (!line)
            return "a header line holds a bare CR or LF";
        const std::size_t colon = line->find(':');
        if (colon == std::string_view::npos || !isToken(line->substr(0, colon)))
            return "a header line has no proper name";
        const std::string_view value = trimmed(line->substr(colon + 1));
        if (std::any_of(value.begin(), value.end(), isControl))
            return "a header value holds a control character";
        headers.add(line->substr(0, colon), value);
    }
    return "";
}

/// Determines @p framing from Transfer-Encoding and Content-Length; leaves it empty if neither is
/// present. Returns an error message, or "" on success.
std::string_view parseFraming(const header_list &headers, std::optional<body_framing> &framing)
{
    const bool hasLength = headers.has("Content-Length");
    if (headers.has("Transfer-Encoding")) {
        if (hasLength || headers.count("Transfer-Encoding") > 1)
            return "the body has two framings";
        if (!equalsIgnoringCase(headers.value("Transfer-Encoding"), "chunked"))
            return "the transfer encoding is not \"chunked\"";
        framing = body_framing {.end = body_end::Chunked};
        return "";
    }
    if (!hasLength)
        return "";
    if (headers.count("Content-Length") > 1)
        return "the body has two lengths";
    const std::optional<std::uint64_t> length = parseDecimal(headers.value("Content-Length"));
    if (!length)
        return "the content length is not a number";
    framing = body_framing {.end = body_end::Length, .length = *length};
    return "";
}

} // namespace

std::string_view header_list::value(std::string_view name) const
{
    for (const header_field &field : m_fields) {
        if (equalsIgnoringCase(field.name, name))
            return field.value;
    }
    return "";
}

bool header_list::has(std::string_view name) const { return count(name) > 0; }

std::size_t header_list::count(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::count_if(m_fields.begin(), m_fields.end(), [name](const header_field &field) {
            return equalsIgnoringCase(field.name, name);
        }));
}

bool header_list::hasToken(std::string_view name, std::string_view token) const
{
    for (const header_field &field : m_fields) {
        if (!equalsIgnoringCase(field.name, name))
            continue;
        std::string_view rest = field.value;
        while (!rest.empty()) {
            const std::size_t comma = rest.find(',');
            if (equalsIgnoringCase(trimmed(rest.substr(0, comma)), token))
                return true;
            rest = comma == std::string_view::npos ? std::string_view {} : rest.substr(comma + 1);
        }
    }
    return false;
}

void header_list::add(std::string_view name, std::string_view value)
{
    m_fields.push_back({.name = std::string(name), .value = std::string(value)});
}

void header_list::remove(std::string_view name)
{
    std::erase_if(m_fields, [name](const header_field &field) {
        return equalsIgnoringCase(field.name, name);
    });
}

head_state takeHead(std::string &buffer, std::size_t maxBytes, std::string &head)
{
    constexpr std::string_view headEnd = "\r\n\r\n";
    const std::size_t end = buffer.find(headEnd);
    if (std::min(end, buffer.size()) > maxBytes)
        return head_state::TooLong;
    if (end == std::string::npos)
        return head_state::Incomplete;
    head = buffer.substr(0, end);
    buffer.erase(0, end + headEnd.size());
    return head_state::Complete;
}

result<request_head> parseRequestHead(std::string_view text)
{
    constexpr const char *code = "bad-request";
    const std::optional<std::string_view> line = nextLine(text);
    if (!line)
        return failure(code, "the request line holds a bare CR or LF");
    const std::size_t firstSpace = line->find(' ');
    const std::size_t lastSpace = line->rfind(' ');
    if (firstSpace == std::string_view::npos || firstSpace == lastSpace)
        return failure(code, "the request line has not three parts");
    request_head head {.method = std::string(line->substr(0, firstSpace)),
                       .target =
                           std::string(line->substr(firstSpace + 1, lastSpace - firstSpace - 1))};
    const std::string_view version = line->substr(lastSpace + 1);
    if (!isToken(head.method))
        return failure(code, "the method is not a token");
    const auto isForbidden = [](char c) { return c == ' ' || c == '\t' || isControl(c); };
    if (head.target.empty() || head.target.front() != '/'
        || std::any_of(head.target.begin(), head.target.end(), isForbidden))
        return failure(code, "the target is not a path");
    if (version != "HTTP/1.1" && version != "HTTP/1.0")
        return failure(code, "the protocol version is not HTTP/1.1");
    head.isHttp10 = version == "HTTP/1.0";
    const std::string_view problem = parseFields(text, head.headers);
    if (!problem.empty())
        return failure(code, std::string(problem));
    const std::size_t hosts = head.headers.count("Host");
    if (hosts > 1 || (hosts == 0 && !head.isHttp10))
        return failure(code, "there is not exactly one Host");
    return head;
}

result<response_head> parseResponseHead(std::string_view text)
{
    constexpr const char *code = "bad-response";
    constexpr std::size_t versionLength = 8;
    constexpr std::size_t statusEnd = 12;
    const std::optional<std::string_view> line = nextLine(text);
    if (!line || line->size() < statusEnd)
        return failure(code, "the status line is malformed");
    const std::string_view version = line->substr(0, versionLength);
    const std::optional<std::uint64_t> status =
        parseDecimal(line->substr(versionLength + 1, statusEnd - versionLength - 1));
    constexpr std::uint64_t minStatus = 100;
    constexpr std::uint64_t maxStatus = 599;
    const bool statusEnds = line->size() == statusEnd || (*line)[statusEnd] == ' ';
    if ((version != "HTTP/1.1" && version != "HTTP/1.0") || (*line)[versionLength] != ' '
        || !statusEnds || !status || *status < minStatus || *status > maxStatus)
        return failure(code, "the status line is malformed");
    response_head head {.status = static_cast<int>(*status), .isHttp10 = version == "HTTP/1.0"};
    if (line->size() > statusEnd + 1)
        head.reason = std::string(line->substr(statusEnd + 1));
    const std::string_view problem = parseFields(text, head.headers);
    if (!problem.empty())
        return failure(code, std::string(problem));
    const std::vector<header_field> &fields = head.headers.fields();
    const bool isJoined = holdsStatusLine(head.reason)
        || std::any_of(fields.begin(), fields.end(),
                       [](const header_field &field) { return holdsStatusLine(field.value); });
    if (isJoined)
        return failure(code, "the head holds a second status line");
    return head;
}

result<body_framing> framingOf(const request_head &head)
{
    std::optional<body_framing> framing;
    const std::string_view problem = parseFraming(head.headers, framing);
    if (!problem.empty())
        return failure("bad-request", std::string(problem));
    if (head.isHttp10 && framing && framing->end == body_end::Chunked)
        return failure("bad-request", "HTTP/1.0 has no chunked bodies");
    return framing.value_or(body_framing {});
}

result<body_framing> framingOf(const response_head &head, std::string_view method)
{
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    constexpr int firstFinal = 200;
    if (method == "HEAD" || head.status < firstFinal || head.status == noContent
        || head.status == notModified)
        return body_framing {};
    std::optional<body_framing> framing;
    const std::string_view problem = parseFraming(head.headers, framing);
    if (!problem.empty())
        return failure("bad-response", std::string(problem));
    return framing.value_or(body_framing {.end = body_end::Close});
}

bool isKeepAlive(const header_list &headers, bool isHttp10)
{
    if (headers.hasToken("Connection", "close"))
        return false;
    return !isHttp10 || headers.hasToken("Connection", "keep-alive");
}

bool isHopByHop(std::string_view name, const header_list &headers)
{
    const bool isStandard =
        std::any_of(hopByHopNames.begin(), hopByHopNames.end(),
                    [name](std::string_view each) { return equalsIgnoringCase(each, name); });
    return isStandard || headers.hasToken("Connection", name);
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    const auto equalCharacters = [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a))
            == std::tolower(static_cast<unsigned char>(b));
    };
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(), equalCharacters);
}

void appendField(std::string &text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

std::optional<std::uint64_t> parseDecimal(std::string_view text)
{
    std::uint64_t number = 0;
    if (text.empty() || text.size() > maxDecimalDigits)
        return std::nullopt;
    const std::from_chars_result parsed =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc {} || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace trefoil
