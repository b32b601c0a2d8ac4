#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <core/error.h>

namespace trefoil {

/// One header field as received.
struct header_field
{
    std::string name;
    std::string value;
};

/// Header fields of a message in the order received. Names are compared case-insensitively. Not
/// thread-safe.
class header_list
{
public:
    /// Returns the value of the first field called @p name, or "" if there is none.
    std::string_view value(std::string_view name) const;
    /// Returns whether there is a field called @p name.
    bool has(std::string_view name) const;
    /// Returns the number of fields called @p name.
    std::size_t count(std::string_view name) const;
    /// Returns whether the comma-separated lists in the fields called @p name contain @p token.
    bool hasToken(std::string_view name, std::string_view token) const;
    /// Appends a field.
    void add(std::string_view name, std::string_view value);
    /// Removes all fields called @p name.
    void remove(std::string_view name);
    /// Returns all fields.
    const std::vector<header_field> &fields() const { return m_fields; }

private:
    std::vector<header_field> m_fields;
};

/// Start line and header fields of a request.
struct request_head
{
    std::string method;
    /// Request target in origin form: path and query.
    std::string target;
    bool isHttp10 = false;
    header_list headers;
};

/// Status line and header fields of a response.
struct response_head
{
    int status = 0;
    std::string reason;
    bool isHttp10 = false;
    header_list headers;
};

/// How the end of a body is determined: no body, by its length, by the last chunk, or by the end of
/// the connection.
enum class body_end { None, Length, Chunked, Close };

/// Framing of a body.
struct body_framing
{
    body_end end = body_end::None;
    /// Length of the body in bytes if end is Length.
    std::uint64_t length = 0;
};

/// Whether the head of a message has arrived.
enum class head_state { Incomplete, Complete, TooLong };

/// Moves the head of a message, without the empty line at its end, from the front of @p buffer to
/// @p head. Leaves both unchanged unless it returns Complete. TooLong: the head has more than
/// @p maxBytes. Thread-safe.
head_state takeHead(std::string &buffer, std::size_t maxBytes, std::string &head);

/// Parses the head of a request without its final empty line. Strict: bare line feeds, folded
/// lines, spaces before a colon, control characters, a missing or repeated Host and
/// contradictory framing are errors, because two lenient parsers that disagree, here and at a
/// backend server, would allow request smuggling. Error: "bad-request". Thread-safe.
result<request_head> parseRequestHead(std::string_view text);

/// Parses the head of a response without its final empty line. A status line inside the reason
/// phrase or a value is an error too: a head that was cut is followed by another one. Error:
/// "bad-response". Thread-safe.
result<response_head> parseResponseHead(std::string_view text);

/// Returns the framing of the body that follows @p head. Error: "bad-request". Thread-safe.
result<body_framing> framingOf(const request_head &head);

/// Returns the framing of the body of a response to a request with @p method. Error:
/// "bad-response". Thread-safe.
result<body_framing> framingOf(const response_head &head, std::string_view method);

/// Returns whether the connection persists after a message with @p headers. Thread-safe.
bool isKeepAlive(const header_list &headers, bool isHttp10);

/// Returns whether the field called @p name is hop-by-hop and must not be forwarded: one of the
/// standard hop-by-hop fields, or one named by the Connection field of @p headers. Thread-safe.
bool isHopByHop(std::string_view name, const header_list &headers);

/// Returns whether @p left and @p right are equal, ignoring ASCII case. Thread-safe.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// Appends "name: value" and CRLF to @p text. Thread-safe.
void appendField(std::string &text, std::string_view name, std::string_view value);

/// Parses a decimal number of 1 to 18 digits; returns nothing for any other text. Thread-safe.
std::optional<std::uint64_t> parseDecimal(std::string_view text);

} // namespace trefoil
