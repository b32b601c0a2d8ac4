#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include <core/error.h>
#include <http/chunked.h>
#include <http/message.h>
#include <http/response_head_reader.h>

namespace trefoil {

/// Field by which a request names its attempt, and a response the attempt that it answers.
inline constexpr const char *attemptField = "X-Attempt";

/// Error codes of attempt_response_reader, beside "bad-response".
namespace attempt_errors {
/// The response is to another request, or may be.
inline constexpr const char *foreignResponse = "foreign-response";
} // namespace attempt_errors

/// Options of an attempt_response_reader.
struct attempt_response_options
{
    /// Identifier that the request names, unique to this attempt. Empty: the first response is
    /// taken.
    std::string attemptId;
    /// Whether the connection carried another request before.
    bool isKeptConnection = false;
    /// Limit on the head of each response.
    std::size_t maxHeadBytes = 0;
};

/// Finds the response to an attempt among the responses on its connection: a server may answer a
/// request twice, the second time when the connection carries another request. Not thread-safe.
class attempt_response_reader
{
public:
    /// Precondition: no HEAD was sent on the connection before, since where a late response to it
    /// ends can't be told.
    explicit attempt_response_reader(attempt_response_options options);

    /// Takes responses to earlier requests on the connection and the head of the attempt's own from
    /// the front of @p buffer. Returns that head, or nothing while more bytes are needed. Keeps
    /// nothing of other responses. Errors: "bad-response" if a head or the framing of another
    /// response is malformed; foreignResponse if the response names another attempt and no earlier
    /// request explains it, if it names none and an earlier request may, or if another response
    /// ends only with the connection.
    result<std::optional<response_head>> feed(std::string &buffer);

    /// Returns whether the attempt's own response named it. If not, the connection must not carry
    /// another request: a late response couldn't be told from the one to that request.
    bool isNamed() const { return m_isNamed; }
    /// Returns how many responses to other requests were skipped.
    int skippedResponses() const { return m_skippedResponses; }

private:
    /// Starts to skip the response with @p head. Errors: those of feed().
    result<void> startSkipping(const response_head &head);
    /// Takes bytes of the skipped body from @p buffer. Returns whether it has ended.
    result<bool> skipBody(std::string &buffer);

    attempt_response_options m_options;
    response_head_reader m_heads;
    bool m_isNamed = false;
    int m_skippedResponses = 0;
    /// Framing of the body that is being skipped.
    std::optional<body_framing> m_skipped;
    chunked_decoder m_skippedChunks;
};

} // namespace trefoil
