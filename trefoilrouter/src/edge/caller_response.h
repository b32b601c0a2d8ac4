#pragma once

#include <optional>
#include <string_view>

#include <http/byte_stream.h>
#include <http/message.h>

namespace trefoil {

/// The response to one request of a caller. Everything that is written to the caller passes through
/// it, so that a response that has begun is only ever continued, completed or aborted: a second one
/// can't follow it on the same connection, and one that is cut short can't look complete. Not
/// thread-safe.
class caller_response
{
public:
    enum class state {
        NothingSent,
        /// The head and possibly events were sent.
        Begun,
        Complete,
        /// The connection was reset, or writing to it failed.
        Aborted
    };

    /// Precondition: @p caller and @p request outlive this object. With @p closesConnection the
    /// connection ends after the response.
    caller_response(byte_stream &caller, const request_head &request, bool closesConnection)
        : m_caller(caller), m_request(request), m_closesConnection(closesConnection)
    { }

    /// Sends the complete answer of a server. Returns false if the caller did not get it; a
    /// response that has begun is aborted.
    bool sendAnswer(const response_head &head, std::string_view body, timestamp deadline);
    /// Sends a response that the router itself produces. Returns as sendAnswer().
    bool sendRefusal(int status, std::string_view requestId, std::string_view message,
                     std::optional<duration> retryAfter);
    /// Continues a stream with @p events, and begins it with @p head if nothing was sent. @p isLast
    /// completes it. Returns false if the stream can't be continued.
    bool sendEvents(const response_head &head, std::string_view events, bool isLast,
                    timestamp deadline);
    /// Resets the connection, which shows a caller that a response is incomplete.
    void abort();

    /// Returns how much of the response was sent.
    state currentState() const { return m_state; }
    /// Returns whether the connection may carry another request.
    bool isReusable() const { return m_state == state::Complete && !m_closesConnection; }
    /// Returns the caller's connection, to watch whether it is closed.
    const byte_stream &connection() const { return m_caller; }

private:
    /// Writes @p text, which leads to state @p next. Returns false on failure.
    bool write(std::string_view text, state next, timestamp deadline);
    /// Writes a response as a whole. Returns false if one has begun.
    bool writeWhole(std::string_view text, timestamp deadline);

    byte_stream &m_caller;
    const request_head &m_request;
    bool m_closesConnection;
    state m_state = state::NothingSent;
};

} // namespace trefoil
